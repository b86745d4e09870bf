//! Tokens that an entry was lent, and the reservations made from them.

use std::collections::BTreeMap;

use cranberrygap_model::duration;
use smallvec::SmallVec;

use super::amount::Amount;
use super::stream::Source;

/// Tokens of one answer, until when they may be spent, and who lent them.
#[derive(Debug, Clone)]
struct Loan {
    left: Amount,
    until: duration::Instant,
    from: Source,
}

/// What an entry was lent of one workspace's tokens.
#[derive(Debug, Clone, Default)]
pub(super) struct Loans {
    free: SmallVec<[Loan; 4]>,
    /// Parts of open reservations; they come back if the request does not run.
    open: BTreeMap<u64, SmallVec<[Loan; 2]>>,
}

impl Loans {
    /// Drops what has run out.
    pub(super) fn expire(&mut self, now: duration::Instant) {
        self.free
            .retain(|loan| now < loan.until && loan.left > Amount::ZERO);
        self.open.retain(|_, parts| {
            parts.retain(|loan| now < loan.until);
            !parts.is_empty()
        });
    }

    /// Tokens that may be spent.
    pub(super) fn free(&self) -> Amount {
        self.free
            .iter()
            .fold(Amount::ZERO, |sum, loan| sum.plus(loan.left))
    }

    /// Tokens of one lender that may be spent or come back.
    pub(super) fn kept(&self, from: &Source) -> Amount {
        let open = self.open.values().flatten();
        let all = self.free.iter().chain(open);
        let lent = all.filter(|loan| loan.from == *from);
        lent.fold(Amount::ZERO, |sum, loan| sum.plus(loan.left))
    }

    /// Whether there is nothing.
    pub(super) fn is_empty(&self) -> bool {
        self.free.is_empty() && self.open.is_empty()
    }

    /// Whether anything of one lender is there.
    pub(super) fn has(&self, from: &Source) -> bool {
        self.kept(from) > Amount::ZERO
    }

    /// Takes over what an answer lends.
    pub(super) fn add(&mut self, amount: Amount, until: duration::Instant, from: &Source) {
        if amount > Amount::ZERO {
            self.free.push(Loan {
                left: amount,
                until,
                from: from.clone(),
            });
        }
    }

    /// Takes up to `wanted` for reservation `number`, what runs out first before the rest.
    pub(super) fn take(&mut self, number: u64, wanted: Amount) -> Amount {
        let mut missing = wanted;
        let mut parts = SmallVec::new();
        for loan in &mut self.free {
            let part = missing.min(loan.left);
            if part == Amount::ZERO {
                continue;
            }
            loan.left = loan.left.minus(part);
            missing = missing.minus(part);
            parts.push(Loan {
                left: part,
                ..loan.clone()
            });
        }
        if !parts.is_empty() {
            self.open.insert(number, parts);
        }
        wanted.minus(missing)
    }

    /// Ends a reservation; up to `unused` of what it took comes back, if its loan lives.
    pub(super) fn settle(&mut self, number: u64, unused: Amount) -> Amount {
        let mut back = Amount::ZERO;
        for loan in self.open.remove(&number).unwrap_or_default() {
            let part = unused.minus(back).min(loan.left);
            self.add(part, loan.until, &loan.from);
            back = back.plus(part);
        }
        back
    }

    /// When the first loan of a lender runs out that nobody has taken.
    pub(super) fn first_end(&self, from: &Source) -> Option<duration::Instant> {
        let free = self.free.iter();
        let lent = free.filter(|loan| loan.from == *from && loan.left.whole().0 > 0);
        lent.map(|loan| loan.until).min()
    }

    /// Takes out what one lender lent and what would run out before `soon`.
    pub(super) fn hand_back(&mut self, soon: duration::Instant, from: &Source) -> Amount {
        let mut back = Amount::ZERO;
        for loan in &mut self.free {
            if loan.until < soon && loan.from == *from {
                back = back.plus(loan.left);
                loan.left = Amount::ZERO;
            }
        }
        // Tokens go as whole ones; the rest of one stays here and runs out.
        let whole = Amount::from_count(back.whole());
        self.free.retain(|loan| loan.left > Amount::ZERO);
        whole
    }

    /// Takes out everything, and forgets the reservations; gives what the leader lent.
    pub(super) fn close(&mut self) -> Amount {
        let free = self.free.iter();
        let lent = free.filter(|loan| loan.from == Source::Leader);
        let back = lent.fold(Amount::ZERO, |sum, loan| sum.plus(loan.left));
        self.free.clear();
        self.open.clear();
        Amount::from_count(back.whole())
    }
}
