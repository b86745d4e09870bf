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
const PERIOD: Duration = Duration::from_millis(500);

/// Longest wait for one report.
const DEADLINE: Duration = Duration::from_millis(400);

/// Runners that are asked at the same time.
const PARALLEL: usize = 16;

/// Bytes of reports in one period. An entry may spend 10 KB a second on control
/// in a fleet of 600 runners; reports of all of them twice a second would take
/// 560 KB. So an entry asks the runners that it uses, and one other at a time.
const BUDGET: u64 = 3_000;

/// Bytes of the heads of a question and its answer.
const HEADS: u64 = 250;

/// Size that a report is taken to have before the first came.
const FIRST_SIZE: u64 = 750;

/// Weight of the latest report in the mean size, as one part in so many.
const MEAN_OVER: u64 = 8;

/// Runners that are asked in any case.
const LEAST: u64 = 2;

/// The task that asks for load.
#[derive(Debug)]
pub(crate) struct Poller {
    core: Arc<core::Core>,
    known: BTreeMap<id::Endpoint, Known>,
    round: u64,
    size: u64,
}

/// What was asked of one runner.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    since: number::Sequence,
    /// Round in which it was asked last.
    asked: u64,
}

/// A report and the bytes that it took.
struct Answer {
    report: endpoint::Report,
    size: u64,
}

impl Poller {
    /// A task that has not started yet.
    pub(crate) fn new(core: Arc<core::Core>) -> Self {
        Self {
            core,
            known: BTreeMap::new(),
            round: 0,
            size: FIRST_SIZE,
        }
    }

    /// Asks for ever.
    pub(crate) async fn run(mut self) {
        loop {
            self.round().await;
            tokio::time::sleep(PERIOD).await;
        }
    }

    async fn round(&mut self) {
        self.round += 1;
        let runners = self.core.router.runners(self.core.now());
        self.known
            .retain(|name, _| runners.iter().any(|runner| runner.endpoint == *name));
        let chosen = self.choose(runners);
        let asks: Vec<_> = chosen.iter().map(|runner| self.ask(runner)).collect();
        let mut answers = stream::iter(asks).buffer_unordered(PARALLEL);
        while let Some(answer) = answers.next().await {
            if let Some(answer) = answer {
                self.take(&answer);
            }
        }
    }

    /// The runners of this round: those that were not asked for longest, the used
    /// ones before the others, and one of the others in any case.
    fn choose(&self, mut runners: Vec<route::Runner>) -> Vec<route::Runner> {
        let count = (BUDGET / self.size.max(1)).max(LEAST);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let asked = |runner: &route::Runner| self.known.get(&runner.endpoint).map(|k| k.asked);
        runners.sort_by_key(|runner| (!runner.recently_used, asked(runner)));
        let used = runners.iter().filter(|runner| runner.recently_used).count();
        let mut others = runners.split_off(used.min(runners.len()));
        let room = count.saturating_sub(runners.len()).max(1);
        others.truncate(room);
        runners.truncate(count.saturating_sub(others.len()).max(1));
        runners.append(&mut others);
        runners
    }

    fn ask(&mut self, runner: &route::Runner) -> impl Future<Output = Option<Answer>> + use<> {
        let known = self.known.entry(runner.endpoint.clone()).or_default();
        known.asked = self.round;
        ask(Arc::clone(&self.core), runner.address, known.since)
    }

    fn take(&mut self, answer: &Answer) {
        self.size = (self.size * (MEAN_OVER - 1) + answer.size) / MEAN_OVER;
        self.core
            .router
            .apply_report(self.core.now(), &answer.report);
        if let Some(known) = self.known.get_mut(&answer.report.endpoint) {
            known.since = answer.report.sequence;
        }
    }
}

/// Asks one runner; no answer is no report.
async fn ask(
    core: Arc<core::Core>,
    address: address::Socket,
    since: number::Sequence,
) -> Option<Answer> {
    let url = format!("http://{address}/report?since={since}");
    let asking = core.upstream.pooled().get(url).timeout(DEADLINE).send();
    let answer = asking.await.ok()?.error_for_status().ok()?;
    let bytes = answer.bytes().await.ok()?;
    let report = serde_json::from_slice(&bytes).ok()?;
    let size = bytes.len() as u64 + HEADS;
    Some(Answer { report, size })
}
