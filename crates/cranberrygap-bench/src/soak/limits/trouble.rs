//! What goes wrong in the run: leaders, partitions, restarts, new limits.

use cranberrygap_model::{duration, number, token};
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
        if self.lenders == world::Lenders::Entries {
            self.disturb_lenders();
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

    fn disturb_lenders(&mut self) {
        if self.random.random_ratio(1, 300) {
            self.choose();
        }
        if self.random.random_ratio(1, 3_000) {
            self.stop();
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
        self.replace(number);
        self.note(&format!("entry {number} restarts"));
    }

    fn replace(&mut self, number: usize) {
        let fresh = entry::Entry::new(number, &mut self.random);
        self.counts.restarts += 1;
        let gone = std::mem::replace(&mut self.entries[number], fresh);
        for request in gone.running {
            self.window.settle(request.admission, request.cost);
        }
        if self.lenders == world::Lenders::Entries {
            self.learn_of_restart(number, gone.boot);
        }
    }

    /// The new process learns who lends, and the leader of the process with its first heartbeat.
    fn learn_of_restart(&mut self, number: usize, ended: number::Boot) {
        let at = self.now.after(duration::Span(50_000));
        self.network
            .push((at, world::Message::Chosen(number, self.lender)));
        if self.random.random_bool(0.7)
            && let Some(granter) = self.granter.as_mut()
        {
            granter.record_process_end(self.now, &entry::name(number), ended);
        }
    }

    /// The leader chooses who lends; entries learn it one after the other.
    fn choose(&mut self) {
        let anyone = self.random.random_range(0..world::ENTRIES);
        self.lender = self.random.random_bool(0.9).then_some(anyone);
        self.counts.lenders += 1;
        self.tell_granter();
        for number in 0..world::ENTRIES {
            let late = self.random.random_ratio(1, 10);
            let longest = if late { 2_000_000 } else { 60_000 };
            let delay = duration::Span(self.random.random_range(0..longest));
            let at = self.now.after(delay).max(self.entries[number].cut_until);
            self.network
                .push((at, world::Message::Chosen(number, self.lender)));
        }
        self.note(&format!("{:?} lends", self.lender));
    }

    /// A planned stop: an entry hands back what it has, and another process takes its place.
    fn stop(&mut self) {
        let number = self.random.random_range(0..world::ENTRIES);
        let now = self.now;
        let entry = &mut self.entries[number];
        entry.holder.close(now);
        entry.lending.close(now);
        let renew = entry.holder.begin_renewal(now);
        self.renew_lending(number);
        self.send(number, world::Message::Renewal(number, renew));
        self.replace(number);
        self.note(&format!("entry {number} stops and starts"));
    }

    fn configure(&mut self) {
        self.limit = limits::Limit {
            rate: token::Rate(f64::from(self.random.random_range(500..20_000_u32))),
            burst: token::Count(500 << self.random.random_range(0..8)),
        };
        self.counts.configured += 1;
        // A holder may go on with its old share until its lease ends.
        let enforced = self.now.after(limits::LEASE_DURATION);
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
