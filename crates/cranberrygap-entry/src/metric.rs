//! Names of an entry's metrics, with kind, unit and meaning.

/// One metric as it is sent, behind the prefix `cranberrygap.entry.INSTANCE.`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Name behind the prefix.
    pub name: &'static str,
    /// StatsD kind: `c` counter, `ms` timer, `g` gauge.
    pub kind: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// What it tells.
    pub meaning: &'static str,
}

/// Answers of any kind.
pub(crate) const REQUESTS: &str = "requests";
/// Requests that were refused.
pub(crate) const REFUSED: &str = "refused";
/// Model answers that ended.
pub(crate) const ANSWERS: &str = "answers";
/// Tokens that went out.
pub(crate) const TOKENS: &str = "tokens";
/// Time to the first token.
pub(crate) const FIRST_TOKEN: &str = "first_token";

/// All metrics of an entry.
pub const ALL: [Metric; 5] = [
    Metric {
        name: REQUESTS,
        kind: "c",
        unit: "requests",
        meaning: "answers to callers, tagged with the status",
    },
    Metric {
        name: REFUSED,
        kind: "c",
        unit: "requests",
        meaning: "refusals, tagged with the code",
    },
    Metric {
        name: ANSWERS,
        kind: "c",
        unit: "requests",
        meaning: "model answers that ended, tagged attained or missed by the latency targets",
    },
    Metric {
        name: TOKENS,
        kind: "c",
        unit: "tokens",
        meaning: "tokens that streams passed on",
    },
    Metric {
        name: FIRST_TOKEN,
        kind: "ms",
        unit: "milliseconds",
        meaning: "time from a streamed request's arrival to its first token",
    },
];
