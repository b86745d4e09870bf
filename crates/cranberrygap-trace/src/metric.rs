//! Definition of a metric.

/// A metric; its full name starts with the prefix of the process that sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Name after the prefix.
    pub name: &'static str,
    /// StatsD kind: `c` counter, `ms` timer, `g` gauge.
    pub kind: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Description for operators.
    pub meaning: &'static str,
}
