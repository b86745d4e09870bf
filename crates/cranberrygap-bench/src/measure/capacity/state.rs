//! Bytes of the view, as it goes to a newly subscribed entry.

use serde_json::{Value, json};

use super::{Line, fixture};

/// Models of a fleet in which only the runners are counted.
const MODELS: usize = 1_300;

pub(super) fn measure() -> eyre::Result<Value> {
    let bytes = |view| serde_json::to_vec(&view).map(|text| text.len() as f64);
    let whole = bytes(fixture::view(600, MODELS, 390, 2_000))?;
    let size = |view| bytes(view).unwrap_or(f64::NAN);
    Ok(json!({
        "view_bytes_by_runner": Line::through(18, 600, |n| size(fixture::view(n, MODELS, 0, 0))),
        "view_bytes_by_model": Line::through(40, 1_300, |n| size(fixture::view(0, n, 0, 0))),
        "view_bytes_by_entry": Line::through(8, 390, |n| size(fixture::view(0, 0, n, 0))),
        "view_bytes_by_key": Line::through(20, 2_000, |n| size(fixture::view(0, 0, 0, n))),
        "view_bytes_at_600_runners_1300_models_390_entries_2000_keys": whole,
    }))
}
