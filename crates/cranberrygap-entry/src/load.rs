//! Asks runners for their load.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{address, id, number};
use cranberrygap_wire::endpoint;
use futures_util::StreamExt as _;
use futures_util::stream;

use crate::core;

/// Time between rounds. Reports lag anyway, so that asking more often would
/// bring little that is new.
const PERIOD: Duration = Duration::from_millis(500);

/// Longest wait for one report.
const DEADLINE: Duration = Duration::from_millis(400);

/// Runners that are asked at the same time.
const PARALLEL: usize = 16;

/// The task that asks for load.
#[derive(Debug)]
pub(crate) struct Poller {
    core: Arc<core::Core>,
    since: BTreeMap<id::Endpoint, number::Sequence>,
}

impl Poller {
    /// A task that has not started yet.
    pub(crate) fn new(core: Arc<core::Core>) -> Self {
        Self {
            core,
            since: BTreeMap::new(),
        }
    }

    /// Asks for ever.
    pub(crate) async fn run(mut self) {
        loop {
            self.round().await;
            tokio::time::sleep(PERIOD).await;
        }
    }

    fn ask(
        &self,
        name: &id::Endpoint,
        address: address::Socket,
    ) -> impl Future<Output = Option<endpoint::Report>> + use<> {
        let since = self.since.get(name).copied().unwrap_or_default();
        ask(Arc::clone(&self.core), address, since)
    }

    async fn round(&mut self) {
        let runners = self.core.router.runners();
        self.since
            .retain(|name, _| runners.iter().any(|(runner, _)| runner == name));
        let asks: Vec<_> = runners
            .iter()
            .map(|(name, address)| self.ask(name, *address))
            .collect();
        let mut answers = stream::iter(asks).buffer_unordered(PARALLEL);
        while let Some(report) = answers.next().await {
            let Some(report) = report else {
                continue;
            };
            self.core.router.report(self.core.now(), &report);
            self.since.insert(report.endpoint, report.sequence);
        }
    }
}

/// Asks one runner; no answer is no report.
async fn ask(
    core: Arc<core::Core>,
    address: address::Socket,
    since: number::Sequence,
) -> Option<endpoint::Report> {
    let url = format!("http://{address}/report?since={since}");
    let asking = core.upstream.pooled().get(url).timeout(DEADLINE).send();
    let answer = asking.await.ok()?.error_for_status().ok()?;
    answer.json().await.ok()
}
