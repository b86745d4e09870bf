//! Troubles, which overlap.

use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use cranberrygap_agreement::{input, replica};

use super::control::Disk;
use super::packet::Place;
use super::world::{SECOND, World};

/// Troubles of a hundred that leave a minority behind, on days that have such.
const MINORITIES: u32 = 20;

/// What follows on a cut minority.
#[derive(Debug)]
pub struct Behind {
    at: u64,
    back: u64,
    /// Loses its folder.
    loses: usize,
    /// Are without power until it is back.
    dark: Vec<usize>,
}

/// Time after its return in which an instance that lost its folder still counts as lost.
const CATCH_UP: u64 = 4 * SECOND;

impl World {
    /// Begins the next trouble when it is due.
    pub fn trouble(&mut self) {
        if self.now < self.next_trouble {
            return;
        }
        let pause = self.rng.random_range(100_000..1_500_000);
        self.next_trouble = self.now + pause;
        let drawn = self.rng.random_range(0..100);
        if self.day.minorities && drawn < MINORITIES {
            return self.leave_behind();
        }
        match drawn {
            0..=24 => self.freeze_control(),
            25..=32 => self.freeze_entry(),
            33..=47 => self.cut_one_way(),
            48..=59 => self.deafen(),
            60..=74 => self.hang(),
            75..=84 => self.slow_down(),
            85..=89 => self.hand_over(),
            90..=95 => self.restart_entry(),
            _ => self.black_out(),
        }
    }

    fn length(&mut self) -> u64 {
        self.rng.random_range(300_000..5 * SECOND)
    }

    /// The leader half of the time, else any.
    fn victim(&mut self) -> usize {
        let any = self.rng.random_range(0..self.controls.len());
        match self.leader() {
            Some(leader) if self.rng.random_bool(0.5) => leader,
            _ => any,
        }
    }

    fn freeze_control(&mut self) {
        let place = self.victim();
        let until = self.now + self.length();
        // A shorter one does not end a longer one: a write that waits for the end of that
        // would become durable after later ones.
        let frozen = &mut self.controls[place].frozen_until;
        *frozen = until.max(*frozen);
        self.tally.freezes += 1;
        self.note(&format!(
            "control {place} stands still to {} ms",
            until / 1_000
        ));
    }

    fn freeze_entry(&mut self) {
        let number = self.rng.random_range(0..self.entries.len());
        let until = self.now + self.length();
        let frozen = &mut self.entries[number].frozen_until;
        *frozen = until.max(*frozen);
        self.tally.freezes += 1;
        self.note(&format!(
            "entry {number} stands still to {} ms",
            until / 1_000
        ));
    }

    fn cut_one_way(&mut self) {
        let control = Place::Control(self.victim());
        let other = if self.rng.random_bool(0.5) {
            Place::Entry(self.rng.random_range(0..self.entries.len()))
        } else {
            Place::Control(self.rng.random_range(0..self.controls.len()))
        };
        let pair = if self.rng.random_bool(0.5) {
            (control, other)
        } else {
            (other, control)
        };
        let until = self.now + self.length();
        self.cuts.insert(pair, until);
        self.tally.cuts += 1;
        self.note(&format!("cut {pair:?} to {} ms", until / 1_000));
    }

    /// A control process hears none of the others, but is heard by all.
    fn deafen(&mut self) {
        let place = self.victim();
        let until = self.now + self.length();
        for other in 0..self.controls.len() {
            let pair = (Place::Control(other), Place::Control(place));
            self.cuts.insert(pair, until);
        }
        self.tally.cuts += 1;
        self.note(&format!("control {place} is deaf to {} ms", until / 1_000));
    }

    /// A control process sends heartbeats to those who follow the view from it, no news.
    fn hang(&mut self) {
        let place = self.victim();
        let until = self.now + self.length();
        self.controls[place].hung_until = until;
        self.tally.hangs += 1;
        self.note(&format!("control {place} hangs to {} ms", until / 1_000));
    }

    fn slow_down(&mut self) {
        let place = self.victim();
        let until = self.now + self.length();
        self.slow.insert(Place::Control(place), until);
        self.note(&format!("control {place} is slow to {} ms", until / 1_000));
    }

    fn hand_over(&mut self) {
        if let Some(place) = self.leader() {
            self.note(&format!("control {place} hands over"));
            self.step(place, input::Input::Transfer(None));
        }
    }

