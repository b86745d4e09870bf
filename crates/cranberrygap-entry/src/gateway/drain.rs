//! Endpoints that say in responses that they drain.

use cranberrygap_model::{id, number};
use cranberrygap_routing::gate;
use cranberrygap_wire::{method, view};
use http::{HeaderMap, HeaderName, HeaderValue};

use super::Gateway;
use crate::outbox;

/// Names the process whose response one entry passes on to another, and that drains: the name of
/// the endpoint and its boot.
pub(super) const DRAINING: HeaderName = HeaderName::from_static("cranberrygap-draining");

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

/// Tells the entry that forwarded a request whose response its caller gets. It passes the word of
/// the process on, and is bound by it like the entry that sent the request.
pub(super) fn mark(headers: &mut HeaderMap, draining: &view::Draining) {
    let text = format!("{} {}", draining.endpoint, draining.boot);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(DRAINING, value);
    }
}

/// Records the process that the response of another entry names, if it names one.
pub(super) fn record_mark(gateway: &Gateway, headers: &HeaderMap) {
    let Some(value) = headers.get(DRAINING) else {
        return;
    };
    let named = value.to_str().ok().and_then(|text| {
        let (endpoint, boot) = text.split_once(' ')?;
        Some((endpoint.parse().ok()?, boot.parse().ok()?))
    });
    let Some((endpoint, boot)) = named else {
        spdlog::warn!("gateway: another entry names {value:?}, which is no process");
        return;
    };
    record(gateway, &endpoint, boot);
}
