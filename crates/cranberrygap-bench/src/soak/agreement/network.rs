//! A network that loses, doubles, delays and stops messages.

use std::collections::BTreeSet;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::tally;

/// State of the network; hosts are told apart by their place.
#[derive(Debug, Default)]
pub struct Network {
    /// Directions that carry nothing.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Messages lost out of a hundred.
    pub loss: u32,
    /// Messages doubled out of a hundred.
    pub doubling: u32,
    /// Messages out of a hundred that take up to two seconds.
    pub slow: u32,
}

/// Fastest way between two hosts, in microseconds.
const FASTEST: u64 = 200;
/// Usual slowest way, in microseconds.
const USUAL: u64 = 5_000;
/// Slowest way of all, in microseconds.
const SLOWEST: u64 = 2_000_000;

impl Network {
    /// Delays of the copies of one message that arrive.
    pub fn carry(
        &self,
        from: usize,
        to: usize,
        rng: &mut ChaCha8Rng,
        tally: &mut tally::Tally,
    ) -> Vec<u64> {
        if self.blocked.contains(&(from, to)) {
            tally.blocked += 1;
            return Vec::new();
        }
        if rng.random_range(0..100) < self.loss {
            tally.lost += 1;
            return Vec::new();
        }
        let mut copies = 1;
        if rng.random_range(0..100) < self.doubling {
            tally.doubled += 1;
            copies = 2;
        }
        (0..copies).map(|_| self.delay(rng)).collect()
    }

    fn delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        if rng.random_range(0..100) < self.slow {
            return rng.random_range(USUAL..SLOWEST);
        }
        rng.random_range(FASTEST..USUAL)
    }

    /// Stops everything between two sides.
    pub fn split(&mut self, side: &BTreeSet<usize>, hosts: usize) {
        for from in 0..hosts {
            for to in 0..hosts {
                if side.contains(&from) != side.contains(&to) {
                    self.blocked.insert((from, to));
                }
            }
        }
    }
}
