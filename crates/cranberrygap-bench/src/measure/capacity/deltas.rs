//! Time in which an entry takes a change of its view.

use std::time::Instant;

use cranberrygap_entry::view;
use cranberrygap_model::number;
use cranberrygap_wire::view as wire_view;
use serde_json::{Value, json};

use super::fixture;

/// Deltas that are timed together.
const DELTAS: u64 = 2_000;

pub(super) fn measure() -> Value {
    json!({
        "18_runners_8_entries": delta(18, 140, 8),
        "600_runners_390_entries": delta(600, 1_300, 390),
    })
}

fn delta(runners: usize, models: usize, entries: usize) -> f64 {
    let holder = view::Holder::default();
    let state = fixture::view(runners, models, entries, 100);
    let snapshot = wire_view::Frame::Snapshot {
        revision: number::Revision(1),
        state,
    };
    holder
        .apply_frame(snapshot)
        .expect("a snapshot is always taken by a new holder");
    let started = Instant::now();
    for step in 0..DELTAS {
        let endpoint = fixture::runner(usize::try_from(step).unwrap_or_default() % runners, models);
        let changes = vec![wire_view::Change::EndpointChanged { endpoint }];
        let revision = number::Revision(2 + step);
        let frame = wire_view::Frame::Delta { revision, changes };
        holder.apply_frame(frame).expect("revisions rise");
    }
    started.elapsed().as_secs_f64() * 1e6 / DELTAS as f64
}
