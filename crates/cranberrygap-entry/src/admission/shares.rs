//! The limiter: admits from the shares that the leader leases to this entry.

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

use super::account::Account;
use super::{Limiter, Refused};

/// Longest wait for the leader's answer, after which another one is asked.
const ANSWER: duration::Span = duration::Span::from_millis(700);

/// Longest time between two looks whether something is due.
const LOOK: duration::Span = duration::Span::from_secs(1);

/// Longest wait that callers are told.
const LONGEST_RETRY: duration::Span = duration::Span::from_secs(60);

/// Shares of this entry and the requests that wait for tokens.
#[derive(Debug)]
pub(crate) struct Shares {
    clock: clock::Clock,
    inner: Mutex<Inner>,
    /// Somebody waits for tokens, so that a renewal may be due earlier.
    asked: Notify,
    /// The same for a question to an entry that lends.
    borrows: Notify,
    /// What this entry lends has changed.
    lends: Notify,
}

#[derive(Debug)]
struct Inner {
    holder: holder::Holder,
    lending: lending::Lender,
    own: id::Instance,
    /// Where entries lend.
    addresses: BTreeMap<id::Instance, address::Socket>,
    waiting: BTreeMap<u64, oneshot::Sender<holder::Decision>>,
    limits: BTreeMap<id::Workspace, limits::Limit>,
    account: Account,
}

impl Inner {
    /// Takes over who lends what, and where. An entry that has left lends no more.
    fn follow_lenders(&mut self, now: duration::Instant, view: &view::Snapshot) {
        let members = view.members().values();
        let lending = members.filter(|member| member.phase != wire_view::Phase::Left);
        let addresses = lending.filter_map(|member| {
            let address = member.lending?;
            Some((member.instance.clone(), address))
        });
        self.addresses = addresses.collect();
        let lenders = view.lenders().iter();
        let lenders = lenders.filter(|(_, lender)| self.addresses.contains_key(*lender));
        let lenders = lenders.map(|(workspace, lender)| (workspace.clone(), lender.clone()));
        let lenders: BTreeMap<id::Workspace, id::Instance> = lenders.collect();
        self.holder.set_lenders(now, &lenders);
        let own = lenders.iter().filter(|(_, lender)| **lender == self.own);
        let own: Vec<id::Workspace> = own.map(|(workspace, _)| workspace.clone()).collect();
        self.lending.set_workspaces(now, &own);
    }
}

/// A place in the line; given up when the caller leaves.
struct Place<'shares> {
    shares: &'shares Shares,
    ticket: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut inner = self.shares.inner.lock();
        if inner.waiting.remove(&self.ticket).is_some() {
            inner.holder.cancel(self.ticket);
        }
    }
}

impl Shares {
    /// No shares yet.
    pub(crate) fn new(clock: clock::Clock, instance: id::Instance, boot: number::Boot) -> Self {
        Self {
            clock,
            inner: Mutex::new(Inner {
                own: instance.clone(),
                lending: lending::Lender::new(instance.clone(), boot),
                holder: holder::Holder::new(instance, boot),
                addresses: BTreeMap::new(),
                waiting: BTreeMap::new(),
                limits: BTreeMap::new(),
                account: Account::default(),
            }),
            asked: Notify::new(),
            borrows: Notify::new(),
            lends: Notify::new(),
        }
    }

    /// Renews the shares and serves who waits, until the process stops.
    pub(crate) async fn run(self: Arc<Self>, core: Arc<core::Core>) {
        loop {
            self.rest().await;
            if let Some(line) = self.inner.lock().account.line(self.clock.now()) {
                spdlog::info!("limits: {line}");
            }
            if self.inner.lock().holder.next_renewal_at() <= self.clock.now() {
                self.renew(&core).await;
            }
        }
    }

