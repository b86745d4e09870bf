//! Polls runners for their load reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{address, id, number};
use cranberrygap_wire::endpoint;
use futures_util::StreamExt as _;
use futures_util::stream;

use crate::core;
use crate::route;
use crate::upstream;

/// Time between polling rounds. Reports lag anyway, so shorter intervals would add little.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of concurrent report requests.
const MAX_PARALLEL_REQUESTS: usize = 16;

/// Bytes of reports per round. An entry may use 10 KB/s for control traffic in a fleet of
/// 600 runners; reports of all of them twice a second would take 560 KB. An entry
/// therefore polls the runners that it uses, and at least one other per round.
const ROUND_BUDGET_BYTES: u64 = 3_000;

/// Bytes of the HTTP headers of a report request and its response.
const HEADER_BYTES: u64 = 250;

/// Assumed size in bytes of a report before the first one arrives.
const INITIAL_REPORT_BYTES: u64 = 750;

/// Largest report that is read, in bytes; thousands of models fit.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Divisor of the moving mean of report sizes: the latest report weighs `1 / MEAN_DIVISOR`.
const MEAN_DIVISOR: u64 = 8;

/// Minimum number of runners per round, whatever the budget.
const MIN_RUNNERS: u64 = 2;

/// Task that polls the runners.
#[derive(Debug)]
pub(crate) struct Poller {
    core: Arc<core::Core>,
    polls: BTreeMap<id::Endpoint, Poll>,
    round_number: u64,
    mean_report_bytes: u64,
}

/// State of polling one runner.
#[derive(Debug, Clone, Copy, Default)]
struct Poll {
    last_sequence: number::Sequence,
    /// Round in which the runner was last polled.
    last_round: u64,
}

/// Load report and its size.
struct Response {
    report: endpoint::Report,
    size: u64,
}

impl Poller {
    /// Creates a task that [`Self::run`] starts.
    pub(crate) fn new(core: Arc<core::Core>) -> Self {
        Self {
            core,
            polls: BTreeMap::new(),
            round_number: 0,
            mean_report_bytes: INITIAL_REPORT_BYTES,
        }
    }

    /// Polls until the task is aborted.
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
        let requests: Vec<_> = chosen.iter().map(|runner| self.fetch(runner)).collect();
        let mut responses = stream::iter(requests).buffer_unordered(MAX_PARALLEL_REQUESTS);
        while let Some(response) = responses.next().await {
            if let Some(response) = response {
                self.apply_response(&response);
            }
        }
    }

    /// Selects the runners of this round: recently used ones first, each group by the time
    /// since the last poll, and at least one that was not recently used.
    fn select_runners(&self, mut runners: Vec<route::Runner>) -> Vec<route::Runner> {
        let count = (ROUND_BUDGET_BYTES / self.mean_report_bytes.max(1)).max(MIN_RUNNERS);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let last_round =
            |runner: &route::Runner| self.polls.get(&runner.endpoint).map(|poll| poll.last_round);
        runners.sort_by_key(|runner| (!runner.recently_used, last_round(runner)));
        let used = runners.iter().filter(|runner| runner.recently_used).count();
        let mut others = runners.split_off(used.min(runners.len()));
        let remaining = count.saturating_sub(runners.len()).max(1);
        others.truncate(remaining);
        runners.truncate(count.saturating_sub(others.len()).max(1));
        runners.append(&mut others);
        runners
    }

    fn fetch(&mut self, runner: &route::Runner) -> impl Future<Output = Option<Response>> + use<> {
        let poll = self.polls.entry(runner.endpoint.clone()).or_default();
        poll.last_round = self.round_number;
        fetch_report(Arc::clone(&self.core), runner.address, poll.last_sequence)
    }

    fn apply_response(&mut self, response: &Response) {
        self.mean_report_bytes =
            (self.mean_report_bytes * (MEAN_DIVISOR - 1) + response.size) / MEAN_DIVISOR;
        self.core
            .router
            .apply_report(self.core.now(), &response.report);
        if let Some(poll) = self.polls.get_mut(&response.report.endpoint) {
            poll.last_sequence = response.report.sequence;
        }
    }
}

/// Fetches the report of one runner, `None` if the request fails.
async fn fetch_report(
    core: Arc<core::Core>,
    address: address::Socket,
    since: number::Sequence,
) -> Option<Response> {
    let url = format!("http://{address}/report?since={since}");
    let request = core.upstream.pooled().get(url).timeout(REPORT_TIMEOUT);
    let response = upstream::send(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let bytes = response.read_body(MAX_REPORT_BYTES).await.ok()?;
    let report = serde_json::from_slice(&bytes).ok()?;
    let size = bytes.len() as u64 + HEADER_BYTES;
    Some(Response { report, size })
}
