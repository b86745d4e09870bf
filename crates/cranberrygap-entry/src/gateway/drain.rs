//! Endpoints that say in responses that they drain.

use cranberrygap_model::{id, number};
use cranberrygap_routing::gate;
use cranberrygap_wire::{method, view};

use super::Gateway;
use crate::outbox;

impl outbox::Report for view::Draining {
    const METHOD: &'static str = method::ENDPOINT_DRAINING;
    const AREA: &'static str = "gateway";

    fn endpoint(&self) -> &id::Endpoint {
        &self.endpoint
    }
}

/// Records that a process drains, and tells the leader, so that other entries and the placement of
/// models know before the endpoint's own announcement arrives.
pub(super) fn record(gateway: &Gateway, endpoint: &id::Endpoint, boot: number::Boot) {
    let core = &gateway.core;
    let now = core.now();
    if !core
        .endpoints
        .record_drain(now, gate::Process { endpoint, boot })
    {
        return;
    }
    if let Some(dropped) = gateway.endpoint_log_limiter.take_line(now) {
        spdlog::info!(
            "gateway: {endpoint}, boot {boot}, says in a response that it drains",
            kv: { lines_dropped = dropped }
        );
    }
    core.drains.push(view::Draining {
        endpoint: endpoint.clone(),
        boot,
    });
}