    fn restart_entry(&mut self) {
        let number = self.rng.random_range(0..self.entries.len());
        let entry = &mut self.entries[number];
        entry.frozen_until = 0;
        entry.starts_at = Some(self.now + 500_000);
        self.note(&format!("entry {number} restarts"));
    }

    /// All lose power. As many folders as may be lost at once are lost, unless the ones
    /// before have not had their time. Then nothing else happens until service must be back,
    /// but perhaps for one more loss.
    fn black_out(&mut self) {
        let may_lose = if self.now >= self.may_lose {
            self.losses() as usize
        } else {
            0
        };
        let lost: Vec<usize> = (0..self.controls.len()).choose_multiple(&mut self.rng, may_lose);
        self.note(&format!("all power is lost, folders of {lost:?}"));
        self.tally.blackouts += 1;
        self.tally.lost_folders += lost.len() as u64;
        let down = self.now + self.rng.random_range(SECOND..2 * SECOND);
        let mut back = down;
        for place in 0..self.controls.len() {
            let at = down + self.rng.random_range(0..300_000);
            back = back.max(at);
            self.power_off(place, at);
            if lost.contains(&place) {
                self.lose_folder(place);
            }
        }
        for entry in &mut self.entries {
            entry.frozen_until = 0;
            entry.starts_at = Some(down + self.rng.random_range(0..300_000));
        }
        self.cuts.clear();
        self.slow.clear();
        self.back = Some(back);
        self.may_lose = self.may_lose.max(back + CATCH_UP);
        let quiet = if self.rng.random_bool(0.3) {
            self.rng.random_range(CATCH_UP..8 * SECOND)
        } else {
            13 * SECOND
        };
        self.next_trouble = back + quiet;
    }

    /// A minority is cut off and misses changes. Then another folder is lost while the rest
    /// are without power, and the cut heals before they are back: nobody who takes part knows
    /// all that was acknowledged.
    fn leave_behind(&mut self) {
        if self.now < self.may_lose {
            return;
        }
        let mut places: Vec<usize> = (0..self.controls.len()).collect();
        places.shuffle(&mut self.rng);
        let (minority, others) = places.split_at(self.losses() as usize);
        let missed = self.rng.random_range(SECOND..3 * SECOND);
        let dark = self.rng.random_range(SECOND..2 * SECOND);
        let healed = self.now + missed + dark / 2;
        for (cut, other) in minority
            .iter()
            .flat_map(|cut| others.iter().map(move |o| (*cut, *o)))
        {
            for pair in [(cut, other), (other, cut)] {
                let (from, to) = (Place::Control(pair.0), Place::Control(pair.1));
                self.cuts.insert((from, to), healed);
            }
        }
        self.note(&format!(
            "{minority:?} are cut off to {} ms",
            healed / 1_000
        ));
        self.tally.cuts += 1;
        self.behind = Some(Behind {
            at: self.now + missed,
            back: self.now + missed + dark,
            loses: others[0],
            dark: others[1..].to_vec(),
        });
        self.next_trouble = self.now + missed + dark + 13 * SECOND;
        self.may_lose = self.next_trouble + CATCH_UP;
    }

    /// The second half of [`World::leave_behind`], when it is due.
    pub fn darken(&mut self) {
        let Some(behind) = self.behind.take_if(|behind| behind.at <= self.now) else {
            return;
        };
        let (loses, back) = (behind.loses, behind.back);
        self.note(&format!(
            "control {loses} loses its folder, {:?} have no power to {} ms",
            behind.dark,
            back / 1_000
        ));
        self.power_off(loses, self.now + SECOND / 2);
        self.lose_folder(loses);
        for place in behind.dark {
            self.power_off(place, back);
        }
        self.tally.lost_folders += 1;
        self.back = Some(back);
    }

    fn power_off(&mut self, place: usize, until: u64) {
        let control = &mut self.controls[place];
        control.running = None;
        control.frozen_until = 0;
        control.hung_until = 0;
        control.written_at = 0;
        control.starts_at = Some(until);
    }

    fn lose_folder(&mut self, place: usize) {
        let id = replica::Id(self.next_id);
        self.next_id += 1;
        let control = &mut self.controls[place];
        control.disk = Disk::default();
        control.disk.hard.term = cranberrygap_model::number::Term(1);
        control.id = id;
    }
}
