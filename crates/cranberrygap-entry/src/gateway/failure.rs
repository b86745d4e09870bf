//! Why a request of a route got no answer of an endpoint.

use cranberrygap_model::duration;
use http::{HeaderValue, Response, StatusCode, header};
use smol_str::SmolStr;

use super::answer;

/// Shortest wait that callers are told, so that they do not come back together.
const SHORTEST_WAIT: duration::Span = duration::Span::from_millis(200);

/// Parts of a wait between which callers are spread: most come back after the time that
/// the wait expects, over a span that is more than half as long as the wait.
const LEAST_FACTOR: f64 = 0.75;
const MOST_FACTOR: f64 = 1.35;

/// A wait for callers, spread so that those refused together do not come together.
pub(super) fn spread(wait: duration::Span) -> duration::Span {
    let factor = LEAST_FACTOR + rand::random::<f64>() * (MOST_FACTOR - LEAST_FACTOR);
    wait.scaled(factor)
}

/// One way in which a request fails here.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Failure {
    /// No plan is in force here, or the lease on it is out.
    NoView {
        /// Time after which one is expected.
        wait: duration::Span,
    },
    /// No route of the plan fits.
    NoRoute,
    /// The key is missing or does not work.
    NoKey,
    /// A header cannot be understood.
    Malformed(SmolStr),
    /// The body is larger than the plan allows.
    TooLarge,
    /// The body did not come in time.
    SlowBody,
    /// The body broke off; nobody is there to read the answer.
    BrokenBody,
    /// The workspace is above its rate.
    OverRate {
        /// Time after which it may fit.
        wait: duration::Span,
    },
    /// No endpoint can serve it in time; it did not run.
    NoEndpoint {
        /// Time after which that may have changed.
        wait: duration::Span,
        /// Why, for the log.
        cause: &'static str,
    },
    /// An endpoint was asked and said that it did not run it.
    NotRun {
        /// Time after which another try makes sense.
        wait: duration::Span,
    },
    /// An endpoint broke off; it may have run.
    Broken(&'static str),
    /// The time was over while an endpoint was at work.
    TimeOut,
}

/// Time after which a caller of an entry that stops should ask another one.
const ELSEWHERE: duration::Span = duration::Span::from_millis(50);

impl Failure {
    /// The entry stops before the request could be sent.
    pub(crate) fn stopping() -> Self {
        Self::NoEndpoint {
            wait: spread(ELSEWHERE),
            cause: "the entry stops",
        }
    }

    /// The stable word for logs, metrics and the answer.
    pub(crate) const fn code(&self) -> &'static str {
        match self {
            Self::NoView { .. } => "no_view",
            Self::NoRoute => "route_unknown",
            Self::NoKey => "key_unknown",
            Self::Malformed(_) => "malformed",
            Self::TooLarge => "body_too_large",
            Self::SlowBody => "body_slow",
            Self::BrokenBody => "body_broken",
            Self::OverRate { .. } => "rate_exceeded",
            Self::NoEndpoint { .. } => "no_endpoint",
            Self::NotRun { .. } => "not_run",
            Self::Broken(_) => "endpoint_broke",
            Self::TimeOut => "deadline_exceeded",
        }
    }

    /// More about it for the log.
    pub(crate) fn cause(&self) -> &str {
        match self {
            Self::Malformed(cause) => cause,
            _ => self.static_cause(),
        }
    }

    /// The cause where it is one of a fixed set.
    pub(crate) const fn static_cause(&self) -> &'static str {
        match self {
            Self::NoEndpoint { cause, .. } | Self::Broken(cause) => cause,
            _ => "",
        }
    }

    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::NoView { .. } | Self::NoEndpoint { .. } | Self::NotRun { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody | Self::BrokenBody => StatusCode::REQUEST_TIMEOUT,
            Self::OverRate { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Broken(_) => StatusCode::BAD_GATEWAY,
            Self::TimeOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    pub(crate) fn wait(&self) -> Option<duration::Span> {
        match self {
            Self::NoView { wait }
            | Self::OverRate { wait }
            | Self::NoEndpoint { wait, .. }
            | Self::NotRun { wait } => Some((*wait).max(SHORTEST_WAIT)),
            _ => None,
        }
    }

    /// The answer to the caller.
    pub(crate) fn answer(&self) -> Response<answer::Body> {
        let outcome = match self {
            Self::Broken(_) | Self::TimeOut => "unknown",
            _ => "not_run",
        };
        let body = serde_json::json!({ "error": { "code": self.code(), "outcome": outcome } });
        let mut response = Response::new(answer::whole(body.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(wait) = self.wait() {
            let seconds = format!("{:.2}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
