//! Arrivals by endpoint and by the entry that sent them.

use std::collections::BTreeMap;

use cranberrygap_model::duration;
use smol_str::SmolStr;

use crate::arrival;
use crate::attempt;
use crate::record;
use crate::statement;

type Pair<'record> = (&'record SmolStr, &'record SmolStr);
type Arrived<'record> = (&'record arrival::Arrival, &'record attempt::Attempt);

/// An index of a record.
pub(super) struct Pairs<'record> {
    /// In the order of their times.
    arrivals: BTreeMap<Pair<'record>, Vec<Arrived<'record>>>,
    /// The entry that sent an attempt to an endpoint.
    senders: BTreeMap<Pair<'record>, &'record SmolStr>,
    /// Times of the faults of each entry, in their order.
    faults: BTreeMap<&'record SmolStr, Vec<duration::Instant>>,
}

impl<'record> Pairs<'record> {
    pub(super) fn new(record: &'record record::Record) -> Self {
        let attempts = record.attempts_by_id();
        let mut pairs = Self {
            arrivals: BTreeMap::new(),
            senders: BTreeMap::new(),
            faults: BTreeMap::new(),
        };
        for arrival in record.ordered_arrivals() {
            let Some(attempt) = attempts.get(&arrival.attempt).copied() else {
                continue;
            };
            let sender = arrival.sender.as_ref().unwrap_or(&attempt.entry);
            let at_endpoint = pairs.arrivals.entry((&arrival.endpoint, sender));
            at_endpoint.or_default().push((arrival, attempt));
            let sent = (&arrival.attempt, &arrival.endpoint);
            pairs.senders.entry(sent).or_insert(sender);
        }
        for fault in &record.faults {
            pairs.faults.entry(&fault.entry).or_default().push(fault.at);
        }
        for times in pairs.faults.values_mut() {
            times.sort_unstable();
        }
        pairs
    }

    /// Arrivals after a statement at its endpoint, from the entry that it was made to, up to the
    /// next fault of that entry.
    pub(super) fn after(&self, statement: &'record statement::Statement) -> &[Arrived<'record>] {
        let sent = (&statement.attempt, &statement.endpoint);
        let Some(sender) = self.senders.get(&sent).copied() else {
            return &[];
        };
        let pair = (&statement.endpoint, sender);
        let arrivals = self.arrivals.get(&pair).map_or(&[][..], Vec::as_slice);
        let faults = self.faults.get(sender).map_or(&[][..], Vec::as_slice);
        let next_fault = faults.partition_point(|at| *at < statement.at);
        let until = faults.get(next_fault).copied();
        let until = until.unwrap_or(duration::Instant(u64::MAX));
        let begin = arrivals.partition_point(|(arrival, _)| arrival.at <= statement.at);
        let end = arrivals.partition_point(|(arrival, _)| arrival.at < until);
        arrivals.get(begin..end).unwrap_or(&[])
    }
}
