//! What became of requests, and the bounds on it.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;

use super::processor::Work;

/// Requests within rate that may be refused, one in so many.
const REFUSED_ONE_IN: u64 = 1_000;

/// Time that 99 in a hundred requests within rate wait for tokens at most, in microseconds.
const WAIT: u64 = 100_000;

/// Longest wait that is told apart.
const LONGEST: u64 = 60_000_000;

/// What became of requests.
#[derive(Debug, Serialize)]
pub struct Tally {
    /// Entries of the day.
    pub entries: usize,
    /// Thousandths of a core that each control process has.
    pub control_core: u64,
    /// Requests that were within rate.
    pub within: u64,
    /// Those of them that were refused.
    pub refused: u64,
    /// Requests beyond the rate.
    pub beyond: u64,
    /// Those of them that were served.
    pub beyond_served: u64,
    /// Median wait of requests within rate, served or refused, in milliseconds.
    pub wait_median: f64,
    /// The wait that 99 in a hundred do not exceed.
    pub wait_99: f64,
    /// The longest wait.
    pub wait_most: f64,
    /// Requests within rate that waited longer than the bound or were refused.
    pub late: u64,
    /// When the first and the last of them came, in milliseconds of the day.
    pub late_between: Option<(u64, u64)>,
    /// Median time from a renewal to its answer, in milliseconds.
    pub answer_median: f64,
    /// The time that 99 in a hundred do not exceed.
    pub answer_99: f64,
    /// Renewals that were sent.
    pub renewals: u64,
    /// Those whose answer did not come in time.
    pub unanswered: u64,
    /// Thousandths of a core that the leader used, by kind of work.
    pub leader: BTreeMap<Work, f64>,
    /// Thousandths of a core of the entry that used most.
    pub busiest_entry: f64,
    /// What the way to tokens counted of itself.
    pub way: Value,
    #[serde(skip)]
    waits: Histogram<u64>,
    #[serde(skip)]
    answers: Histogram<u64>,
}

impl Tally {
    /// Nothing yet.
    pub(super) fn new(entries: usize, control_core: u64) -> Self {
        let histogram = || Histogram::new_with_max(LONGEST, 3).expect("the bounds are fixed");
        Self {
            entries,
            control_core,
            within: 0,
            refused: 0,
            beyond: 0,
            beyond_served: 0,
            wait_median: 0.0,
            wait_99: 0.0,
            wait_most: 0.0,
            late: 0,
            late_between: None,
            answer_median: 0.0,
            answer_99: 0.0,
            renewals: 0,
            unanswered: 0,
            leader: BTreeMap::new(),
            busiest_entry: 0.0,
            way: Value::Null,
            waits: histogram(),
            answers: histogram(),
        }
    }

    /// A request was served or refused after it waited so long for tokens.
    pub fn decided(&mut self, came: u64, within: bool, served: bool, wait: u64) {
        if !within {
            self.beyond += 1;
            self.beyond_served += u64::from(served);
            return;
        }
        self.within += 1;
        self.refused += u64::from(!served);
        if !served || wait > WAIT {
            self.note_late(came / 1_000);
        }
        self.waits.saturating_record(wait);
    }

    fn note_late(&mut self, came: u64) {
        self.late += 1;
        let (first, last) = self.late_between.unwrap_or((came, came));
        self.late_between = Some((first.min(came), last.max(came)));
    }

    /// A renewal was answered after so long.
    pub fn answered(&mut self, time: u64) {
        self.answers.saturating_record(time);
    }

    /// Works out the figures that follow from the others.
    pub fn finish(&mut self) {
        let millis = |micros: u64| micros as f64 / 1_000.0;
        self.wait_median = millis(self.waits.value_at_quantile(0.5));
        self.wait_99 = millis(self.waits.value_at_quantile(0.99));
        self.wait_most = millis(self.waits.max());
        self.answer_median = millis(self.answers.value_at_quantile(0.5));
        self.answer_99 = millis(self.answers.value_at_quantile(0.99));
    }

    /// Whether the bounds hold.
    ///
    /// # Errors
    ///
    /// The bound that does not.
    pub fn check(&self) -> Result<(), String> {
        let (within, refused) = (self.within, self.refused);
        if within == 0 {
            return Err("requests within rate: none came".to_owned());
        }
        if refused * REFUSED_ONE_IN > within {
            return Err(format!(
                "requests within rate: {refused} of {within} were refused, one in \
                 {REFUSED_ONE_IN} may be"
            ));
        }
        let (wait, bound) = (self.wait_99, WAIT as f64 / 1_000.0);
        if wait > bound {
            return Err(format!(
                "requests within rate: 99 in a hundred waited {wait:.1} ms for tokens at most, \
                 {bound:.0} ms are allowed"
            ));
        }
        Ok(())
    }
}
