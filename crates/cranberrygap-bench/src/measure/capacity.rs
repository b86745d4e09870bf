//! How state, messages, memory and time grow with the fleet.
//!
//! Each figure is taken at two sizes and given as a base and a slope, so that
//! the page on capacity can say from which range it extrapolates.

mod deltas;
mod fixture;
mod links;
mod memory;
mod messages;
mod renewals;
mod state;

use clap::Parser;

use super::Measurement;

/// The slopes of state, messages and links.
#[derive(Debug)]
pub struct Capacity;

#[derive(Debug, Parser)]
struct Arguments {
    /// Calls over a link that are timed.
    #[arg(long, default_value_t = 20_000)]
    calls: u32,
    /// Workspaces that a renewal of shares is of.
    #[arg(long, default_value_t = 16)]
    workspaces: usize,
}

impl Measurement for Capacity {
    fn name(&self) -> &'static str {
        "capacity"
    }

    fn description(&self) -> &'static str {
        "bytes of state and messages, memory and time of a view, cost of a call over a link"
    }

    fn run(&self, arguments: &[String]) -> eyre::Result<serde_json::Value> {
        let arguments: Arguments = super::arguments(self.name(), arguments)?;
        Ok(serde_json::json!({
            "measurement": "capacity",
            "memory": memory::measure(),
            "state": state::measure()?,
            "messages": messages::measure()?,
            "view_delta_micros": deltas::measure(),
            "links": links::measure(arguments.calls)?,
            "renewals": renewals::measure(arguments.calls, arguments.workspaces)?,
        }))
    }
}

/// A line through two measured points.
#[derive(Debug, Clone, Copy, serde::Serialize)]
struct Line {
    from: usize,
    to: usize,
    base: f64,
    slope: f64,
}

impl Line {
    /// The line through the values of `measure` at the two sizes.
    fn through(from: usize, to: usize, mut measure: impl FnMut(usize) -> f64) -> Self {
        let low = measure(from);
        let high = measure(to);
        let slope = (high - low) / (to - from) as f64;
        let base = low - slope * from as f64;
        Self {
            from,
            to,
            base,
            slope,
        }
    }
}
