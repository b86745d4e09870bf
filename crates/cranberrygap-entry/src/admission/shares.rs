//! The limiter: admits requests from the shares that the leader leases to this entry.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_model::{address, duration, id, number, token};
use cranberrygap_policy::limits::{self, holder, lending};
use cranberrygap_wire::{configuration, method, share, view as wire_view};
use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::core;
use crate::view;

use super::stats::Stats;
use super::{Limiter, Rejection};

/// Longest wait for the leader's answer, after which another process is asked.
const RENEWAL_TIMEOUT: duration::Span = duration::Span::from_millis(700);

/// Longest sleep between two checks whether something is due.
const MAX_SLEEP: duration::Span = duration::Span::from_secs(1);

/// Largest retry delay that callers are given.
const MAX_RETRY_AFTER: duration::Span = duration::Span::from_secs(60);

/// Shares of this entry and the requests that wait for tokens.
#[derive(Debug)]
pub(crate) struct Shares {
    clock: clock::Clock,
    inner: Mutex<Inner>,
    /// Wakes the renewal task, since a waiting request may make a renewal due earlier.
    renewal_wake: Notify,
    /// Wakes the borrowing task, since a loan request may be due earlier.
    borrowing_wake: Notify,
    /// Wakes the lending task, since the workspaces that this entry lends for may have
    /// changed.
    lending_wake: Notify,
}

#[derive(Debug)]
struct Inner {
    holder: holder::Holder,
    lender: lending::Lender,
    instance: id::Instance,
    /// Addresses at which entries lend.
    lender_addresses: BTreeMap<id::Instance, address::Socket>,
    waiters: BTreeMap<u64, oneshot::Sender<holder::Decision>>,
    limits: BTreeMap<id::Workspace, limits::Limit>,
    stats: Stats,
}

impl Inner {
    /// Updates who lends which workspace's tokens, and at which address. An entry that has
    /// left no longer lends.
    fn update_lenders(&mut self, now: duration::Instant, view: &view::Snapshot) {
        let members = view.members().values();
        let active = members.filter(|member| member.phase != wire_view::Phase::Left);
        let addresses = active.filter_map(|member| {
            let address = member.lending?;
            Some((member.instance.clone(), address))
        });
        self.lender_addresses = addresses.collect();
        let lenders = view.lenders().iter();
        let lenders = lenders.filter(|(_, lender)| self.lender_addresses.contains_key(*lender));
        let lenders = lenders.map(|(workspace, lender)| (workspace.clone(), lender.clone()));
        let lenders: BTreeMap<id::Workspace, id::Instance> = lenders.collect();
        self.holder.set_lenders(now, &lenders);
        let own_workspaces = lenders
            .iter()
            .filter(|(_, lender)| **lender == self.instance);
        let own_workspaces: Vec<id::Workspace> = own_workspaces
            .map(|(workspace, _)| workspace.clone())
            .collect();
        self.lender.set_workspaces(now, &own_workspaces);
    }
}

/// The place of a waiting request in the queue.
///
/// Dropping it, as when the caller leaves, frees the place.
struct Guard<'shares> {
    shares: &'shares Shares,
    ticket: u64,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let mut inner = self.shares.inner.lock();
        if inner.waiters.remove(&self.ticket).is_some() {
            inner.holder.cancel(self.ticket);
        }
    }
}

impl Shares {
    /// A limiter without any shares yet.
    pub(crate) fn new(clock: clock::Clock, instance: id::Instance, boot: number::Boot) -> Self {
        Self {
            clock,
            inner: Mutex::new(Inner {
                instance: instance.clone(),
                lender: lending::Lender::new(instance.clone(), boot),
                holder: holder::Holder::new(instance, boot),
                lender_addresses: BTreeMap::new(),
                waiters: BTreeMap::new(),
                limits: BTreeMap::new(),
                stats: Stats::default(),
            }),
            renewal_wake: Notify::new(),
            borrowing_wake: Notify::new(),
            lending_wake: Notify::new(),
        }
    }

    /// Renews the shares and admits waiting requests until the process stops.
    pub(crate) async fn run(self: Arc<Self>, core: Arc<core::Core>) {
        loop {
            self.wait_for_renewal().await;
            if let Some(line) = self.inner.lock().stats.summary_line(self.clock.now()) {
                spdlog::info!("limits: {line}");
            }
            if self.inner.lock().holder.next_renewal_at() <= self.clock.now() {
                self.renew(&core).await;
            }
        }
    }

    /// Renews the shares that this entry lends until the process stops.
    pub(crate) async fn run_lending(self: Arc<Self>, core: Arc<core::Core>) {
        loop {
            let due = self.inner.lock().lender.next_renewal_at();
            let sleep = due.since(self.clock.now()).min(MAX_SLEEP);
            tokio::select! {
                () = tokio::time::sleep(sleep.to_std()) => {}
                () = self.lending_wake.notified() => {}
            }
            if self.inner.lock().lender.next_renewal_at() <= self.clock.now() {
                self.renew_lent_shares(&core).await;
            }
        }
    }

