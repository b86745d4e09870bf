//! Tokens that an entry was lent, and the reservations made from them.

use std::collections::BTreeMap;

use cranberrygap_model::duration;
use smallvec::SmallVec;

use super::amount::Amount;
use super::loan_requests::LoanSource;

/// Tokens of one answer, until when they may be spent, and who lent them.
#[derive(Debug, Clone)]
struct Loan {
    remaining: Amount,
    end: duration::Instant,
    source: LoanSource,
}

/// What an entry was lent of one workspace's tokens.
#[derive(Debug, Clone, Default)]
pub(super) struct ReceivedLoans {
    free: SmallVec<[Loan; 4]>,
    /// Parts of open reservations; they come back if the request does not run.
    reserved: BTreeMap<u64, SmallVec<[Loan; 2]>>,
}

impl ReceivedLoans {
    /// Drops what has run out.
    pub(super) fn expire(&mut self, now: duration::Instant) {
        self.free
            .retain(|loan| now < loan.end && loan.remaining > Amount::ZERO);
        self.reserved.retain(|_, parts| {
            parts.retain(|loan| now < loan.end);
            !parts.is_empty()
        });
    }

    /// Tokens that may be spent.
    pub(super) fn free(&self) -> Amount {
        self.free
            .iter()
            .fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining))
    }

    /// Tokens of one lender that may be spent or come back.
    pub(super) fn held_from(&self, from: &LoanSource) -> Amount {
        let open = self.reserved.values().flatten();
        let all = self.free.iter().chain(open);
        let lent = all.filter(|loan| loan.source == *from);
        lent.fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining))
    }

    /// Whether there is nothing.
    pub(super) fn is_empty(&self) -> bool {
        self.free.is_empty() && self.reserved.is_empty()
    }

    /// Whether anything of one lender is there.
    pub(super) fn has_from(&self, from: &LoanSource) -> bool {
        self.held_from(from) > Amount::ZERO
    }

    /// Takes over what an answer lends.
    pub(super) fn add(&mut self, amount: Amount, until: duration::Instant, from: &LoanSource) {
        if amount > Amount::ZERO {
            self.free.push(Loan {
                remaining: amount,
                end: until,
                source: from.clone(),
            });
        }
    }

    /// Takes up to `wanted` for reservation `number`, what runs out first before the rest.
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

    /// Ends a reservation; up to `unused` of what it took comes back, if its loan lives.
    pub(super) fn close_reservation(&mut self, number: u64, unused: Amount) -> Amount {
        let mut back = Amount::ZERO;
        for loan in self.reserved.remove(&number).unwrap_or_default() {
            let part = unused.minus(back).min(loan.remaining);
            self.add(part, loan.end, &loan.source);
            back = back.plus(part);
        }
        back
    }

    /// When the first loan of a lender runs out that nobody has taken.
    pub(super) fn first_unspent_end(&self, from: &LoanSource) -> Option<duration::Instant> {
        let free = self.free.iter();
        let lent = free.filter(|loan| loan.source == *from && loan.remaining.floor().0 > 0);
        lent.map(|loan| loan.end).min()
    }

    /// Takes out what one lender lent and what would run out before `soon`.
    pub(super) fn take_ending(&mut self, soon: duration::Instant, from: &LoanSource) -> Amount {
        let mut back = Amount::ZERO;
        for loan in &mut self.free {
            if loan.end < soon && loan.source == *from {
                back = back.plus(loan.remaining);
                loan.remaining = Amount::ZERO;
            }
        }
        // Tokens go as whole ones; the rest of one stays here and runs out.
        let whole = Amount::from_count(back.floor());
        self.free.retain(|loan| loan.remaining > Amount::ZERO);
        whole
    }

    /// Takes out everything, and forgets the reservations; gives what the leader lent.
    pub(super) fn close(&mut self) -> Amount {
        let free = self.free.iter();
        let lent = free.filter(|loan| loan.source == LoanSource::Leader);
        let back = lent.fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining));
        self.free.clear();
        self.reserved.clear();
        Amount::from_count(back.floor())
    }
}
