//! A fleet, the processor that its processes have, and what callers ask of it.

/// A fleet and what callers ask of it.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    /// Entries.
    pub entries: usize,
    /// Control processes.
    pub controls: usize,
    /// Part of a core, in thousandths, that each entry has.
    pub entry_core: u64,
    /// Part of a core, in thousandths, that each control process has.
    pub control_core: u64,
    /// Workspaces with a limit.
    pub workspaces: usize,
    /// Requests a second over all entries.
    pub requests: f64,
    /// Rate of a workspace as a multiple of what its callers ask for.
    pub headroom: f64,
    /// Least rate of a workspace.
    pub least_rate: f64,
}

/// Requests a second for each entry of the deployments that are modelled.
const REQUESTS_OF_AN_ENTRY: f64 = 600.0 / 69.0;

impl Day {
    /// So many entries and their share of requests, with so much of a core for control.
    #[must_use]
    pub fn quiet(entries: usize, control_core: u64) -> Self {
        Self {
            entries,
            controls: 5,
            entry_core: 120,
            control_core,
            workspaces: 16,
            requests: entries as f64 * REQUESTS_OF_AN_ENTRY,
            headroom: 1.8,
            least_rate: 2_700.0,
        }
    }
}

impl Default for Day {
    /// The deployment with the least processor for control.
    fn default() -> Self {
        Self::quiet(69, 75)
    }
}
