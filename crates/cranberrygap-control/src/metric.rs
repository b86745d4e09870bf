//! Metrics of a control process: counts and processor time by kind of work, and response times.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cadence::{Counted as _, Gauged as _, StatsdClient, Timed as _};
use cranberrygap_link::{processor, traffic};
use cranberrygap_trace::metric::Metric;
use cranberrygap_wire::method;
use parking_lot::Mutex;

/// Time between two log lines that summarize the metrics.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// Whether the process leads.
pub const LEADS: &str = "leads";
/// Commands of the log that were applied.
pub(crate) const STEPS: &str = "steps";
/// View frames that were sent.
pub(crate) const FRAMES: &str = "frames";
/// Size of the view frames that were sent.
pub(crate) const FRAME_BYTES: &str = "frame_bytes";
/// Response time of an entry's confirmation.
pub(crate) const CONFIRM: &str = "confirm";
/// Response time of a share renewal.
pub(crate) const RENEWAL: &str = "renewal";
/// Share renewals that wait in the queue.
pub(crate) const RENEWALS_WAITING: &str = "renewals_waiting";
/// Share renewals by what they ask for.
pub(crate) const RENEWALS: &str = "renewals";
/// Processor time spent on a kind of work.
pub(crate) const WORK: &str = "work";
/// Announcements of endpoints that returned no process to service.
pub(crate) const OBJECTIONS: &str = "objections";
/// Origins of streams that entries told and asked for.
pub(crate) const ORIGINS: &str = "origins";
/// Calls that were answered.
pub(crate) const CALLS: &str = "calls";
/// Processor time of reading, answering and writing calls.
pub(crate) const CALL_WORK: &str = "call_work";
/// Processor time of the whole process.
pub(crate) const PROCESSOR: &str = "processor";
/// Bytes that this process sent and received over links.
pub(crate) const TRAFFIC_BYTES: &str = "traffic_bytes";

/// Methods with a tag of their own; all others share one.
const TAGGED_METHODS: [&str; 10] = [
    method::VIEW_CONFIRM,
    method::SHARE_RENEW,
    method::CLAIM_OPEN,
    method::CLAIM_CLOSE,
    method::CRASH_REPORT,
    method::SUSPECT_LEAVE,
    method::ADAPTER_WANT,
    method::AGREEMENT,
    method::ENDPOINTS_HEARD,
    method::ENDPOINT_DRAINING,
];

/// All metrics of a control process.
pub const ALL: [Metric; 15] = [
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
        meaning: "processor time spent on work, tagged with its kind",
    },
    Metric {
        name: RENEWALS,
        kind: "c",
        unit: "renewals",
        meaning: "renewals of shares, tagged short, moves or nothing by what they ask for",
    },
    Metric {
        name: OBJECTIONS,
        kind: "c",
        unit: "announcements",
        meaning: "announcements of endpoints that returned no process to service, tagged sequence, earlier_process, left, other_software or drained by why",
    },
    Metric {
        name: ORIGINS,
        kind: "c",
        unit: "streams",
        meaning: "streams whose origins entries told, and asked for, tagged told, known or unknown",
    },
    Metric {
        name: CALLS,
        kind: "c",
        unit: "calls",
        meaning: "calls over links that were answered, tagged with the method",
    },
    Metric {
        name: CALL_WORK,
        kind: "c",
        unit: "nanoseconds",
        meaning: "processor time that reading, answering and writing those took, tagged alike",
    },
    Metric {
        name: PROCESSOR,
        kind: "c",
        unit: "nanoseconds",
        meaning: "processor time of the whole process, with sockets and all else",
    },
    Metric {
        name: TRAFFIC_BYTES,
        kind: "c",
        unit: "bytes",
        meaning: "bytes over links without the headers of TCP and IP, tagged with kind, sent or received, and same_domain, other_domain or unknown_domain by where the peer is",
    },
];

/// Kinds of work whose processor time is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// Applying commands of the log.
    Apply,
    /// Encoding view frames.
    Frame,
    /// Snapshots of the replicated state.
    Snapshot,
    /// Leases of entries.
    Lease,
    /// Shares of rates and bursts.
    Share,
    /// Placement of models and adapters.
    Placement,
    /// Detection of silent entries and endpoints.
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

/// Recorder of a control process's metrics.
#[derive(Debug, Clone)]
pub struct Recorder {
    client: Arc<StatsdClient>,
    summary: Arc<Mutex<Summary>>,
}

