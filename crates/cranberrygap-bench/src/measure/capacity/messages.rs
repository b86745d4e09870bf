//! Bytes of messages, as JSON before the envelope of a link.

use cranberrygap_model::{duration, number, token};
use cranberrygap_wire::{endpoint, share, view};
use serde::Serialize;
use serde_json::{Value, json};

use super::{Line, fixture};

pub(super) fn measure() -> eyre::Result<Value> {
    Ok(json!({
        "view_heartbeat": bytes(&view::Frame::Heartbeat { revision: number::Revision(123_456) })?,
        "view_delta_of_one_runner": bytes(&delta())?,
        "confirm_by_runner_seen": Line::through(2, 600, |n| size(&fixture::confirm(n, 0))),
        "confirm_by_model_asked_for": Line::through(2, 1_300, |n| size(&fixture::confirm(0, n))),
        "share_renewal_by_workspace": Line::through(1, 50, |n| size(&renewal(n))),
        "report": bytes(&report(0))?,
        "report_by_cache_event": Line::through(1, 100, |n| size(&report(n))),
    }))
}

fn bytes(message: &impl Serialize) -> eyre::Result<usize> {
    Ok(serde_json::to_vec(message)?.len())
}

fn size(message: &impl Serialize) -> f64 {
    bytes(message).map_or(f64::NAN, |count| count as f64)
}

fn delta() -> view::Frame {
    let endpoint = fixture::runner(1, 1_300);
    let changes = vec![view::Change::EndpointChanged { endpoint }];
    view::Frame::Delta {
        revision: number::Revision(123_456),
        changes,
    }
}

fn renewal(workspaces: usize) -> share::Renew {
    let demands = (0..workspaces).map(|number| share::Demand {
        workspace: fixture::name(&format!("workspace-{number:03}")),
        rate: token::Rate(1234.5),
        wanted: token::Count(0),
        returned: token::Count(123),
        share: 123_456,
        room: token::Count(1_234),
        first: token::Count(0),
        usual: token::Count(2_345),
        lent: token::Count(3_456),
        unlent: token::Count(1_234),
    });
    share::Renew {
        instance: fixture::entry(1).instance,
        boot: number::Boot(1 << 52),
        sequence: number::Sequence(123_456),
        lends: false,
        demands: demands.collect(),
    }
}

fn report(events: usize) -> endpoint::Report {
    let stored = (0..events).map(|number| endpoint::CacheEvent::Stored {
        sequence: number::Sequence(123_456 + number as u64),
        model: fixture::model(1).model,
        block: u64::MAX / 3,
    });
    endpoint::Report {
        events: stored.collect(),
        age: duration::Span::from_millis(123),
        ..fixture::report(1, 1_300)
    }
}
