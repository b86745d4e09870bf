//! Metrics of an entry: name, kind, unit and meaning.

use cranberrygap_trace::metric::Metric;

/// Number of responses to callers.
pub(crate) const REQUESTS: &str = "requests";
/// Number of refused requests.
pub(crate) const REFUSED: &str = "refused";
/// Number of model requests that ended, attained or missed.
pub(crate) const ANSWERS: &str = "answers";
/// Number of tokens sent to callers.
pub(crate) const TOKENS: &str = "tokens";
/// Time from a request's arrival to its first token.
pub(crate) const FIRST_TOKEN: &str = "first_token";
/// Number of responses to requests of routes.
pub(crate) const GATEWAY_REQUESTS: &str = "gateway_requests";
/// Number of requests of routes that failed at this entry.
pub(crate) const GATEWAY_FAILURES: &str = "gateway_failures";
/// Number of requests sent to endpoints.
pub(crate) const GATEWAY_SENDS: &str = "gateway_sends";
/// Time from a request's arrival to the first event of its stream.
pub(crate) const GATEWAY_FIRST_EVENT: &str = "gateway_first_event";
/// Time since the view was last confirmed as the newest.
pub(crate) const VIEW_AGE: &str = "view_age";

/// Metrics of the gateway. An entry without a traffic plan does not send them.
pub const GATEWAY: [Metric; 5] = [
    Metric {
        name: VIEW_AGE,
        kind: "ms",
        unit: "milliseconds",
        meaning: "time since the view was last known to be the newest, when a request is decided",
    },
    Metric {
        name: GATEWAY_REQUESTS,
        kind: "c",
        unit: "requests",
        meaning: "answers to requests of routes, tagged with the status",
    },
    Metric {
        name: GATEWAY_FAILURES,
        kind: "c",
        unit: "requests",
        meaning: "requests of routes that failed here, tagged with the code of the log line",
    },
    Metric {
        name: GATEWAY_SENDS,
        kind: "c",
        unit: "sends",
        meaning: "sends to endpoints, tagged answered, not_run, unreachable or unknown; and to other entries, tagged forwarded",
    },
    Metric {
        name: GATEWAY_FIRST_EVENT,
        kind: "ms",
        unit: "milliseconds",
        meaning: "time from a request's arrival to the first event of its stream",
    },
];

/// All other metrics of an entry.
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
