//! Resident memory of the view in an entry.

use cranberrygap_entry::view;
use cranberrygap_model::number;
use cranberrygap_wire::view as wire_view;
use serde_json::{Value, json};

use super::fixture;

const STATM: &str = "/proc/self/statm";
const PAGE: u64 = 4096;

/// Views that are held at the same time; one alone would drown in the noise of
/// the allocator.
const COPIES: usize = 16;

pub(super) fn measure() -> Value {
    let before = resident();
    let small = hold(18, 140, 8, 20);
    let middle = resident();
    let large = hold(600, 1_300, 390, 2_000);
    let after = resident();
    drop((small, large));
    json!({
        "view_bytes_at_18_runners_140_models_8_entries_20_keys": each(before, middle),
        "view_bytes_at_600_runners_1300_models_390_entries_2000_keys": each(middle, after),
    })
}

fn hold(runners: usize, models: usize, entries: usize, keys: usize) -> Vec<view::Holder> {
    let holders = (0..COPIES).map(|_copy| {
        let holder = view::Holder::default();
        let state = fixture::view(runners, models, entries, keys);
        let frame = wire_view::Frame::Snapshot {
            revision: number::Revision(1),
            state,
        };
        holder
            .apply_frame(frame)
            .expect("a snapshot is always taken by a new holder");
        holder
    });
    holders.collect()
}

fn each(before: u64, after: u64) -> u64 {
    after.saturating_sub(before) / COPIES as u64
}

fn resident() -> u64 {
    let text = std::fs::read_to_string(STATM).unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
