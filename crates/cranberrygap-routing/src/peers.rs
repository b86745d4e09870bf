//! Choice of the entry that sends a request for one that reaches no endpoint.
//!
//! Entries lose their paths together: all of a failure domain, or half of the fleet. Entries
//! drawn at random are then mostly cut, too. So each entry tells the others whether it is cut, and
//! an offer that was refused leads to another failure domain.

mod candidate;
mod rejection;

use std::collections::BTreeMap;

use cranberrygap_model::{address, duration, id};
use rand::Rng;
use rand::seq::SliceRandom as _;

pub use candidate::Candidate;
pub use rejection::Rejection;

/// Time for which an entry that could not be asked gets no request.
const FAILURE_BACKOFF: duration::Span = duration::Span::from_secs(1);

/// Bounds of the time for which an entry that is cut, too, gets no request, unless it says earlier
/// that it is not cut any more. Each refusal doubles it.
const MIN_CUT_BACKOFF: duration::Span = duration::Span::from_secs(1);
const MAX_CUT_BACKOFF: duration::Span = duration::Span::from_secs(8);

/// Time for which what an entry told of its path counts.
const TOLD_DURATION: duration::Span = duration::Span::from_secs(5);

/// Time for which an entry that took a request is preferred to unknown ones after a refusal.
const TAKEN_DURATION: duration::Span = duration::Span::from_secs(10);

/// Entries of which the one with the fewest requests of this entry is taken. A domain with fewer
/// is left: a single entry would get the requests of all others.
const DRAWN: usize = 2;

/// What is known of one entry.
#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    /// Time until which it gets no request.
    avoided_until: duration::Instant,
    /// Times in a row that it refused a request as cut.
    refusals: u32,
    /// When it took a request, if no rejection came after it.
    taken_at: Option<duration::Instant>,
    /// When it told of its path, and whether that is cut.
    told: Option<(duration::Instant, bool)>,
}

/// What an entry knows of the paths of other entries, by the address at which they take requests.
#[derive(Debug, Default)]
pub struct Table {
    peers: BTreeMap<address::Socket, Peer>,
}

impl Table {
    /// Records that an entry took a request.
    pub fn record_taken(&mut self, now: duration::Instant, peer: address::Socket) {
        self.forget_old(now);
        let known = Peer {
            taken_at: Some(now),
            ..Peer::default()
        };
        self.peers.insert(peer, known);
    }

    /// Records that an entry did not take a request.
    pub fn record_rejection(
        &mut self,
        now: duration::Instant,
        peer: address::Socket,
        cause: Rejection,
    ) {
        self.forget_old(now);
        let known = self.peers.entry(peer).or_default();
        let backoff = match cause {
            Rejection::Failed => FAILURE_BACKOFF,
            Rejection::Cut => {
                let doubled = MIN_CUT_BACKOFF.0 << known.refusals.min(u8::BITS);
                known.refusals += 1;
                duration::Span(doubled).min(MAX_CUT_BACKOFF)
            }
        };
        known.taken_at = None;
        known.avoided_until = known.avoided_until.max(now.after(backoff));
    }

    /// Records what an entry tells of its own path.
    pub fn record_told(&mut self, now: duration::Instant, peer: address::Socket, is_cut: bool) {
        self.forget_old(now);
        let known = self.peers.entry(peer).or_default();
        known.told = Some((now, is_cut));
        if !is_cut {
            known.refusals = 0;
            known.avoided_until = now;
        }
    }

    /// Whether an entry told a moment ago that it is cut.
    #[must_use]
    pub fn is_known_cut(&self, now: duration::Instant, peer: address::Socket) -> bool {
        let told = self.peers.get(&peer).and_then(|peer| peer.told);
        told.is_some_and(|(at, is_cut)| is_cut && now.since(at) < TOLD_DURATION)
    }

    /// Number of entries that get no request now.
    #[must_use]
    pub fn avoided_count(&self, now: duration::Instant) -> usize {
        let peers = self.peers.keys();
        peers.filter(|peer| !self.is_usable(now, **peer)).count()
    }

    /// The entry that a request is offered to next; `None` if none may take it.
    ///
    /// Entries of `own_domain` come first. After a refusal those come first that took a request
    /// lately, and those of the domains in `refused`, which refused this one, come last.
    pub fn choose<'view>(
        &self,
        now: duration::Instant,
        mut candidates: Vec<Candidate<'view>>,
        own_domain: &id::Domain,
        refused: &[id::Domain],
        random: &mut impl Rng,
    ) -> Option<Candidate<'view>> {
        candidates.retain(|candidate| self.is_usable(now, candidate.address));
        candidates.shuffle(random);
        let took = |candidate: &Candidate<'_>| self.took_lately(now, candidate.address);
        if !refused.is_empty() && candidates.iter().any(took) {
            candidates.retain(took);
        }
        let has_refused = |candidate: &Candidate<'_>| refused.contains(candidate.domain);
        if candidates.iter().any(|candidate| !has_refused(candidate)) {
            candidates.retain(|candidate| !has_refused(candidate));
        }
        let is_near = |candidate: &&Candidate<'_>| candidate.domain == own_domain;
        if candidates.iter().filter(is_near).count() >= DRAWN {
            candidates.retain(|candidate| candidate.domain == own_domain);
        }
        let drawn = candidates.into_iter().take(DRAWN);
        drawn.min_by_key(|candidate| candidate.in_use)
    }

    fn took_lately(&self, now: duration::Instant, peer: address::Socket) -> bool {
        let taken_at = self.peers.get(&peer).and_then(|known| known.taken_at);
        taken_at.is_some_and(|at| now.since(at) < TAKEN_DURATION)
    }

    fn is_usable(&self, now: duration::Instant, peer: address::Socket) -> bool {
        let known = self.peers.get(&peer);
        !self.is_known_cut(now, peer) && known.is_none_or(|known| now >= known.avoided_until)
    }

    /// Forgets entries of which nothing counts any more.
    fn forget_old(&mut self, now: duration::Instant) {
        self.peers.retain(|_, peer| {
            let is_told = peer
                .told
                .is_some_and(|(at, _)| now.since(at) < TOLD_DURATION);
            let is_taken = peer
                .taken_at
                .is_some_and(|at| now.since(at) < TAKEN_DURATION);
            is_told || is_taken || now < peer.avoided_until.after(MAX_CUT_BACKOFF)
        });
    }
}
