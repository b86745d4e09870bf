//! Why a request of a route got no response from an endpoint.

use cranberrygap_model::duration;
use http::{HeaderValue, Response, StatusCode, header};
use smol_str::SmolStr;

use super::response;

/// Shortest retry delay that callers are given, so that they do not all come back at once.
const MIN_RETRY_AFTER: duration::Span = duration::Span::from_millis(200);

/// Bounds of the random factor for retry delays. Most callers come back after the expected
/// delay, spread over a span that is more than half as long as the delay.
const MIN_JITTER_FACTOR: f64 = 0.75;
const MAX_JITTER_FACTOR: f64 = 1.35;

/// Adds jitter to a retry delay, so that callers refused together return apart.
pub(super) fn add_jitter(delay: duration::Span) -> duration::Span {
    let factor =
        MIN_JITTER_FACTOR + rand::random::<f64>() * (MAX_JITTER_FACTOR - MIN_JITTER_FACTOR);
    delay.scaled(factor)
}

/// Why a request failed in the gateway.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Failure {
    /// No plan is in force here, or its lease has expired.
    NoView {
        /// Time until a plan is expected.
        retry_after: duration::Span,
    },
    /// The plan does not tell whether its routes ask for keys; nothing ran.
    UnknownAccess {
        /// Time until a plan that tells it may be in force.
        retry_after: duration::Span,
    },
    /// No route of the plan matches.
    NoRoute,
    /// The key is missing or invalid.
    NoKey,
    /// A header cannot be parsed.
    Malformed(SmolStr),
    /// The body is larger than the plan allows.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The body broke off; nobody is left to read the response.
    BrokenBody,
    /// The body is large, and there is no memory for it now.
    NoMemory {
        /// Time after which there may be.
        retry_after: duration::Span,
    },
    /// The workspace is above its rate.
    OverRate {
        /// Time after which the request may be admitted.
        retry_after: duration::Span,
    },
    /// No endpoint can serve the request in time; it did not run.
    NoEndpoint {
        /// Time after which an endpoint may be free.
        retry_after: duration::Span,
        /// Reason, for the log.
        cause: &'static str,
    },
    /// An endpoint was asked and said that it did not run the request.
    NotRun {
        /// Time after which a retry may succeed.
        retry_after: duration::Span,
    },
    /// Endpoints crashed under the request; it did not run this time.
    Quarantined {
        /// Time after which it may run again.
        retry_after: duration::Span,
    },
    /// Endpoints crashed under a part of its prompt, whatever else it held; it did not run. Its
    /// caller gains nothing by coming back.
    PartQuarantined,
    /// Its caller resumes a stream, and no entry knows which version began it; it did not run.
    UnknownOrigin {
        /// Time after which the caller may begin anew.
        retry_after: duration::Span,
    },
    /// Neither this entry nor another one reaches an endpoint; it did not run.
    NoPath {
        /// Time after which an endpoint may be reached.
        retry_after: duration::Span,
    },
    /// Another entry forwarded the request by another plan; it did not run.
    OtherPlan {
        /// Time after which both entries may have the same plan.
        retry_after: duration::Span,
    },
    /// An endpoint broke off; the request may have run.
    Broken(&'static str),
    /// An endpoint failed the request with a status that would promise that it did not run, and
    /// nothing proves that; the request may have run.
    Withheld(StatusCode),
    /// The deadline passed while an endpoint was at work.
    DeadlineExceeded,
}

/// Time after which a caller of a stopping entry should ask another one.
const STOPPING_RETRY_AFTER: duration::Span = duration::Span::from_millis(50);

impl Failure {
    /// The entry stops before the request could be sent.
    pub(crate) fn stopping() -> Self {
        Self::NoEndpoint {
            retry_after: add_jitter(STOPPING_RETRY_AFTER),
            cause: "the entry stops",
        }
    }

    /// Stable code for logs, metrics and the response.
    pub(crate) const fn code(&self) -> &'static str {
        match self {
            Self::NoView { .. } => "no_view",
            Self::UnknownAccess { .. } => "access_unknown",
            Self::NoRoute => "route_unknown",
            Self::NoKey => "key_unknown",
            Self::Malformed(_) => "malformed",
            Self::TooLarge => "body_too_large",
            Self::SlowBody => "body_slow",
            Self::BrokenBody => "body_broken",
            Self::NoMemory { .. } => "no_memory",
            Self::OverRate { .. } => "rate_exceeded",
            Self::NoEndpoint { .. } => "no_endpoint",
            Self::NotRun { .. } => "not_run",
            Self::Quarantined { .. } => "quarantined",
            Self::PartQuarantined => "prompt_part_quarantined",
            Self::UnknownOrigin { .. } => "origin_unknown",
            Self::NoPath { .. } => "no_path",
            Self::OtherPlan { .. } => "other_plan",
            Self::Broken(_) => "endpoint_broke",
            Self::Withheld(_) => "status_withheld",
            Self::DeadlineExceeded => "deadline_exceeded",
        }
    }

    /// Further details for the log.
    pub(crate) fn cause(&self) -> &str {
        match self {
            Self::Malformed(cause) => cause,
            Self::Withheld(status) => status.as_str(),
            _ => self.static_cause(),
        }
    }

    /// The cause, if it is one of a fixed set.
    pub(crate) const fn static_cause(&self) -> &'static str {
        match self {
            Self::NoEndpoint { cause, .. } | Self::Broken(cause) => cause,
            _ => "",
        }
    }

    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::NoView { .. }
            | Self::UnknownAccess { .. }
            | Self::NoMemory { .. }
            | Self::NoEndpoint { .. }
            | Self::NotRun { .. }
            | Self::Quarantined { .. }
            | Self::UnknownOrigin { .. }
            | Self::NoPath { .. }
            | Self::OtherPlan { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Malformed(_) | Self::PartQuarantined => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody | Self::BrokenBody => StatusCode::REQUEST_TIMEOUT,
            Self::OverRate { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Broken(_) | Self::Withheld(_) => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    pub(crate) fn retry_after(&self) -> Option<duration::Span> {
        match self {
            Self::NoView { retry_after }
            | Self::UnknownAccess { retry_after }
            | Self::NoMemory { retry_after }
            | Self::OverRate { retry_after }
            | Self::NoEndpoint { retry_after, .. }
            | Self::NotRun { retry_after }
            | Self::Quarantined { retry_after }
            | Self::UnknownOrigin { retry_after }
            | Self::NoPath { retry_after }
            | Self::OtherPlan { retry_after } => Some((*retry_after).max(MIN_RETRY_AFTER)),
            _ => None,
        }
    }

    /// Whether the caller is told that no endpoint ran the request.
    pub(crate) const fn says_not_run(&self) -> bool {
        !matches!(
            self,
            Self::Broken(_) | Self::Withheld(_) | Self::DeadlineExceeded
        )
    }

    /// The response to the caller.
    pub(crate) fn to_response(&self) -> Response<response::Body> {
        let outcome = if self.says_not_run() {
            "not_run"
        } else {
            "unknown"
        };
        let body = serde_json::json!({ "error": { "code": self.code(), "outcome": outcome } });
        let mut response = Response::new(response::full_body(body.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(retry_after) = self.retry_after() {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
