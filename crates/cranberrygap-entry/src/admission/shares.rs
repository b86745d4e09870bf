//! The limiter: admits from the shares that the leader leases to this entry.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, holder};
use cranberrygap_wire::{configuration, method, share};
use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::core;
use crate::view;

use super::account::Account;
use super::{Limiter, Refused};

/// Longest wait for the leader's answer, after which another one is asked.
const ANSWER: duration::Span = duration::Span::from_millis(700);

/// Longest wait that callers are told.
const LONGEST_RETRY: duration::Span = duration::Span::from_secs(60);

/// Shares of this entry and the requests that wait for tokens.
#[derive(Debug)]
pub(crate) struct Shares {
    clock: clock::Clock,
    inner: Mutex<Inner>,
    /// Somebody waits for tokens, so that a renewal may be due earlier.
    asked: Notify,
}

#[derive(Debug)]
struct Inner {
    holder: holder::Holder,
    waiting: BTreeMap<u64, oneshot::Sender<holder::Decision>>,
    limits: BTreeMap<id::Workspace, limits::Limit>,
    account: Account,
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
            inner.holder.abandon(self.ticket);
        }
    }
}

impl Shares {
    /// No shares yet.
    pub(crate) fn new(clock: clock::Clock, instance: id::Instance, boot: number::Boot) -> Self {
        Self {
            clock,
            inner: Mutex::new(Inner {
                holder: holder::Holder::new(instance, boot),
                waiting: BTreeMap::new(),
                limits: BTreeMap::new(),
                account: Account::default(),
            }),
            asked: Notify::new(),
        }
    }

    /// Renews the shares and serves who waits, until the process stops.
    pub(crate) async fn run(self: Arc<Self>, core: Arc<core::Core>) {
        loop {
            self.rest().await;
            if let Some(line) = self.inner.lock().account.line(self.clock.now()) {
                spdlog::info!("limits: {line}");
            }
            if self.inner.lock().holder.due() <= self.clock.now() {
                self.renew(&core).await;
            }
        }
    }

    /// Hands all tokens back, as the last thing before the process ends.
    pub(crate) async fn close(&self, core: &core::Core) {
        self.inner.lock().holder.close(self.clock.now());
        self.renew(core).await;
    }

    /// Waits until a renewal is due, and decides on waiting requests meanwhile.
    async fn rest(&self) {
        let (due, wake) = {
            let inner = self.inner.lock();
            (inner.holder.due(), inner.holder.wake())
        };
        let until = wake.map_or(due, |wake| due.min(wake));
        let span = until.since(self.clock.now());
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
            let reason = inner.holder.reason();
            inner.account.renewed(reason);
            inner.holder.renew(begin)
        };
        let asking = core
            .leader
            .call::<_, share::Granted>(method::SHARE_RENEW, &renewal, ANSWER);
        tokio::pin!(asking);
        let answer = loop {
            let wake = self.inner.lock().holder.wake();
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
                    inner.holder.granted(now, &granted);
                }
                Err(_cause) => inner.holder.failed(renewal.sequence),
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
                inner.holder.settle(now, &unused, token::Count(0));
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
        patience: holder::Patience,
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
                holder::Verdict::Admitted(reservation) => {
                    inner.account.served_at_once();
                    return Ok(reservation);
                }
                holder::Verdict::Waiting(ticket) => {
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
        patience: holder::Patience,
    ) -> BoxFuture<'call, Result<holder::Reservation, Refused>> {
        Box::pin(self.take(workspace, tokens, patience))
    }

    fn settle(&self, reservation: &holder::Reservation, used: token::Count) {
        let now = self.clock.now();
        self.inner.lock().holder.settle(now, reservation, used);
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
        let mut inner = self.inner.lock();
        inner.limits = limits.chain(planned).collect();
        inner.holder.set_entries(view.entries());
    }

    fn dump(&self) -> serde_json::Value {
        let inner = self.inner.lock();
        serde_json::json!({
            "shares": inner.holder.dump(),
            "waiting": inner.waiting.len(),
        })
    }
}
