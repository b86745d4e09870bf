//! Home entries: the load of each engine is kept by one entry, which the others tell and ask.
//!
//! Entries that tell every other entry what they send cost the square of their number. With a
//! home for each engine, a request costs a few datagrams whatever the size of the fleet, and
//! what an entry learns right before it chooses is newer than what it would be told.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use cranberrygap_model::{address, duration, id};
use serde::{Deserialize, Serialize};

use super::{backlog, window};
use crate::limit;

/// Age at which the backlog that an entry told is no longer counted.
pub const MAX_BACKLOG_AGE: duration::Span = duration::Span::from_millis(1_200);

/// An entry that may be the home of engines or streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the entry.
    pub instance: id::Instance,
    /// Failure domain of the entry.
    pub domain: id::Domain,
    /// Address at which the entry is told and asked.
    pub address: address::Socket,
}

/// Load of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Work that waits or runs there.
    pub backlog: backlog::Backlog,
    /// Prefill time in microseconds of what was sent there within [`window::LENGTH`].
    pub recent_micros: u32,
    /// What the endpoint stated of its limit, if it named one.
    pub limit: Option<limit::Report>,
}

/// Returns the home of an engine: an entry of the engine's failure domain, if there is any.
///
/// All entries choose the same one from the same view. When an entry comes or goes, only the
/// engines that it is the home of change theirs.
#[must_use]
pub fn choose<'entries>(
    engine: u32,
    domain: &id::Domain,
    entries: &'entries [Entry],
) -> Option<&'entries Entry> {
    let heaviest = |left: &&Entry, right: &&Entry| {
        let engine = engine.to_le_bytes();
        weight(&engine, left).cmp(&weight(&engine, right))
    };
    let near = entries.iter().filter(|entry| entry.domain == *domain);
    near.max_by(heaviest)
        .or_else(|| entries.iter().max_by(heaviest))
}

/// Part of an engine's slots that an entry may use without asking the home. The parts of all
/// entries together are no more than the slots; without known slots there is no bound.
#[must_use]
pub fn part(engine: u32, slots: u32, own: &id::Instance, entries: &[Entry]) -> u32 {
    if slots == 0 {
        return u32::MAX;
    }
    let count = u32::try_from(entries.len().max(1)).unwrap_or(u32::MAX);
    if slots >= count {
        return slots / count;
    }
    let engine = engine.to_le_bytes();
    let own = entries.iter().find(|entry| entry.instance == *own);
    let own = own.map(|own| weight(&engine, own));
    let heavier = entries.iter();
    let heavier = heavier.filter(|entry| Some(weight(&engine, entry)) > own);
    u32::from(own.is_some() && heavier.count() < slots as usize)
}

/// Weight of an entry for what it may be the home of; the highest one decides.
pub(crate) fn weight<'entry>(key: &[u8], entry: &'entry Entry) -> (u64, &'entry id::Instance) {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = key.iter().chain(entry.instance.as_str().as_bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    });
    // The last bytes of names differ, and reach the high bits only by another multiplication.
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed, &entry.instance)
}

/// What a home entry was told of its engines.
#[derive(Debug, Default)]
pub struct Book {
    engines: BTreeMap<u32, Account>,
    senders: BTreeMap<SocketAddr, Sender>,
}

/// What all entries told of one engine.
#[derive(Debug, Default)]
struct Account {
    backlogs: BTreeMap<SocketAddr, Told>,
    /// Prompts of the last [`window::LENGTH`], oldest first.
    prompts: VecDeque<(duration::Instant, SocketAddr, u32)>,
}

#[derive(Debug, Clone, Copy)]
struct Told {
    at: duration::Instant,
    backlog: backlog::Backlog,
}

#[derive(Debug, Clone, Copy)]
struct Sender {
    at: duration::Instant,
    sequence: u64,
}

impl Book {
    /// Applies all that an entry has at engines of this home; what it does not name has ended.
    ///
    /// Datagrams may arrive out of order, and the sequence starts anew when the entry restarts.
    pub fn apply_backlogs(
        &mut self,
        now: duration::Instant,
        from: SocketAddr,
        sequence: u64,
        backlogs: &[(u32, backlog::Backlog)],
    ) {
        let is_old = self.senders.get(&from).is_some_and(|sender| {
            sequence <= sender.sequence && now.since(sender.at) < MAX_BACKLOG_AGE
        });
        if is_old {
            return;
        }
        self.senders.insert(from, Sender { at: now, sequence });
        for account in self.engines.values_mut() {
            account.backlogs.remove(&from);
        }
        for (engine, backlog) in backlogs {
            let told = Told {
                at: now,
                backlog: *backlog,
            };
            let account = self.engines.entry(*engine).or_default();
            account.backlogs.insert(from, told);
        }
        self.prune(now);
    }

