//! Metrics of an entry: name, kind, unit and meaning.

use cranberrygap_routing::origin;
use cranberrygap_trace::metric::Metric;

use crate::core;

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
/// Number of responses whose status was withheld from their callers.
pub(crate) const GATEWAY_WITHHELD_STATUSES: &str = "gateway_withheld_statuses";
/// Number of requests sent to endpoints.
pub(crate) const GATEWAY_SENDS: &str = "gateway_sends";
/// Number of requests sent to an endpoint for the first time.
pub(crate) const FIRST_SENDS: &str = "first_sends";
/// Number of requests sent once more, or denied by the budget.
pub(crate) const RESENDS: &str = "resends";
/// Number of resends in the last 10 s.
pub(crate) const RESENDS_RECENT: &str = "resends_recent";
/// Number of resends that the last 10 s allow.
pub(crate) const RESENDS_BOUND: &str = "resends_bound";
/// Time from a request's arrival to the first event of its stream.
pub(crate) const GATEWAY_FIRST_EVENT: &str = "gateway_first_event";
/// Number of streams that began, or went on after a break.
pub(crate) const GATEWAY_STREAMS: &str = "gateway_streams";
/// Number of statements of endpoints about themselves.
pub(crate) const GATEWAY_STATEMENTS: &str = "gateway_statements";
/// Number of requests that endpoints did not get since they rest or drain.
pub(crate) const GATEWAY_KEPT_AWAY: &str = "gateway_kept_away";
/// Number of origins of streams that were found, kept or lost.
pub(crate) const STREAM_ORIGINS: &str = "stream_origins";
/// Bytes that this entry sent and received.
pub(crate) const TRAFFIC_BYTES: &str = "traffic_bytes";
/// Number of responses that are not believed.
pub(crate) const MALFORMED_RESPONSES: &str = "malformed_responses";
/// Time since the view was last confirmed as the newest.
pub(crate) const VIEW_AGE: &str = "view_age";

/// Time from the start of the process to each step up to its first response.
pub(crate) const STARTUP: &str = "startup";

/// Metrics of the gateway. An entry without a traffic plan does not send them.
pub const GATEWAY: [Metric; 11] = [
    Metric {
        name: STARTUP,
        kind: "ms",
        unit: "milliseconds",
        meaning: "time from the start to the first view, plan, lease, endpoint and response, each a tag",
    },
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
        name: GATEWAY_WITHHELD_STATUSES,
        kind: "c",
        unit: "responses",
        meaning: "failures of endpoints on routes that run a request at most once, tagged with their status, which would have promised that the request did not run; callers got 502",
    },
    Metric {
        name: GATEWAY_SENDS,
        kind: "c",
        unit: "sends",
        meaning: "sends to endpoints, tagged answered, not_run, unreachable or unknown; and to other entries, tagged forwarded",
    },
    Metric {
        name: GATEWAY_STREAMS,
        kind: "c",
        unit: "streams",
        meaning: "streams of routes, tagged started, continued (by this entry) or resumed (by their callers); no_version (no endpoint of the version that began them could take them) or unknown (nobody knows that version)",
    },
    Metric {
        name: GATEWAY_STATEMENTS,
        kind: "c",
        unit: "responses",
        meaning: "responses of endpoints that ask for rest or say that they drain, tagged rest or draining; malformed or unknown for statements that are not obeyed",
    },
    Metric {
        name: GATEWAY_KEPT_AWAY,
        kind: "c",
        unit: "requests",
        meaning: "requests that went elsewhere, waited or were refused since an endpoint that could serve them did not want them, tagged rest or draining",
    },
    Metric {
        name: STREAM_ORIGINS,
        kind: "c",
        unit: "streams",
        meaning: "versions that began streams, tagged kept, replaced (others were forgotten, too many last) or conflict (two were told); for streams that callers resume, known_here, sole_version, asked (other entries), known_elsewhere (one of them told it) or known_to_control (a control process told it)",
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

/// Metrics of responses that are not believed. Endpoints that are sound cause none.
pub const DEFECTS: [Metric; 1] = [Metric {
    name: MALFORMED_RESPONSES,
    kind: "c",
    unit: "responses",
    meaning: "responses of endpoints and other entries whose head cannot be trusted, tagged line_ends, status, content, coding, length or coding_and_length",
}];

/// Metrics of the bytes that an entry sends and receives.
pub const TRAFFIC: [Metric; 1] = [Metric {
    name: TRAFFIC_BYTES,
    kind: "c",
    unit: "bytes",
    meaning: "bytes without the headers of TCP, UDP and IP, tagged with kind, sent or received, and same_domain, other_domain or unknown_domain by where the peer is",
}];

/// Metrics of requests that are sent to endpoints, and sent once more.
pub const RESENDING: [Metric; 4] = [
    Metric {
        name: FIRST_SENDS,
        kind: "c",
        unit: "requests",
        meaning: "requests sent to an endpoint for the first time, tagged with the service",
    },
    Metric {
        name: RESENDS,
        kind: "c",
        unit: "resends",
        meaning: "requests to be sent once more, tagged with service, cause (rejected, failed, unanswered, cut), and sent or denied by the budget",
    },
    Metric {
        name: RESENDS_RECENT,
        kind: "g",
        unit: "resends",
        meaning: "resends in the last 10 s, tagged with the service; the sum over all entries is the fleet's",
    },
    Metric {
        name: RESENDS_BOUND,
        kind: "g",
        unit: "resends",
        meaning: "resends that the last 10 s allow, tagged alike; the sum over all entries is the fleet's bound",
    },
];

/// Counts the origin of a stream that was told to this entry or found here.
pub(crate) fn count_origin(core: &core::Core, insertion: origin::Insertion) {
    let tag = match insertion {
        origin::Insertion::New => "kept",
        origin::Insertion::Known => return,
        origin::Insertion::Replaced => "replaced",
        origin::Insertion::Conflict => "conflict",
    };
    core.count(STREAM_ORIGINS, tag);
}
