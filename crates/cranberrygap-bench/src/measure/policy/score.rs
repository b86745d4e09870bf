//! What a policy achieved.

use serde::Serialize;

use crate::measure::policy::demand::Request;

/// Target times: first token, and mean time between tokens, in microseconds.
const FIRST_TOKEN: u64 = 320_000;
const BETWEEN_TOKENS: u64 = 27_000;

/// Length of a period of the timeline, in microseconds.
const PERIOD: u64 = 600_000_000;

/// Counts of one workspace.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Workspace {
    /// Requests within the workspace's rate.
    pub requests: u64,
    /// Requests that met both targets and were answered whole.
    pub attained: u64,
    /// Requests refused although they were within the rate.
    pub refused: u64,
}

/// Counts of one run.
#[derive(Debug, Default)]
pub struct Score {
    /// By workspace.
    pub workspaces: Vec<Workspace>,
    /// Requests whose first token was late.
    pub late_first: u64,
    /// Requests whose tokens came too slowly.
    pub slow: u64,
    /// Answered requests.
    pub answered: u64,
    /// Loads of base models after the start.
    pub moves: u64,
    /// Loads of adapters after the start.
    pub adapter_loads: u64,
    /// Microseconds with any model or adapter without a serving copy.
    pub unreachable: u64,
    /// Requests that an endpoint refused and that went elsewhere.
    pub bounced: u64,
    /// The same counts over all workspaces for each `PERIOD` of arrivals.
    pub timeline: Vec<Workspace>,
}

impl Score {
    /// A score for so many workspaces.
    #[must_use]
    pub fn new(workspaces: usize) -> Self {
        Self {
            workspaces: vec![Workspace::default(); workspaces],
            ..Self::default()
        }
    }

    /// A request came that was within its workspace's rate.
    pub fn request(&mut self, request: &Request) {
        self.workspaces[request.workspace].requests += 1;
        self.period(request).requests += 1;
    }

    /// Such a request was refused.
    pub fn refuse(&mut self, request: &Request) {
        self.workspaces[request.workspace].refused += 1;
        self.period(request).refused += 1;
    }

    fn period(&mut self, request: &Request) -> &mut Workspace {
        let number = usize::try_from(request.arrived / PERIOD).unwrap_or_default();
        if self.timeline.len() <= number {
            self.timeline.resize(number + 1, Workspace::default());
        }
        &mut self.timeline[number]
    }

    /// A request ended whole: its first token at `first`, its last at `last`.
    pub fn answer(&mut self, request: &Request, first: u64, last: u64) {
        self.answered += 1;
        let gaps = u64::from(request.output.saturating_sub(1).max(1));
        let late = first - request.arrived > FIRST_TOKEN;
        let slow = (last - first) / gaps > BETWEEN_TOKENS;
        self.late_first += u64::from(late);
        self.slow += u64::from(slow);
        if !late && !slow {
            self.workspaces[request.workspace].attained += 1;
            self.period(request).attained += 1;
        }
    }

    fn attainments(&self) -> Vec<f64> {
        let part = |counts: &Workspace| counts.attained as f64 / counts.requests.max(1) as f64;
        self.timeline.iter().map(part).collect()
    }

    /// The result as JSON.
    #[must_use]
    pub fn report(&self, policy: &str, accelerators: f64, seconds: f64) -> serde_json::Value {
        let requests: u64 = self.workspaces.iter().map(|w| w.requests).sum();
        let attained: u64 = self.workspaces.iter().map(|w| w.attained).sum();
        let refused: u64 = self.workspaces.iter().map(|w| w.refused).sum();
        let parts: Vec<f64> = self
            .workspaces
            .iter()
            .map(|w| w.attained as f64 / w.requests.max(1) as f64)
            .collect();
        let worst = parts.iter().copied().fold(f64::INFINITY, f64::min);
        let best = parts.iter().copied().fold(0.0, f64::max);
        serde_json::json!({
            "policy": policy,
            "attained_per_accelerator_per_second":
                attained as f64 / accelerators / seconds,
            "attainment": attained as f64 / requests.max(1) as f64,
            "moves": self.moves,
            "adapter_loads": self.adapter_loads,
            "worst_workspace_attainment": worst,
            "worst_of_best_workspace": worst / best.max(f64::MIN_POSITIVE),
            "needless_refusals": refused as f64 / requests.max(1) as f64,
            "seconds_with_a_model_unreachable": self.unreachable as f64 / 1e6,
            "requests": requests,
            "answered": self.answered,
            "late_first_token": self.late_first,
            "slow_tokens": self.slow,
            "bounced": self.bounced,
            "workspaces": self.workspaces,
            "attainment_by_ten_minutes": self.attainments(),

        })
    }
}