    /// Applies a prompt that an entry has just sent. It counts until the entry's next backlog.
    pub fn apply_prompt(
        &mut self,
        now: duration::Instant,
        from: SocketAddr,
        engine: u32,
        rank: usize,
        prefill_micros: u32,
    ) {
        let account = self.engines.entry(engine).or_default();
        account.forget_old_prompts(now);
        account.prompts.push_back((now, from, prefill_micros));
        let told = account.backlogs.entry(from).or_insert_with(|| Told {
            at: now,
            backlog: backlog::Backlog::default(),
        });
        told.at = now;
        told.backlog.add(rank, prefill_micros);
    }

    /// Applies that a request of an entry has ended.
    pub fn apply_end(&mut self, from: SocketAddr, engine: u32) {
        let account = self.engines.get_mut(&engine);
        let told = account.and_then(|account| account.backlogs.get_mut(&from));
        if let Some(told) = told {
            told.backlog.finish_request();
        }
    }

    /// Load of an engine without the part of one entry, which knows that better.
    #[must_use]
    pub fn load_without(
        &self,
        now: duration::Instant,
        engine: u32,
        asker: Option<SocketAddr>,
    ) -> Load {
        let Some(account) = self.engines.get(&engine) else {
            return Load::default();
        };
        let others = account.backlogs.iter();
        let others = others
            .filter(|(from, told)| Some(**from) != asker && now.since(told.at) < MAX_BACKLOG_AGE);
        let backlog = others.fold(backlog::Backlog::default(), |sum, (_, told)| {
            sum.combined(&told.backlog)
        });
        let prompts = account.prompts.iter();
        let prompts =
            prompts.filter(|(at, from, _)| Some(*from) != asker && now.since(*at) < window::LENGTH);
        let recent: u64 = prompts.map(|(_, _, micros)| u64::from(*micros)).sum();
        Load {
            backlog,
            recent_micros: u32::try_from(recent).unwrap_or(u32::MAX),
            limit: None,
        }
    }

    fn prune(&mut self, now: duration::Instant) {
        self.senders
            .retain(|_, sender| now.since(sender.at) < MAX_BACKLOG_AGE);
        self.engines.retain(|_, account| {
            account.forget_old_prompts(now);
            account
                .backlogs
                .retain(|_, told| now.since(told.at) < MAX_BACKLOG_AGE);
            !account.backlogs.is_empty() || !account.prompts.is_empty()
        });
    }
}

impl Account {
    fn forget_old_prompts(&mut self, now: duration::Instant) {
        while let Some((at, _, _)) = self.prompts.front()
            && now.since(*at) >= window::LENGTH
        {
            self.prompts.pop_front();
        }
    }
}

/// Load that a home told, as it counts some time later.
#[derive(Debug, Clone, Copy)]
pub struct Learned {
    at: duration::Instant,
    load: Load,
}

impl Learned {
    /// Records what a home told at `now`.
    #[must_use]
    pub const fn new(now: duration::Instant, load: Load) -> Self {
        Self { at: now, load }
    }

    /// Whether it is older than `age` at `now`.
    #[must_use]
    pub fn is_older_than(&self, now: duration::Instant, age: duration::Span) -> bool {
        now.since(self.at) >= age
    }

    /// The load to count at `now`. Recent prompts leave the window one by one.
    #[must_use]
    pub fn load(&self, now: duration::Instant) -> Load {
        let age = now.since(self.at);
        if age >= MAX_BACKLOG_AGE {
            return Load::default();
        }
        let left = window::LENGTH.0.saturating_sub(age.0);
        let recent = u64::from(self.load.recent_micros) * left / window::LENGTH.0;
        Load {
            backlog: self.load.backlog,
            recent_micros: u32::try_from(recent).unwrap_or(u32::MAX),
            limit: self.load.limit,
        }
    }

    /// What the home told of the endpoint's limit, on this entry's clock.
    #[must_use]
    pub fn limit(&self, now: duration::Instant) -> Option<limit::Statement> {
        if self.is_older_than(now, MAX_BACKLOG_AGE) {
            return None;
        }
        self.load.limit.map(|report| report.to_statement(self.at))
    }
}