    async fn renew_lent_shares(&self, core: &core::Core) {
        let renewal = self.inner.lock().lender.begin_renewal(self.clock.now());
        let result = core
            .leader
            .call::<_, share::Granted>(method::SHARE_RENEW, &renewal, lending::ANSWER_TIMEOUT)
            .await;
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        match result {
            Ok(granted) => {
                inner.lender.apply_grants(now, &granted);
            }
            Err(cause) => {
                spdlog::debug!("limits: renewing the lent shares failed: {cause}");
                inner.lender.fail_renewal(renewal.sequence);
            }
        }
    }

    /// Returns all tokens to the leader, as the last step before the process ends.
    pub(crate) async fn return_all(&self, core: &core::Core) {
        let has_lent_shares = {
            let now = self.clock.now();
            let mut inner = self.inner.lock();
            inner.holder.close(now);
            inner.lender.close(now);
            !inner.lender.is_empty()
        };
        if has_lent_shares {
            self.renew_lent_shares(core).await;
        }
        self.renew(core).await;
    }

    /// Waits until a loan request may be due.
    pub(super) async fn wait_for_borrowing(&self) {
        let due = self.inner.lock().holder.next_loan_request_at();
        let sleep = due.map_or(MAX_SLEEP, |due| due.since(self.clock.now()).min(MAX_SLEEP));
        tokio::select! {
            () = tokio::time::sleep(sleep.to_std()) => {}
            () = self.borrowing_wake.notified() => {}
        }
    }

    /// Loan requests to send now, with their addresses.
    ///
    /// Requests to this entry itself are answered here.
    pub(super) fn due_loan_requests(
        &self,
        own_instance: &id::Instance,
    ) -> Vec<(address::Socket, share::Renew)> {
        let now = self.clock.now();
        let mut outgoing = Vec::new();
        let mut inner = self.inner.lock();
        for (lender, request) in inner.holder.due_loan_requests(now) {
            if lender == *own_instance {
                let loan = inner.lender.answer_loan_request(now, &request);
                if let Some(loan) = loan {
                    inner.holder.apply_loans(now, own_instance, &loan);
                }
                continue;
            }
            if let Some(address) = inner.lender_addresses.get(&lender) {
                outgoing.push((*address, request));
            }
        }
        drop(inner);
        self.deliver_decisions();
        outgoing
    }