    /// Renews what this entry lends, until the process stops.
    pub(crate) async fn lend(self: Arc<Self>, core: Arc<core::Core>) {
        loop {
            let due = self.inner.lock().lending.next_renewal_at();
            let span = due.since(self.clock.now()).min(LOOK);
            tokio::select! {
                () = tokio::time::sleep(span.to_std()) => {}
                () = self.lends.notified() => {}
            }
            if self.inner.lock().lending.next_renewal_at() <= self.clock.now() {
                self.renew_lending(&core).await;
            }
        }
    }

    async fn renew_lending(&self, core: &core::Core) {
        let renewal = self.inner.lock().lending.begin_renewal(self.clock.now());
        let answer = core
            .leader
            .call::<_, share::Granted>(method::SHARE_RENEW, &renewal, lending::ANSWER_TIMEOUT)
            .await;
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        match answer {
            Ok(granted) => {
                inner.lending.apply_grants(now, &granted);
            }
            Err(cause) => {
                spdlog::debug!("limits: what is lent is not renewed: {cause}");
                inner.lending.fail_renewal(renewal.sequence);
            }
        }
    }

    /// Hands all tokens back, as the last thing before the process ends.
    pub(crate) async fn close(&self, core: &core::Core) {
        let lends = {
            let now = self.clock.now();
            let mut inner = self.inner.lock();
            inner.holder.close(now);
            inner.lending.close(now);
            !inner.lending.is_empty()
        };
        if lends {
            self.renew_lending(core).await;
        }
        self.renew(core).await;
    }

    /// Waits until a question to an entry that lends may be due.
    pub(super) async fn borrowing(&self) {
        let due = self.inner.lock().holder.next_loan_request_at();
        let span = due.map_or(LOOK, |due| due.since(self.clock.now()).min(LOOK));
        tokio::select! {
            () = tokio::time::sleep(span.to_std()) => {}
            () = self.borrows.notified() => {}
        }
    }

    /// Questions to send now, and where to; this entry's own are answered here.
    pub(super) fn questions(&self, own: &id::Instance) -> Vec<(address::Socket, share::Renew)> {
        let now = self.clock.now();
        let mut sent = Vec::new();
        let mut inner = self.inner.lock();
        for (lender, question) in inner.holder.due_loan_requests(now) {
            if lender == *own {
                let answer = inner.lending.answer_loan_request(now, &question);
                if let Some(answer) = answer {
                    inner.holder.apply_loans(now, own, &answer);
                }
                continue;
            }
            if let Some(address) = inner.addresses.get(&lender) {
                sent.push((*address, question));
            }
        }
        drop(inner);
        self.serve();
        sent
    }

