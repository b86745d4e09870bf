//! Who asks for how much, when and where.

use cranberrygap_model::duration;
use rand::Rng;
use rand::rngs::SmallRng;

/// Tokens a second of the workspace.
pub(super) const RATE: u64 = 50_000;
/// Tokens that it may spend at once.
pub(super) const BURST: u64 = 200_000;

/// Tokens that a request costs on average in the end.
const MEAN_USED: f64 = 486.0;

/// Time for which moving demand stays with one entry.
const STAY: duration::Span = duration::Span::from_secs(5);

/// Time between two bursts. The bucket fills in four seconds, so each burst
/// finds it full.
const BETWEEN_BURSTS: duration::Span = duration::Span::from_secs(6);

/// Requests of one burst: a little less than the bucket holds.
const IN_BURST: u64 = 300;

/// The demand of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    Steady,
    Moving,
    Bursting,
    Above,
    LeaderLost,
}

/// One arrival.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub(super) at: duration::Instant,
    pub(super) entry: usize,
    pub(super) cost: u64,
    pub(super) used: u64,
    pub(super) runs: duration::Span,
}

impl Shape {
    pub(super) const ALL: [Self; 5] = [
        Self::Steady,
        Self::Moving,
        Self::Bursting,
        Self::Above,
        Self::LeaderLost,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady, 0.9 of the rate at all entries",
            Self::Moving => "moving, 0.9 of the rate at one entry, another each 5 s",
            Self::Bursting => "bursting, 300 requests at once at one entry each 6 s",
            Self::Above => "above, 1.5 times the rate at all entries",
            Self::LeaderLost => "steady, without a leader for 1 s each 20 s",
        }
    }

    pub(super) fn loses_leader(self) -> bool {
        self == Self::LeaderLost
    }

    /// All arrivals of a run, in order.
    pub(super) fn arrivals(
        self,
        entries: usize,
        seconds: u64,
        random: &mut SmallRng,
    ) -> Vec<Arrival> {
        let end = duration::Instant(duration::Span::from_secs(seconds).0);
        let mut arrivals = Vec::new();
        let mut at = duration::Instant(1);
        while at < end {
            let entry = match self {
                Self::Moving => ((at.0 / STAY.0) as usize * 3) % entries,
                _ => random.random_range(0..entries),
            };
            if self == Self::Bursting {
                arrivals.extend((0..IN_BURST).map(|_| arrival(at, entry, random)));
                at = at.after(BETWEEN_BURSTS);
                continue;
            }
            arrivals.push(arrival(at, entry, random));
            at = at.after(self.gap(random));
        }
        arrivals
    }

    /// Time to the next arrival of a Poisson process.
    fn gap(self, random: &mut SmallRng) -> duration::Span {
        let load = if self == Self::Above { 1.5 } else { 0.9 };
        let per_second = load * RATE as f64 / MEAN_USED;
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the float is not negative and the conversion saturates"
        )]
        let micros = (-uniform.ln() / per_second * 1e6) as u64;
        duration::Span(micros)
    }
}

fn arrival(at: duration::Instant, entry: usize, random: &mut SmallRng) -> Arrival {
    let prompt = random.random_range(100..600);
    Arrival {
        at,
        entry,
        cost: prompt + 256,
        used: prompt + random.random_range(16..=256),
        runs: duration::Span::from_millis(random.random_range(300..4_000)),
    }
}
