//! Asks runners for their load.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{address, id, number};
use cranberrygap_wire::endpoint;
use futures_util::StreamExt as _;
use futures_util::stream;

use crate::core;
use crate::route;

/// Time between rounds. Reports lag anyway, so that asking more often would
/// bring little that is new.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Runners that are asked at the same time.
const MAX_PARALLEL_REQUESTS: usize = 16;

/// Bytes of reports in one period. An entry may spend 10 KB a second on control
/// in a fleet of 600 runners; reports of all of them twice a second would take
/// 560 KB. So an entry asks the runners that it uses, and one other at a time.
const ROUND_BUDGET_BYTES: u64 = 3_000;

/// Bytes of the heads of a question and its answer.
const HEADER_BYTES: u64 = 250;

/// Size that a report is taken to have before the first came.
const INITIAL_REPORT_BYTES: u64 = 750;

/// Weight of the latest report in the mean size, as one part in so many.
const MEAN_WEIGHT: u64 = 8;

/// Runners that are asked in any case.
const MIN_RUNNERS: u64 = 2;

/// The task that asks for load.
#[derive(Debug)]
pub(crate) struct Poller {
    core: Arc<core::Core>,
    polls: BTreeMap<id::Endpoint, Poll>,
    round_number: u64,
    mean_report_bytes: u64,
}

/// What was asked of one runner.
#[derive(Debug, Clone, Copy, Default)]
struct Poll {
    last_sequence: number::Sequence,
    /// Round in which it was asked last.
    last_round: u64,
}

/// A report and the bytes that it took.
struct Response {
    report: endpoint::Report,
    size: u64,
}

impl Poller {
    /// A task that has not started yet.
    pub(crate) fn new(core: Arc<core::Core>) -> Self {
        Self {
            core,
            polls: BTreeMap::new(),
            round_number: 0,
            mean_report_bytes: INITIAL_REPORT_BYTES,
        }
    }

    /// Asks for ever.
    pub(crate) async fn run(mut self) {
        loop {
            self.run_round().await;
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    async fn run_round(&mut self) {
        self.round_number += 1;
        let runners = self.core.router.runners(self.core.now());
        self.polls
            .retain(|name, _| runners.iter().any(|runner| runner.endpoint == *name));
        let chosen = self.select_runners(runners);
        let asks: Vec<_> = chosen.iter().map(|runner| self.fetch(runner)).collect();
        let mut answers = stream::iter(asks).buffer_unordered(MAX_PARALLEL_REQUESTS);
        while let Some(answer) = answers.next().await {
            if let Some(answer) = answer {
                self.apply_response(&answer);
            }
        }
    }

    /// The runners of this round: those that were not asked for longest, the used
    /// ones before the others, and one of the others in any case.
    fn select_runners(&self, mut runners: Vec<route::Runner>) -> Vec<route::Runner> {
        let count = (ROUND_BUDGET_BYTES / self.mean_report_bytes.max(1)).max(MIN_RUNNERS);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let asked = |runner: &route::Runner| self.polls.get(&runner.endpoint).map(|k| k.last_round);
        runners.sort_by_key(|runner| (!runner.recently_used, asked(runner)));
        let used = runners.iter().filter(|runner| runner.recently_used).count();
        let mut others = runners.split_off(used.min(runners.len()));
        let room = count.saturating_sub(runners.len()).max(1);
        others.truncate(room);
        runners.truncate(count.saturating_sub(others.len()).max(1));
        runners.append(&mut others);
        runners
    }

    fn fetch(&mut self, runner: &route::Runner) -> impl Future<Output = Option<Response>> + use<> {
        let known = self.polls.entry(runner.endpoint.clone()).or_default();
        known.last_round = self.round_number;
        fetch_report(Arc::clone(&self.core), runner.address, known.last_sequence)
    }

    fn apply_response(&mut self, answer: &Response) {
        self.mean_report_bytes =
            (self.mean_report_bytes * (MEAN_WEIGHT - 1) + answer.size) / MEAN_WEIGHT;
        self.core
            .router
            .apply_report(self.core.now(), &answer.report);
        if let Some(known) = self.polls.get_mut(&answer.report.endpoint) {
            known.last_sequence = answer.report.sequence;
        }
    }
}

/// Asks one runner; no answer is no report.
async fn fetch_report(
    core: Arc<core::Core>,
    address: address::Socket,
    since: number::Sequence,
) -> Option<Response> {
    let url = format!("http://{address}/report?since={since}");
    let asking = core
        .upstream
        .pooled()
        .get(url)
        .timeout(REPORT_TIMEOUT)
        .send();
    let answer = asking.await.ok()?.error_for_status().ok()?;
    let bytes = answer.bytes().await.ok()?;
    let report = serde_json::from_slice(&bytes).ok()?;
    let size = bytes.len() as u64 + HEADER_BYTES;
    Some(Response { report, size })
}
