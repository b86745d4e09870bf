//! Entries' methods of a control process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrygap_link::{credential, server};
use cranberrygap_state::{answer, claim, command, endpoint, quarantine};
use cranberrygap_wire::{claim as wire_claim, method, share, traffic, view};
use parking_lot::Mutex;

use crate::confirmation;
use crate::detector;
use crate::evacuation;
use crate::leadership;
use crate::metric;
use crate::objections;
use crate::orders;
use crate::permission;
use crate::plans;
use crate::proposer;
use crate::redirect;
use crate::relay;
use crate::replicated;
use crate::residency;
use crate::shares;
use crate::subscription;
use crate::throttle;

/// Response time above which an answer is logged as slow: a quarter of the lease.
const SLOW_ANSWER: Duration = Duration::from_micros(leadership::LEASE.0 / 4);

/// Time between two log lines about slow answers.
const SLOW_ANSWER_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Everything that the method handlers share.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) state: Arc<replicated::State>,
    pub(crate) proposer: proposer::Proposer,
    pub(crate) detector: Arc<detector::Detector>,
    pub(crate) confirmation_handler: confirmation::Handler,
    pub(crate) evacuation_handler: evacuation::Handler,
    pub(crate) plans: Arc<plans::Publisher>,
    pub(crate) shares: Arc<shares::Coordinator>,
    pub(crate) permissions: permission::Permissions,
    pub(crate) orders: Arc<orders::Coordinator>,
    pub(crate) residency: Arc<residency::Coordinator>,
    pub(crate) metrics: metric::Recorder,
    pub(crate) objections: objections::Recorder,
    /// Passes on what endpoints say while this process does not lead.
    pub(crate) relay: Arc<relay::Relay>,
    /// Subscribers that were redirected to other control processes.
    pub(crate) redirects: Mutex<redirect::Redirects>,
    /// Rate limit of log lines about slow answers.
    pub(crate) slow_answer_log: throttle::Throttle,
}

/// Creates a rate limit of one line per [`SLOW_ANSWER_LOG_INTERVAL`].
pub(crate) const fn slow_answer_log() -> throttle::Throttle {
    throttle::Throttle::new(SLOW_ANSWER_LOG_INTERVAL)
}

/// Registers the entries' methods.
pub(crate) fn register(builder: server::Builder, context: &Arc<Context>) -> server::Builder {
    let role = credential::Role::Fleet;
    let builder = {
        let context = Arc::clone(context);
        builder.subscription(
            method::VIEW_SUBSCRIBE,
            role,
            move |wanted: view::Subscribe| {
                let context = Arc::clone(&context);
                async move { subscription::open(&context, &wanted).await }
            },
        )
    };
    let builder = {
        let context = Arc::clone(context);
        builder.method(method::VIEW_CONFIRM, role, move |confirm: view::Confirm| {
            let context = Arc::clone(&context);
            async move { context.handle_confirmation(confirm).await }
        })
    };
    let builder = {
        let context = Arc::clone(context);
        builder.method(method::SHARE_RENEW, role, move |renew: share::Renew| {
            let context = Arc::clone(&context);
            async move { context.shares.renew(renew).await }
        })
    };
    let builder = {
        let context = Arc::clone(context);
        builder.method(
            method::SUSPECT_LEAVE,
            role,
            move |leave: wire_claim::Leave| {
                let context = Arc::clone(&context);
                async move { context.permissions.handle(&leave) }
            },
        )
    };
    let builder = {
        let context = Arc::clone(context);
        builder.method(method::CLAIM_OPEN, role, move |open: wire_claim::Open| {
            let context = Arc::clone(&context);
            async move { context.open_claim(open).await }
        })
    };
    let builder = {
        let context = Arc::clone(context);
        builder.method(
            method::CLAIM_CLOSE,
            role,
            move |close: wire_claim::Close| {
                let context = Arc::clone(&context);
                let command = command::Command::Claim(claim::Step::Close(close));
                async move { context.proposer.propose(command).await.map(drop) }
            },
        )
    };
    let builder = {
        let context = Arc::clone(context);
        builder.method(method::ADAPTER_WANT, role, move |want: traffic::Want| {
            let context = Arc::clone(&context);
            async move { context.residency.request_adapter(want).await }
        })
    };
    let builder = {
        let context = Arc::clone(context);
        builder.method(method::ENDPOINTS_HEARD, role, move |heard: view::Heard| {
            let context = Arc::clone(&context);
            async move { context.confirmation_handler.record_heard(heard).await }
        })
    };
    let builder = {
        let context = Arc::clone(context);
        builder.method(
            method::ENDPOINT_DRAINING,
            role,
            move |draining: view::Draining| {
                let context = Arc::clone(&context);
                async move { context.record_draining(draining).await }
            },
        )
    };
    let context = Arc::clone(context);
    builder.method(
        method::CRASH_REPORT,
        role,
        move |crash: wire_claim::Crash| {
            let context = Arc::clone(&context);
            let command = command::Command::Quarantine(quarantine::Step { crash });
            async move { context.proposer.propose(command).await.map(drop) }
        },
    )
}

impl Context {
    async fn open_claim(
        &self,
        open: wire_claim::Open,
    ) -> Result<wire_claim::Verdict, server::Fault> {
        let command = command::Command::Claim(claim::Step::Open(open));
        match self.proposer.propose(command).await? {
            answer::Answer::Claimed(verdict) => Ok(verdict),
            other => Err(proposer::unexpected_answer_fault(&other)),
        }
    }

    /// Takes a process out of service that said to an entry that it drains. Each entry that hears
    /// it tells; only the first one changes anything.
    async fn record_draining(&self, draining: view::Draining) -> Result<(), server::Fault> {
        self.proposer.check_leads()?;
        if !self
            .state
            .read(|fleet| fleet.endpoints.would_drain(&draining))
        {
            return Ok(());
        }
        spdlog::info!(
            "endpoint: {}, boot {}, drains, as it said to an entry",
            draining.endpoint,
            draining.boot
        );
        let command = command::Command::Endpoint(endpoint::Step::Draining(draining));
        self.proposer.propose(command).await.map(drop)
    }

    /// Answers a confirmation, and logs if that was slow.
    async fn handle_confirmation(
        &self,
        confirm: view::Confirm,
    ) -> Result<view::Confirmed, server::Fault> {
        let start = Instant::now();
        let answer = self.confirm_and_record_demand(&confirm).await;
        let took = start.elapsed();
        self.metrics.time(metric::CONFIRM, took);
        if took > SLOW_ANSWER && self.slow_answer_log.allow() {
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

    async fn confirm_and_record_demand(
        &self,
        confirm: &view::Confirm,
    ) -> Result<view::Confirmed, server::Fault> {
        let confirmed = self.confirmation_handler.handle(confirm).await?;
        self.orders.record_demand(&confirm.demands);
        self.residency.record_demand(&confirm.demands);
        Ok(confirmed)
    }
}
