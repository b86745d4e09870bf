//! Metrics of a control process: how much it does of each kind, and how late it answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cadence::{Counted as _, Gauged as _, StatsdClient, Timed as _};
use cranberrygap_trace::metric::Metric;
use parking_lot::Mutex;

/// Time between two lines that sum up what was done.
const SUMMARY: Duration = Duration::from_secs(5);

/// Whether the process leads.
pub const LEADS: &str = "leads";
/// Commands of the log that were applied.
pub(crate) const STEPS: &str = "steps";
/// Frames of the view that were sent.
pub(crate) const FRAMES: &str = "frames";
/// Their size.
pub(crate) const FRAME_BYTES: &str = "frame_bytes";
/// Time to answer an entry's confirmation.
pub(crate) const CONFIRM: &str = "confirm";
/// Time to answer a renewal of shares.
pub(crate) const RENEWAL: &str = "renewal";
/// Renewals that wait in line.
pub(crate) const RENEWALS_WAITING: &str = "renewals_waiting";
/// Time that the process spent on a kind of work.
pub(crate) const WORK: &str = "work";

/// All metrics of a control process.
pub const ALL: [Metric; 8] = [
    Metric {
        name: LEADS,
        kind: "g",
        unit: "1 or 0",
        meaning: "whether it leads; the sum over all is 1 but for elections",
    },
    Metric {
        name: STEPS,
        kind: "c",
        unit: "commands",
        meaning: "commands of the log that were applied, tagged with their subject",
    },
    Metric {
        name: FRAMES,
        kind: "c",
        unit: "frames",
        meaning: "frames of the view that were sent, tagged snapshot, delta or heartbeat",
    },
    Metric {
        name: FRAME_BYTES,
        kind: "c",
        unit: "bytes",
        meaning: "size of those frames, tagged alike",
    },
    Metric {
        name: CONFIRM,
        kind: "ms",
        unit: "milliseconds",
        meaning: "time from an entry's confirmation to its answer",
    },
    Metric {
        name: RENEWAL,
        kind: "ms",
        unit: "milliseconds",
        meaning: "time from a renewal of shares to its answer",
    },
    Metric {
        name: RENEWALS_WAITING,
        kind: "g",
        unit: "renewals",
        meaning: "renewals that waited in line when the last one came",
    },
    Metric {
        name: WORK,
        kind: "c",
        unit: "nanoseconds",
        meaning: "time spent on work, tagged with its kind",
    },
];

/// Kinds of work that are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// Commands of the log.
    Apply,
    /// Frames of the view.
    Frame,
    /// Snapshots of the replicated state.
    Snapshot,
    /// Leases of entries.
    Lease,
    /// Shares of rates.
    Share,
    /// Where models and adapters go.
    Placement,
    /// Silence of entries and endpoints.
    Silence,
}

impl Work {
    const fn name(self) -> &'static str {
        match self {
            Self::Apply => "apply",
            Self::Frame => "frame",
            Self::Snapshot => "snapshot",
            Self::Lease => "lease",
            Self::Share => "share",
            Self::Placement => "placement",
            Self::Silence => "silence",
        }
    }
}

/// Where a control process counts.
#[derive(Debug, Clone)]
pub struct Recorder {
    client: Arc<StatsdClient>,
    sums: Arc<Mutex<Sums>>,
}

/// What was counted since the last line.
#[derive(Debug, Default)]
struct Sums {
    counts: BTreeMap<(&'static str, &'static str), usize>,
    times: BTreeMap<&'static str, Times>,
}

#[derive(Debug, Default)]
struct Times {
    count: usize,
    longest: Duration,
}

impl Recorder {
    /// Counts to `client`.
    #[must_use]
    pub fn new(client: Arc<StatsdClient>) -> Self {
        let sums = Arc::default();
        Self { client, sums }
    }

    /// Counts nothing.
    #[must_use]
    pub fn none() -> Self {
        let sink = cadence::NopMetricSink;
        Self::new(Arc::new(StatsdClient::from_sink("", sink)))
    }

    pub(crate) fn count(&self, name: &'static str, tag: &'static str, count: usize) {
        *self.sums.lock().counts.entry((name, tag)).or_default() += count;
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        let metric = self.client.count_with_tags(name, count);
        metric.with_tag_value(tag).send();
    }

    pub(crate) fn gauge(&self, name: &'static str, value: usize) {
        // A metric that cannot be sent is lost.
        let _lost = self.client.gauge(name, value as u64);
    }

    pub(crate) fn time(&self, name: &'static str, time: Duration) {
        let mut sums = self.sums.lock();
        let times = sums.times.entry(name).or_default();
        times.count += 1;
        times.longest = times.longest.max(time);
        drop(sums);
        // A metric that cannot be sent is lost.
        let _lost = self.client.time(name, time);
    }

    /// Does `work` and counts its time.
    pub(crate) fn work<R>(&self, kind: Work, work: impl FnOnce() -> R) -> R {
        let begin = Instant::now();
        let result = work();
        let nanos = usize::try_from(begin.elapsed().as_nanos()).unwrap_or(usize::MAX);
        self.count(WORK, kind.name(), nanos);
        result
    }

    /// Writes a line with what was done, every few seconds until the process stops.
    pub(crate) async fn watch(self) {
        loop {
            tokio::time::sleep(SUMMARY).await;
            let sums = std::mem::take(&mut *self.sums.lock());
            spdlog::info!("control: in {} s: {}", SUMMARY.as_secs(), sums.line());
        }
    }
}

impl Sums {
    fn line(&self) -> String {
        const NANOS_IN_MICRO: usize = 1_000;
        let mut parts = Vec::new();
        for ((name, tag), count) in &self.counts {
            parts.push(match *name {
                WORK => format!("{name} {tag} {} us", count / NANOS_IN_MICRO),
                _ => format!("{name} {tag} {count}"),
            });
        }
        for (name, times) in &self.times {
            let (count, longest) = (times.count, times.longest.as_millis());
            parts.push(format!("{name} {count} of {longest} ms at most"));
        }
        parts.join(", ")
    }
}
