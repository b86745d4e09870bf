//! What the head of a response says of its endpoint.

use std::fmt;
use std::time::SystemTime;

use cranberrygap_model::{ParseError, duration, rate};
use cranberrygap_wire::view;
use http::Response;
use hyper::body::Incoming;

use super::target::Target;
use super::{Delivery, dialect};
use crate::gateway::{drain, statement};
use crate::metric;

impl Delivery {
    /// Records everything that a response says of its endpoint. A malformed statement is logged;
    /// the response is not its fault and still goes to the caller.
    pub(super) fn record_statements(
        &mut self,
        target: &Target,
        sent_at: duration::Instant,
        response: &Response<Incoming>,
        classification: dialect::Classification,
    ) {
        let read = self.gateway.dialect.read_statements(
            response.status(),
            response.headers(),
            SystemTime::now(),
        );
        for name in &read.unknown {
            self.count_statement("unknown");
            self.log_statement(format_args!(
                "{} says something that is not known here: {name}",
                target.destination.endpoint
            ));
        }
        if read.rest == statement::Field::Absent
            && classification == dialect::Classification::Answer
        {
            let endpoints = &self.gateway.core.endpoints;
            endpoints.record_accepted(&target.destination);
        }
        // Whatever became of the request, the endpoint spoke to this instance. A process that has
        // taken the endpoint's address speaks for one that is gone.
        self.record_rest(target, read.rest);
        self.record_draining(target, read.draining);
        if is_from_endpoint(classification) {
            self.record_limit(target, sent_at, read.limit);
            let is_full = classification == dialect::Classification::NotRun(dialect::NotRun::Full);
            self.record_rejections(target, read.rejections, is_full);
        }
    }

    fn record_rest(&self, target: &Target, rest: statement::Field<duration::Span>) {
        let destination = &target.destination;
        match rest {
            statement::Field::Absent => {}
            statement::Field::Malformed(cause) => self.ignore_malformed(target, "rest", &cause),
            statement::Field::Known(rest) => {
                self.count_statement("rest");
                let endpoints = &self.gateway.core.endpoints;
                if endpoints.record_rest(self.now(), destination, rest) {
                    let (endpoint, boot) = (&destination.endpoint, destination.boot);
                    self.log_statement(format_args!(
                        "{endpoint}, boot {boot}, asks this entry for {rest} of rest"
                    ));
                }
            }
        }
    }

    fn record_draining(&mut self, target: &Target, draining: statement::Field<()>) {
        let destination = &target.destination;
        self.draining = None;
        match draining {
            statement::Field::Absent => {}
            statement::Field::Malformed(cause) => self.ignore_malformed(target, "drain", &cause),
            statement::Field::Known(()) => {
                self.count_statement("draining");
                let (endpoint, boot) = (destination.endpoint.clone(), destination.boot);
                drain::record(&self.gateway, &endpoint, boot);
                self.draining = Some(view::Draining { endpoint, boot });
            }
        }
    }

    fn record_limit(
        &self,
        target: &Target,
        sent_at: duration::Instant,
        limit: statement::Field<rate::Limit>,
    ) {
        let endpoint = &target.destination.endpoint;
        if let statement::Field::Malformed(cause) = limit {
            self.ignore_malformed(target, "limit", &cause);
            return;
        }
        let limit = limit.known();
        let endpoints = &self.gateway.core.endpoints;
        if !endpoints.record_limit(self.now(), &target.destination, sent_at, limit) {
            return;
        }
        match limit {
            Some(limit) => self.log_statement(format_args!(
                "{endpoint} takes {limit} requests a second from all entries"
            )),
            None => self.log_statement(format_args!("{endpoint} names no limit any more")),
        }
    }

    /// Records the rejections that the endpoint bears. A malformed number counts as none.
    fn record_rejections(
        &self,
        target: &Target,
        rejections: statement::Field<rate::Rejections>,
        was_rejected: bool,
    ) {
        let endpoint = &target.destination.endpoint;
        if let statement::Field::Malformed(cause) = &rejections {
            self.ignore_malformed(target, "number of rejections", cause);
        }
        let bears = rejections.known();
        let endpoints = &self.gateway.core.endpoints;
        if !endpoints.record_room(self.now(), &target.destination, bears, was_rejected) {
            return;
        }
        match bears {
            Some(bears) => self.log_statement(format_args!(
                "{endpoint} falls over beyond {bears} rejections a second"
            )),
            None => self.log_statement(format_args!("{endpoint} does not fall over any more")),
        }
    }

    fn ignore_malformed(&self, target: &Target, what: &str, cause: &ParseError) {
        self.count_statement("malformed");
        let endpoint = &target.destination.endpoint;
        if let Some(dropped) = self.gateway.endpoint_log_limiter.take_line(self.now()) {
            spdlog::warn!(
                "gateway: ignored the {what} of {endpoint}: {cause}",
                kv: { lines_dropped = dropped }
            );
        }
    }

    fn count_statement(&self, tag: &'static str) {
        self.gateway.core.count(metric::GATEWAY_STATEMENTS, tag);
    }

    fn log_statement(&self, line: fmt::Arguments<'_>) {
        if let Some(dropped) = self.gateway.endpoint_log_limiter.take_line(self.now()) {
            spdlog::info!("gateway: {line}", kv: { lines_dropped = dropped });
        }
    }
}

/// Whether a response is known to come from the endpoint that it was expected from.
fn is_from_endpoint(classification: dialect::Classification) -> bool {
    use dialect::{Classification, NotRun};
    match classification {
        Classification::Answer | Classification::NotRun(NotRun::Full | NotRun::Wrong) => true,
        Classification::NotRun(NotRun::Misdirected) | Classification::Foreign => false,
    }
}
