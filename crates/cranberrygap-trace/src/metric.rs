//! What a metric is called and what it tells.

/// One metric as it is sent, behind the prefix of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Name behind the prefix.
    pub name: &'static str,
    /// StatsD kind: `c` counter, `ms` timer, `g` gauge.
    pub kind: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// What it tells.
    pub meaning: &'static str,
}