    /// Answers a question of the entry that lends at `from`; `None` for one that is not known.
    pub(super) fn answer(
        &self,
        from: address::Socket,
        question: &share::Renew,
    ) -> Option<share::Granted> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let known = inner.addresses.get(&question.instance) == Some(&from);
        if !known {
            return None;
        }
        inner.lending.answer_loan_request(now, question)
    }

    /// Takes what the entry at `from` lends.
    pub(super) fn lent(&self, from: address::Socket, answer: &share::Granted) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let mut known = inner.addresses.iter();
        let lender = known.find(|(_, address)| **address == from);
        let Some(lender) = lender.map(|(lender, _)| lender.clone()) else {
            return;
        };
        inner.holder.apply_loans(now, &lender, answer);
        drop(inner);
        self.serve();
    }

    /// Waits until a renewal is due, and decides on waiting requests meanwhile.
    async fn rest(&self) {
        let (due, wake) = {
            let inner = self.inner.lock();
            (
                inner.holder.next_renewal_at(),
                inner.holder.next_decision_at(),
            )
        };
        let until = wake.map_or(due, |wake| due.min(wake));
        let span = until.since(self.clock.now()).min(LOOK);
        tokio::select! {
            () = tokio::time::sleep(span.to_std()) => {}
            () = self.asked.notified() => {}
        }
        self.serve();
    }

    async fn renew(&self, core: &core::Core) {
        let begin = self.clock.now();
        let renewal = {
            let mut inner = self.inner.lock();
            let reason = inner.holder.renewal_reason();
            inner.account.renewed(reason);
            inner.holder.begin_renewal(begin)
        };
        let asking = core
            .leader
            .call::<_, share::Granted>(method::SHARE_RENEW, &renewal, ANSWER);
        tokio::pin!(asking);
        let answer = loop {
            let wake = self.inner.lock().holder.next_decision_at();
            let rest = wake.map_or(ANSWER, |wake| wake.since(self.clock.now()));
            tokio::select! {
                answer = &mut asking => break answer,
                () = tokio::time::sleep(rest.to_std()) => self.serve(),
            }
        };
        let now = self.clock.now();
        {
            let mut inner = self.inner.lock();
            inner.account.answered(now.since(begin), answer.is_ok());
            match answer {
                Ok(granted) => {
                    inner.holder.apply_grants(now, &granted);
                }
                Err(_cause) => inner.holder.fail_renewal(renewal.sequence),
            }
        }
        self.serve();
    }

    /// Tells waiting requests what is decided on them.
    fn serve(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        for (ticket, decision) in inner.holder.poll(now) {
            let Some(waiter) = inner.waiting.remove(&ticket) else {
                continue;
            };
            // Whoever has left meanwhile used nothing.
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
        let longest = LONGEST_RETRY.as_secs_f64();
        let seconds = (tokens.0 as f64 / rate.max(1.0)).clamp(1.0, longest).ceil();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the longest wait just above"
        )]
        let seconds = seconds as u64;
        duration::Span::from_secs(seconds)
    }

    async fn take(
        &self,
        workspace: &id::Workspace,
        tokens: token::Count,
        patience: holder::MaxWait,
    ) -> Result<holder::Reservation, Refused> {
        let burst = self
            .inner
            .lock()
            .limits
            .get(workspace)
            .map(|limit| limit.burst);
        if let Some(burst) = burst.filter(|burst| tokens > *burst) {
            return Err(Refused::Never { burst });
        }
        let begin = self.clock.now();
        let (ticket, decided) = {
            let now = begin;
            let mut inner = self.inner.lock();
            match inner.holder.admit(now, workspace, tokens, patience) {
                holder::Admission::Admitted(reservation) => {
                    inner.account.served_at_once();
                    return Ok(reservation);
                }
                holder::Admission::Queued(ticket) => {
                    let (sender, decided) = oneshot::channel();
                    inner.waiting.insert(ticket, sender);
                    (ticket, decided)
                }
            }
        };
        let _place = Place {
            shares: self,
            ticket,
        };
        self.asked.notify_one();
        self.borrows.notify_one();
        let decided = decided.await;
        let served = matches!(decided, Ok(holder::Decision::Admitted(_)));
        let waited = self.clock.now().since(begin);
        self.inner.lock().account.waited(waited, served);
        match decided {
            Ok(holder::Decision::Admitted(reservation)) => Ok(reservation),
            Ok(holder::Decision::Refused(_)) | Err(_) => Err(Refused::Now {
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
        patience: holder::MaxWait,
    ) -> BoxFuture<'call, Result<holder::Reservation, Refused>> {
        Box::pin(self.take(workspace, tokens, patience))
    }

    fn settle(&self, reservation: &holder::Reservation, used: token::Count) {
        let now = self.clock.now();
        self.inner
            .lock()
            .holder
            .close_reservation(now, reservation, used);
    }

    fn follow(&self, view: &view::Snapshot) {
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
        let planned = planned.map(|found| {
            let limit = limits::Limit {
                rate: found.rate,
                burst: found.burst,
            };
            (found.workspace.clone(), limit)
        });
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.limits = limits.chain(planned).collect();
        inner.holder.set_entry_count(view.entries());
        inner.lending.set_entry_count(view.entries());
        inner.follow_lenders(now, view);
        drop(inner);
        self.lends.notify_one();
        self.borrows.notify_one();
    }

    fn dump(&self) -> serde_json::Value {
        let inner = self.inner.lock();
        serde_json::json!({
            "shares": inner.holder.dump(),
            "lends": inner.lending.dump(),
            "waiting": inner.waiting.len(),
        })
    }
}
