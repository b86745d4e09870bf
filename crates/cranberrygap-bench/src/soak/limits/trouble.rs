//! What goes wrong in the run: leaders, partitions, restarts, new limits.

use cranberrygap_model::{duration, token};
use cranberrygap_policy::limits::{self, granter};
use rand::Rng;

use super::entry;
use super::world;

impl world::World {
    pub(super) fn disturb(&mut self) {
        if self.random.random_ratio(1, 1_500) && self.granter.is_some() {
            self.granter = None;
            let gap = duration::Span(self.random.random_range(0..1_500_000));
            self.elects = self.now.after(gap);
            self.note("leader lost");
            self.split();
        }
        if self.random.random_ratio(1, 900) {
            self.restart();
        }
        if self.random.random_ratio(1, 700) {
            let number = self.random.random_range(0..world::ENTRIES);
            self.cut(number);
        }
        if self.random.random_ratio(1, 4_000) {
            self.configure();
        }
        if self.random.random_ratio(1, 500) {
            self.busy = self.random.random_range(0..world::ENTRIES);
            self.rarity = [1, 5, 30, 200][self.random.random_range(0..4)];
            self.spread = self.random.random_bool(0.5);
        }
        if let Some(granter) = self.granter.as_mut()
            && self.random.random_ratio(1, 50)
        {
            let records = granter.expire(self.now);
            self.commit(records);
        }
    }

    /// A leader is often lost together with the way to some of the entries.
    fn split(&mut self) {
        for number in 0..world::ENTRIES {
            if self.random.random_bool(0.4) {
                self.cut(number);
            }
        }
    }

    fn cut(&mut self, number: usize) {
        let span = duration::Span(self.random.random_range(0..9_000_000));
        self.entries[number].cut_until = self.now.after(span);
        self.counts.partitions += 1;
        self.note(&format!("entry {number} cut off for {span}"));
    }

    fn restart(&mut self) {
        let number = self.random.random_range(0..world::ENTRIES);
        let fresh = entry::Entry::new(number, &mut self.random);
        self.counts.restarts += 1;
        self.note(&format!("entry {number} restarts"));
        let gone = std::mem::replace(&mut self.entries[number], fresh);
        for request in gone.running {
            self.window.settle(request.admission, request.cost);
        }
    }

    fn configure(&mut self) {
        self.limit = limits::Limit {
            rate: token::Rate(f64::from(self.random.random_range(500..20_000_u32))),
            burst: token::Count(500 << self.random.random_range(0..8)),
        };
        self.counts.configured += 1;
        // A holder may go on with its old share until its lease ends.
        let enforced = self.now.after(limits::LEASE);
        self.window.configure(self.now, self.limit, enforced);
        if let Some(granter) = self.granter.as_mut() {
            granter.configure(
                self.now,
                &self.workspace,
                self.limit,
                granter::Origin::Inherited,
            );
        }
        self.note(&format!(
            "limit {} burst {}",
            self.limit.rate, self.limit.burst
        ));
    }
}
