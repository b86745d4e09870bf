//! Requests whose endpoints rest.

use cranberrygap_model::{duration, id};

use super::{Delivery, Failure, NO_CAPACITY_RETRY_AFTER};
use crate::metric;

/// The objective divided by this is the longest wait for an endpoint of a plain service that
/// rests. Other entries may not have been asked for rest, and a caller that is refused may come
/// back to one of them.
const REST_WAIT_DIVISOR: u64 = 2;

impl Delivery {
    /// Counts a request that endpoints do not get since they rest or drain.
    pub(super) fn count_kept_away(&self) {
        let core = &self.gateway.core;
        let (service, model) = (&self.resolution.service, self.engine_model());
        let kept_away = core.endpoints.record_kept_away(self.now(), service, model);
        if kept_away.by_rest {
            core.count(metric::GATEWAY_KEPT_AWAY, "rest");
        }
        if kept_away.by_drain {
            core.count(metric::GATEWAY_KEPT_AWAY, "draining");
        }
    }

    /// Model that an endpoint has to hold for the request.
    pub(super) fn engine_model(&self) -> Option<&id::Model> {
        let model = self.request.metadata.model.as_ref();
        model.filter(|_| self.resolution.has_engine)
    }

    /// The earliest time at which an endpoint that could serve the request has rested.
    pub(super) fn rest_end(&self) -> Option<duration::Instant> {
        let (service, model) = (&self.resolution.service, self.engine_model());
        let (tried, requirement) = (&self.tried, self.requirement());
        let endpoints = &self.gateway.core.endpoints;
        endpoints.rest_end(self.now(), service, model, tried, requirement)
    }

    /// Waits for the first endpoint of a plain service to end its rest.
    ///
    /// # Errors
    ///
    /// When that would be too late; the caller is told when it is.
    pub(super) async fn wait_for_rest(&self, end: duration::Instant) -> Result<(), Failure> {
        let longest = duration::Span(self.resolution.route.objective.0 / REST_WAIT_DIVISOR);
        if end > self.request.arrived_at.after(longest) {
            return Err(self.rest_failure(end));
        }
        tokio::time::sleep(end.since(self.now()).to_std()).await;
        Ok(())
    }

    /// The failure of a request that only endpoints could serve which rest.
    pub(super) fn rest_failure(&self, end: duration::Instant) -> Failure {
        self.no_endpoint_failure(
            end.since(self.now()),
            "the endpoints that could serve it rest",
        )
    }

    /// Time after which a caller may come back whose request was rejected.
    pub(super) fn retry_after_rejection(&self) -> duration::Span {
        let endpoints = &self.gateway.core.endpoints;
        let (now, service) = (self.now(), &self.resolution.service);
        let (model, requirement) = (self.engine_model(), self.requirement());
        if endpoints.has_open_endpoint(now, service, model, requirement) {
            return NO_CAPACITY_RETRY_AFTER;
        }
        let nothing_tried = super::endpoints::Tried::new();
        let end = endpoints.rest_end(now, service, model, &nothing_tried, requirement);
        end.map_or(NO_CAPACITY_RETRY_AFTER, |end| end.since(now))
    }
}
