//! Loans that an entry received, and the reservations made from them.

use std::collections::BTreeMap;

use cranberrygap_model::duration;
use smallvec::SmallVec;

use super::amount::Amount;
use super::loan_requests::LoanSource;

/// Remaining tokens of one loan, with its end and its lender.
#[derive(Debug, Clone)]
struct Loan {
    remaining: Amount,
    end: duration::Instant,
    source: LoanSource,
}

/// Loans that an entry received of one workspace's tokens.
#[derive(Debug, Clone, Default)]
pub(super) struct ReceivedLoans {
    free: SmallVec<[Loan; 4]>,
    /// Parts of loans in open reservations, which return if the request does not run.
    reserved: BTreeMap<u64, SmallVec<[Loan; 2]>>,
}

impl ReceivedLoans {
    /// Drops loans that have ended.
    pub(super) fn expire(&mut self, now: duration::Instant) {
        self.free
            .retain(|loan| now < loan.end && loan.remaining > Amount::ZERO);
        self.reserved.retain(|_, parts| {
            parts.retain(|loan| now < loan.end);
            !parts.is_empty()
        });
    }

    /// Returns the tokens that may be spent.
    pub(super) fn free(&self) -> Amount {
        self.free
            .iter()
            .fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining))
    }

    /// Returns the tokens of one lender that may be spent or may return from reservations.
    pub(super) fn held_from(&self, from: &LoanSource) -> Amount {
        let reserved = self.reserved.values().flatten();
        let all = self.free.iter().chain(reserved);
        let loans = all.filter(|loan| loan.source == *from);
        loans.fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining))
    }

    /// Returns whether there are no loans or reservations from them.
    pub(super) fn is_empty(&self) -> bool {
        self.free.is_empty() && self.reserved.is_empty()
    }

    /// Returns whether any tokens of one lender remain.
    pub(super) fn has_from(&self, from: &LoanSource) -> bool {
        self.held_from(from) > Amount::ZERO
    }

    /// Adds the loan of an answer.
    pub(super) fn add(&mut self, amount: Amount, until: duration::Instant, from: &LoanSource) {
        if amount > Amount::ZERO {
            self.free.push(Loan {
                remaining: amount,
                end: until,
                source: from.clone(),
            });
        }
    }

    /// Takes up to `wanted` tokens for reservation `number`, from the loans that end first.
    pub(super) fn take(&mut self, number: u64, wanted: Amount) -> Amount {
        let mut missing = wanted;
        let mut parts = SmallVec::new();
        for loan in &mut self.free {
            let part = missing.min(loan.remaining);
            if part == Amount::ZERO {
                continue;
            }
            loan.remaining = loan.remaining.minus(part);
            missing = missing.minus(part);
            parts.push(Loan {
                remaining: part,
                ..loan.clone()
            });
        }
        if !parts.is_empty() {
            self.reserved.insert(number, parts);
        }
        wanted.minus(missing)
    }

    /// Ends a reservation; up to `unused` tokens return to loans that have not ended.
    pub(super) fn close_reservation(&mut self, number: u64, unused: Amount) -> Amount {
        let mut returned = Amount::ZERO;
        for loan in self.reserved.remove(&number).unwrap_or_default() {
            let part = unused.minus(returned).min(loan.remaining);
            self.add(part, loan.end, &loan.source);
            returned = returned.plus(part);
        }
        returned
    }

    /// Returns the earliest end of a lender's loans with unspent whole tokens.
    pub(super) fn first_unspent_end(&self, from: &LoanSource) -> Option<duration::Instant> {
        let free = self.free.iter();
        let loans = free.filter(|loan| loan.source == *from && loan.remaining.floor().0 > 0);
        loans.map(|loan| loan.end).min()
    }

    /// Removes and returns one lender's tokens whose loans end before `deadline`.
    pub(super) fn take_ending(&mut self, deadline: duration::Instant, from: &LoanSource) -> Amount {
        let mut returned = Amount::ZERO;
        for loan in &mut self.free {
            if loan.end < deadline && loan.source == *from {
                returned = returned.plus(loan.remaining);
                loan.remaining = Amount::ZERO;
            }
        }
        // Only whole tokens are returned; a remaining fraction ends with its loan.
        let whole = Amount::from_count(returned.floor());
        self.free.retain(|loan| loan.remaining > Amount::ZERO);
        whole
    }

    /// Drops all loans and reservations; returns the tokens that the leader lent.
    pub(super) fn close(&mut self) -> Amount {
        let free = self.free.iter();
        let loans = free.filter(|loan| loan.source == LoanSource::Leader);
        let returned = loans.fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining));
        self.free.clear();
        self.reserved.clear();
        Amount::from_count(returned.floor())
    }
}
