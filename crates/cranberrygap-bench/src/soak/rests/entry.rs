//! An entry that chooses among the endpoints of its view.

use cranberrygap_model::{duration, number};
use cranberrygap_routing::gate::book::Book;
use cranberrygap_routing::gate::{Passage, Process};
use rand::Rng;
use rand::rngs::SmallRng;

use super::endpoint::Endpoint;
use super::world::Flaw;

/// What a view says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// Its process.
    pub boot: number::Boot,
    /// Whether it takes requests.
    pub is_ready: bool,
}

/// A choice for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// This process of an endpoint.
    Send(usize, number::Boot),
    /// The first endpoint has rested then.
    Wait(duration::Instant),
    /// No endpoint is left.
    Refuse,
}

/// One entry.
#[derive(Debug, Default)]
pub struct Entry {
    /// What processes asked it for.
    pub book: Book,
    /// What its view says, by endpoint; nothing of those that it does not name.
    pub view: Vec<Option<Seen>>,
    /// Requests that it has at each endpoint.
    pub running: Vec<u32>,
    /// Until when it stands still.
    pub frozen_until: duration::Instant,
    /// Counts its processes.
    pub life: u64,
}

impl Entry {
    /// Creates an entry whose view names no endpoint yet.
    #[must_use]
    pub fn new(book: Book, endpoints: usize) -> Self {
        Self {
            book,
            view: vec![None; endpoints],
            running: vec![0; endpoints],
            ..Self::default()
        }
    }

    /// Chooses an endpoint beside the last one for a request.
    pub fn choose(
        &self,
        now: duration::Instant,
        endpoints: &[Endpoint],
        last: Option<usize>,
        flaw: Flaw,
        random: &mut SmallRng,
    ) -> Choice {
        let named = self.view.iter().enumerate();
        let ready = named.filter_map(|(place, seen)| Some((place, (*seen)?)));
        let ready = ready.filter(|(place, seen)| seen.is_ready && Some(*place) != last);
        let ready: Vec<(usize, Seen)> = ready.collect();
        let passage = |(place, seen): &(usize, Seen)| {
            let process = Process {
                endpoint: &endpoints[*place].name,
                boot: seen.boot,
            };
            self.book.passage(now, process)
        };
        let is_open = |seen: &&(usize, Seen)| passage(seen) == Passage::Open;
        let mut open: Vec<&(usize, Seen)> = ready.iter().filter(is_open).collect();
        if open.is_empty() && flaw == Flaw::Fallback {
            open = ready.iter().collect();
        }
        let cost = |place: usize| self.running[place];
        let best = open
            .into_iter()
            .min_by_key(|(place, _)| (cost(*place), random.random::<u32>()));
        if let Some((place, seen)) = best {
            return Choice::Send(*place, seen.boot);
        }
        let ends = ready.iter().filter_map(|seen| match passage(seen) {
            Passage::After(end) => Some(end),
            Passage::Open | Passage::Closed => None,
        });
        ends.min().map_or(Choice::Refuse, Choice::Wait)
    }
}