    /// Answers a loan request of the entry at `from`; `None` for an unknown entry.
    pub(super) fn answer_loan_request(
        &self,
        from: address::Socket,
        request: &share::Renew,
    ) -> Option<share::Granted> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let is_known = inner.lender_addresses.get(&request.instance) == Some(&from);
        if !is_known {
            return None;
        }
        inner.lender.answer_loan_request(now, request)
    }

    /// Applies a loan from the entry at `from`.
    pub(super) fn apply_loan(&self, from: address::Socket, loan: &share::Granted) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let mut addresses = inner.lender_addresses.iter();
        let lender = addresses.find(|(_, address)| **address == from);
        let Some(lender) = lender.map(|(lender, _)| lender.clone()) else {
            return;
        };
        inner.holder.apply_loans(now, &lender, loan);
        drop(inner);
        self.deliver_decisions();
    }

    /// Waits until a renewal is due; decides on waiting requests meanwhile.
    async fn wait_for_renewal(&self) {
        let (due, wake) = {
            let inner = self.inner.lock();
            (
                inner.holder.next_renewal_at(),
                inner.holder.next_decision_at(),
            )
        };
        let until = wake.map_or(due, |wake| due.min(wake));
        let sleep = until.since(self.clock.now()).min(MAX_SLEEP);
        tokio::select! {
            () = tokio::time::sleep(sleep.to_std()) => {}
            () = self.renewal_wake.notified() => {}
        }
        self.deliver_decisions();
    }

    async fn renew(&self, core: &core::Core) {
        let started = self.clock.now();
        let renewal = {
            let mut inner = self.inner.lock();
            let reason = inner.holder.renewal_reason();
            inner.stats.record_renewal(reason);
            inner.holder.begin_renewal(started)
        };
        let call =
            core.leader
                .call::<_, share::Granted>(method::SHARE_RENEW, &renewal, RENEWAL_TIMEOUT);
        tokio::pin!(call);
        let result = loop {
            let wake = self.inner.lock().holder.next_decision_at();
            let sleep = wake.map_or(RENEWAL_TIMEOUT, |wake| wake.since(self.clock.now()));
            tokio::select! {
                result = &mut call => break result,
                () = tokio::time::sleep(sleep.to_std()) => self.deliver_decisions(),
            }
        };
        let now = self.clock.now();
        {
            let mut inner = self.inner.lock();
            inner
                .stats
                .record_answer(now.since(started), result.is_ok());
            match result {
                Ok(granted) => {
                    inner.holder.apply_grants(now, &granted);
                }
                Err(_cause) => inner.holder.fail_renewal(renewal.sequence),
            }
        }
        self.deliver_decisions();
    }

    /// Passes decisions on to the requests that wait for them.
    fn deliver_decisions(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        for (ticket, decision) in inner.holder.poll(now) {
            let Some(waiter) = inner.waiters.remove(&ticket) else {
                continue;
            };
            // The caller has left meanwhile, so nothing was used.
            if let Err(holder::Decision::Admitted(unused)) = waiter.send(decision) {
                inner
                    .holder
                    .close_reservation(now, &unused, token::Count(0));
            }
        }
    }

    fn retry_after(&self, workspace: &id::Workspace, tokens: token::Count) -> duration::Span {
        let inner = self.inner.lock();
        let rate = inner
            .limits
            .get(workspace)
            .map_or(0.0, |limit| limit.rate.0);
        let max_seconds = MAX_RETRY_AFTER.as_secs_f64();
        let seconds = (tokens.0 as f64 / rate.max(1.0))
            .clamp(1.0, max_seconds)
            .ceil();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the longest delay just above"
        )]
        let seconds = seconds as u64;
        duration::Span::from_secs(seconds)
    }

    async fn reserve_tokens(
        &self,
        workspace: &id::Workspace,
        tokens: token::Count,
        max_wait: holder::MaxWait,
    ) -> Result<holder::Reservation, Rejection> {
        let burst = self
            .inner
            .lock()
            .limits
            .get(workspace)
            .map(|limit| limit.burst);
        if let Some(burst) = burst.filter(|burst| tokens > *burst) {
            return Err(Rejection::ExceedsBurst { burst });
        }
        let started = self.clock.now();
        let (ticket, decision) = {
            let now = started;
            let mut inner = self.inner.lock();
            match inner.holder.admit(now, workspace, tokens, max_wait) {
                holder::Admission::Admitted(reservation) => {
                    inner.stats.record_admitted_at_once();
                    return Ok(reservation);
                }
                holder::Admission::Queued(ticket) => {
                    let (sender, decision) = oneshot::channel();
                    inner.waiters.insert(ticket, sender);
                    (ticket, decision)
                }
            }
        };
        let _guard = Guard {
            shares: self,
            ticket,
        };
        self.renewal_wake.notify_one();
        self.borrowing_wake.notify_one();
        let decision = decision.await;
        let admitted = matches!(decision, Ok(holder::Decision::Admitted(_)));
        let waited = self.clock.now().since(started);
        self.inner.lock().stats.record_wait(waited, admitted);
        match decision {
            Ok(holder::Decision::Admitted(reservation)) => Ok(reservation),
            Ok(holder::Decision::Refused(_)) | Err(_) => Err(Rejection::OverRate {
                retry_after: self.retry_after(workspace, tokens),
            }),
        }
    }
}

impl Limiter for Shares {
    fn reserve<'call>(
        &'call self,
        workspace: &'call id::Workspace,
        tokens: token::Count,
        max_wait: holder::MaxWait,
    ) -> BoxFuture<'call, Result<holder::Reservation, Rejection>> {
        Box::pin(self.reserve_tokens(workspace, tokens, max_wait))
    }

    fn close_reservation(&self, reservation: &holder::Reservation, used: token::Count) {
        let now = self.clock.now();
        self.inner
            .lock()
            .holder
            .close_reservation(now, reservation, used);
    }

    fn apply_view(&self, view: &view::Snapshot) {
        let limits = view.workspaces().iter().map(|workspace| {
            let target = configuration::Target::Workspace;
            let exception = view.exception(target, workspace.as_str());
            let rate = exception.and_then(|exception| exception.rate);
            let burst = exception.and_then(|exception| exception.burst);
            let limit = limits::Limit {
                rate: rate.unwrap_or(view.defaults().rate),
                burst: token::Count(burst.unwrap_or(view.defaults().burst)),
            };
            (workspace.clone(), limit)
        });
        let planned = view.traffic().into_iter();
        let planned = planned.flat_map(|table| &table.plan().workspaces);
        let planned = planned.map(|planned_workspace| {
            let limit = limits::Limit {
                rate: planned_workspace.rate,
                burst: planned_workspace.burst,
            };
            (planned_workspace.workspace.clone(), limit)
        });
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.limits = limits.chain(planned).collect();
        inner.holder.set_entry_count(view.entries());
        inner.lender.set_entry_count(view.entries());
        inner.update_lenders(now, view);
        drop(inner);
        self.lending_wake.notify_one();
        self.borrowing_wake.notify_one();
    }

    fn dump(&self) -> serde_json::Value {
        let inner = self.inner.lock();
        serde_json::json!({
            "shares": inner.holder.dump(),
            "lends": inner.lender.dump(),
            "waiting": inner.waiters.len(),
        })
    }
}
