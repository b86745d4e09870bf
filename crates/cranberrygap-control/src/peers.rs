//! What entries ask of a control process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrygap_link::{credential, server};
use cranberrygap_state::{answer, claim, command, quarantine};
use cranberrygap_wire::{claim as wire_claim, method, share, traffic, view};
use parking_lot::Mutex;

use crate::confirmation;
use crate::detector;
use crate::followers;
use crate::leadership;
use crate::metric;
use crate::orders;
use crate::permission;
use crate::proposer;
use crate::quiet;
use crate::replicated;
use crate::residency;
use crate::shares;
use crate::subscription;

/// Time of an answer from which on it is said: a quarter of the lease.
const LATE: Duration = Duration::from_micros(leadership::LEASE.0 / 4);

/// Time between two lines about late answers.
const LATE_LINES: Duration = Duration::from_secs(1);

/// What the handlers work with.
#[derive(Debug)]
pub(crate) struct Desk {
    pub(crate) state: Arc<replicated::State>,
    pub(crate) proposer: proposer::Proposer,
    pub(crate) detector: Arc<detector::Detector>,
    pub(crate) confirmations: confirmation::Confirmations,
    pub(crate) shares: Arc<shares::Shares>,
    pub(crate) permissions: permission::Permissions,
    pub(crate) orders: Arc<orders::Orders>,
    pub(crate) residency: Arc<residency::Residency>,
    pub(crate) metrics: metric::Recorder,
    /// Entries that were sent elsewhere for their view.
    pub(crate) followers: Mutex<followers::Followers>,
    /// Lines about late answers.
    pub(crate) late: quiet::Quiet,
}

/// Lines about late answers, one in [`LATE_LINES`].
pub(crate) const fn late() -> quiet::Quiet {
    quiet::Quiet::new(LATE_LINES)
}

/// Offers the entries' methods.
pub(crate) fn offer(builder: server::Builder, desk: &Arc<Desk>) -> server::Builder {
    let role = credential::Role::Fleet;
    let builder = {
        let desk = Arc::clone(desk);
        builder.subscription(
            method::VIEW_SUBSCRIBE,
            role,
            move |wanted: view::Subscribe| {
                let desk = Arc::clone(&desk);
                async move { subscription::open(&desk, &wanted).await }
            },
        )
    };
    let builder = {
        let desk = Arc::clone(desk);
        builder.method(method::VIEW_CONFIRM, role, move |confirm: view::Confirm| {
            let desk = Arc::clone(&desk);
            async move { desk.confirm(confirm).await }
        })
    };
    let builder = {
        let desk = Arc::clone(desk);
        builder.method(method::SHARE_RENEW, role, move |renew: share::Renew| {
            let desk = Arc::clone(&desk);
            async move { desk.shares.renew(renew).await }
        })
    };
    let builder = {
        let desk = Arc::clone(desk);
        builder.method(
            method::SUSPECT_LEAVE,
            role,
            move |leave: wire_claim::Leave| {
                let desk = Arc::clone(&desk);
                async move { desk.permissions.take(&leave) }
            },
        )
    };
    let builder = {
        let desk = Arc::clone(desk);
        builder.method(method::CLAIM_OPEN, role, move |open: wire_claim::Open| {
            let desk = Arc::clone(&desk);
            async move { desk.open_claim(open).await }
        })
    };
    let builder = {
        let desk = Arc::clone(desk);
        builder.method(
            method::CLAIM_CLOSE,
            role,
            move |close: wire_claim::Close| {
                let desk = Arc::clone(&desk);
                let command = command::Command::Claim(claim::Step::Close(close));
                async move { desk.proposer.propose(command).await.map(drop) }
            },
        )
    };
    let builder = {
        let desk = Arc::clone(desk);
        builder.method(method::ADAPTER_WANT, role, move |want: traffic::Want| {
            let desk = Arc::clone(&desk);
            async move { desk.residency.want(want).await }
        })
    };
    let desk = Arc::clone(desk);
    builder.method(
        method::CRASH_REPORT,
        role,
        move |crash: wire_claim::Crash| {
            let desk = Arc::clone(&desk);
            let command = command::Command::Quarantine(quarantine::Step { crash });
            async move { desk.proposer.propose(command).await.map(drop) }
        },
    )
}

impl Desk {
    async fn open_claim(
        &self,
        open: wire_claim::Open,
    ) -> Result<wire_claim::Verdict, server::Fault> {
        let command = command::Command::Claim(claim::Step::Open(open));
        match self.proposer.propose(command).await? {
            answer::Answer::Claimed(verdict) => Ok(verdict),
            other => Err(proposer::unexpected(&other)),
        }
    }

    /// Answers a confirmation, and says when that took long.
    async fn confirm(&self, confirm: view::Confirm) -> Result<view::Confirmed, server::Fault> {
        let begin = Instant::now();
        let answer = self.lease(&confirm).await;
        let took = begin.elapsed();
        self.metrics.time(metric::CONFIRM, took);
        if took > LATE && self.late.may_speak() {
            spdlog::warn!(
                "leader: the answer to {} took {} ms of its lease, with {} announcements; more \
                 such are not written within a second",
                confirm.instance,
                took.as_millis(),
                confirm.announcements.len()
            );
        }
        answer
    }

    async fn lease(&self, confirm: &view::Confirm) -> Result<view::Confirmed, server::Fault> {
        let confirmed = self.confirmations.take(confirm).await?;
        self.orders.count(&confirm.demands);
        self.residency.count(&confirm.demands);
        Ok(confirmed)
    }
}