/// Values recorded since the last summary.
#[derive(Debug, Default)]
struct Summary {
    counts: BTreeMap<(&'static str, &'static str), usize>,
    timings: BTreeMap<&'static str, Timing>,
}

#[derive(Debug, Default)]
struct Timing {
    count: usize,
    longest: Duration,
}

impl Recorder {
    /// Creates a recorder that sends to `client`.
    #[must_use]
    pub fn new(client: Arc<StatsdClient>) -> Self {
        let summary = Arc::default();
        Self { client, summary }
    }

    /// Creates a recorder that sends nothing.
    #[must_use]
    pub fn none() -> Self {
        let sink = cadence::NopMetricSink;
        Self::new(Arc::new(StatsdClient::from_sink("", sink)))
    }

    pub(crate) fn count(&self, name: &'static str, tag: &'static str, count: usize) {
        *self.summary.lock().counts.entry((name, tag)).or_default() += count;
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        let metric = self.client.count_with_tags(name, count);
        metric.with_tag_value(tag).send();
    }

    pub(crate) fn gauge(&self, name: &'static str, value: usize) {
        // A metric that cannot be sent is lost.
        let _lost = self.client.gauge(name, value as u64);
    }

    pub(crate) fn time(&self, name: &'static str, time: Duration) {
        let mut summary = self.summary.lock();
        let timing = summary.timings.entry(name).or_default();
        timing.count += 1;
        timing.longest = timing.longest.max(time);
        drop(summary);
        // A metric that cannot be sent is lost.
        let _lost = self.client.time(name, time);
    }

    /// Runs `work` and records its processor time.
    pub(crate) fn measure<R>(&self, kind: Work, work: impl FnOnce() -> R) -> R {
        let start = processor::thread_time();
        let result = work();
        let spent = processor::thread_time().saturating_sub(start);
        self.count(WORK, kind.name(), nanos(spent));
        result
    }

    /// Records an answered call and its processor time.
    pub(crate) fn record_call(&self, method: &str, spent: Duration) {
        let method = TAGGED_METHODS.iter().find(|known| **known == method);
        let method = method.copied().unwrap_or("other");
        self.count(CALLS, method, 1);
        self.count(CALL_WORK, method, nanos(spent));
    }

    /// Sends what `meter` has counted since the last call.
    fn send_traffic(&self, meter: &traffic::Meter) {
        for change in meter.take_changes() {
            let bytes = i64::try_from(change.bytes).unwrap_or(i64::MAX);
            let counter = self
                .client
                .count_with_tags(TRAFFIC_BYTES, bytes)
                .with_tag_value(change.kind.name())
                .with_tag_value(change.direction.name())
                .with_tag_value(change.place.name());
            counter.send();
        }
    }

    /// Logs a summary every [`SUMMARY_INTERVAL`] until the process stops.
    pub(crate) async fn log_summaries(self, meter: Arc<traffic::Meter>) {
        let mut before = processor::process_time();
        loop {
            tokio::time::sleep(SUMMARY_INTERVAL).await;
            let now = processor::process_time();
            self.count(PROCESSOR, "all", nanos(now.saturating_sub(before)));
            before = now;
            let summary = std::mem::take(&mut *self.summary.lock());
            spdlog::info!(
                "control: in {} s: {}",
                SUMMARY_INTERVAL.as_secs(),
                summary.to_line()
            );
            self.send_traffic(&meter);
            let crossing = meter.summary();
            if !crossing.is_empty() {
                spdlog::info!("traffic: bytes across failure domains since the start: {crossing}");
            }
        }
    }
}

fn nanos(span: Duration) -> usize {
    usize::try_from(span.as_nanos()).unwrap_or(usize::MAX)
}

impl Summary {
    fn to_line(&self) -> String {
        const NANOS_IN_MICRO: usize = 1_000;
        let mut parts = Vec::new();
        for ((name, tag), count) in &self.counts {
            parts.push(match *name {
                WORK | CALL_WORK | PROCESSOR => {
                    format!("{name} {tag} {} us", count / NANOS_IN_MICRO)
                }
                _ => format!("{name} {tag} {count}"),
            });
        }
        for (name, timing) in &self.timings {
            let (count, longest) = (timing.count, timing.longest.as_millis());
            parts.push(format!("{name} {count} of {longest} ms at most"));
        }
        parts.join(", ")
    }
}
