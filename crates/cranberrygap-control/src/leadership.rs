//! What a leader knows during its term and does not replicate: who was heard.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id, number};
use cranberrygap_state::{endpoint, fleet, member};
use cranberrygap_wire::{endpoint as announced, view};

use crate::processes;

/// Time from sending its confirmation for which an entry may serve.
///
/// Four confirmations fit into it, so that most entries serve on while a leader that
/// froze or died is replaced and found. An entry that died holds up the next change by
/// what is left of it beyond [`LEASE_LEFT`], less than a second.
pub const LEASE: duration::Span = duration::Span::from_millis(2_400);

/// What may be left of an entry's lease when a change is acknowledged that it has not
/// confirmed: the time for which it may still serve without it. Changes must be in force within two seconds; the
/// rest is for the answer's way and for clocks.
pub const LEASE_LEFT: duration::Span = duration::Span::from_millis(1_500);

/// Time by which an entry's view may be behind when its lease is renewed.
pub const LAG: duration::Span = duration::Span::from_millis(200);

/// Time beyond a lease that the leader counts it as held. The clocks of two
/// instances may run at rates that differ a little; an entry with a slow clock
/// would serve on while an operator is told that nobody does.
pub const DRIFT: duration::Span = duration::Span::from_millis(50);

/// Time without a confirmation after which an entry leaves the address list.
/// Longer than the lease, so that it serves nobody by then.
pub const ABSENCE: duration::Span = duration::Span::from_millis(4_500);

/// Silence after which an endpoint is forgotten that was not leaving.
pub const OBLIVION: duration::Span = duration::Span::from_secs(600);

/// Marks that are kept; one a leader's period, so far more than [`LAG`] needs.
const MOST_MARKS: usize = 64;

/// One leader's term.
#[derive(Debug, Clone, PartialEq)]
pub struct Leadership {
    term: number::Term,
    since: duration::Instant,
    entries: BTreeMap<id::Instance, Entry>,
    endpoints: BTreeMap<id::Endpoint, processes::Processes<Heard>>,
    marks: VecDeque<Mark>,
    /// Latest change whose sender was told that all rely on it.
    acknowledged: number::Revision,
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    confirmed: processes::Processes<Confirmed>,
    /// End of the last lease that was given to any of its processes.
    lease_end: duration::Instant,
}

#[derive(Debug, Clone, PartialEq)]
struct Confirmed {
    revision: number::Revision,
    at: duration::Instant,
}

#[derive(Debug, Clone, PartialEq)]
struct Heard {
    sequence: number::Sequence,
    at: duration::Instant,
}

/// The revision of the last binding change as it was at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Mark {
    at: duration::Instant,
    revision: number::Revision,
}

/// How an endpoint stands when it is judged by its silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Ready,
    Suspect,
    /// It said so itself; once it is silent it has left.
    Leaves,
    /// An operator wants it out of service. Its process may run on behind a cut;
    /// forgotten soon, it would come back into service when the cut ends.
    Drained,
    Gone,
}

/// Commands that the leader should propose.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings {
    /// News of endpoints.
    pub endpoints: Vec<endpoint::Step>,
    /// News of entries.
    pub members: Vec<member::Step>,
}

impl Leadership {
    /// Takes leadership at `now`, with the last binding change at `revision`.
    #[must_use]
    pub fn new(term: number::Term, now: duration::Instant, revision: number::Revision) -> Self {
        let mark = Mark { at: now, revision };
        Self {
            term,
            since: now,
            entries: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            marks: VecDeque::from([mark]),
            acknowledged: number::Revision(0),
        }
    }

    /// The number of this term.
    #[must_use]
    pub const fn term(&self) -> number::Term {
        self.term
    }

    /// Notes the revision of the last binding change; called at least once a period.
    pub fn record_revision(&mut self, now: duration::Instant, revision: number::Revision) {
        if self
            .marks
            .back()
            .is_some_and(|last| last.revision == revision)
        {
            return;
        }
        self.marks.push_back(Mark { at: now, revision });
        while self.marks.len() > MOST_MARKS {
            self.marks.pop_front();
        }
    }

    /// Notes a heartbeat of an endpoint that an entry passed on.
    pub fn hear(&mut self, now: duration::Instant, seen: &view::Seen) {
        let processes = self.endpoints.entry(seen.endpoint.clone()).or_default();
        let before = processes.get(seen.boot);
        if before.is_some_and(|before| before.sequence >= seen.sequence) {
            return;
        }
        let heard = Heard {
            sequence: seen.sequence,
            at: now,
        };
        processes.note(seen.boot, heard);
    }

    /// Notes that an entry was heard and which revision it has; gives no lease.
    pub fn hear_entry(&mut self, now: duration::Instant, confirm: &view::Confirm) {
        let confirmed = Confirmed {
            revision: confirm.revision,
            at: now,
        };
        let entry = self.entry(&confirm.instance);
        entry.confirmed.note(confirm.boot, confirmed);
    }

    /// The entry; one that is new may hold a lease that the leader before this one gave.
    fn entry(&mut self, instance: &id::Instance) -> &mut Entry {
        let inherited = self.inherited();
        let entry = self.entries.entry(instance.clone());
        entry.or_insert_with(|| Entry {
            confirmed: processes::Processes::default(),
            lease_end: inherited,
        })
    }

    /// Takes an entry's confirmation and gives the lease for it.
    ///
    /// An entry may follow a control process that was cut off, and still reach
    /// the leader. It would serve withdrawn keys for as long as it is given
    /// leases. So an entry whose view is behind by more than [`LAG`] gets none.
    pub fn grant_lease(
        &mut self,
        now: duration::Instant,
        confirm: &view::Confirm,
    ) -> duration::Span {
        let required = self.required(now).max(self.acknowledged);
        let lease = if confirm.revision >= required {
            LEASE
        } else {
            duration::Span(0)
        };
        let end = match lease {
            duration::Span(0) => now,
            lease => now.after(lease).after(DRIFT),
        };
        self.hear_entry(now, confirm);
        // A lease that was given before holds on, also for an earlier process, and also
        // one that the leader before this one gave.
        let entry = self.entry(&confirm.instance);
        entry.lease_end = entry.lease_end.max(end);
        lease
    }

    /// The revision that an entry must have to get a lease.
    fn required(&self, now: duration::Instant) -> number::Revision {
        let mut marks = self.marks.iter().rev();
        let old = marks.find(|mark| mark.at.after(LAG) <= now);
        let first = self.marks.front();
        old.or(first)
            .map_or(number::Revision(0), |mark| mark.revision)
    }

    /// Entries that may still serve from a view before `revision`.
    ///
    /// Entries that were not heard in this term may hold a lease of the term
    /// before, which ends at the latest one lease after this term's start.
    #[must_use]
    pub fn waiting(
        &self,
        now: duration::Instant,
        revision: number::Revision,
        fleet: &fleet::Fleet,
    ) -> Vec<id::Instance> {
        self.unsettled(now, revision, fleet).cloned().collect()
    }

    fn unsettled<'all>(
        &'all self,
        now: duration::Instant,
        revision: number::Revision,
        fleet: &'all fleet::Fleet,
    ) -> impl Iterator<Item = &'all id::Instance> {
        let entries = fleet.members.boots();
        let entries = entries.filter(|(member, _)| member.role == view::Role::Entry);
        let waiting = entries.filter(move |(member, boot)| {
            match self.entries.get(&member.instance) {
                Some(entry) => !entry.has_confirmed(*boot, revision) && now < entry.lease_end,
                // One that left has no lease of the term before.
                None => member.phase != view::Phase::Left && now < self.inherited(),
            }
        });
        waiting.map(|(member, _)| &member.instance)
    }

    /// When the last lease of the term before ends at the latest.
    fn inherited(&self) -> duration::Instant {
        self.since.after(LEASE).after(DRIFT)
    }

    /// Whether the sender of the change at `revision` may be told at `now` that all rely on
    /// it; notes it if so.
    ///
    /// A change is committed before entries have it. The source of an entry's view may stand
    /// still at that moment, and the leader too right after its answer: until its lease ends
    /// the entry goes on by the view of before, and callers see a confirmed change undone. So
    /// the answer waits until each entry has confirmed the revision, or its lease has at most
    /// [`LEASE_LEFT`] left, and no older view is given a lease from then on. No other time of
    /// the protocol is part of that sum; a successor has the change, and requires it.
    pub fn try_acknowledge(
        &mut self,
        now: duration::Instant,
        revision: number::Revision,
        fleet: &fleet::Fleet,
    ) -> bool {
        let soon = now.after(LEASE_LEFT);
        let settled = fleet.view_revision >= revision
            && self.unsettled(soon, revision, fleet).next().is_none();
        if settled {
            self.acknowledged = self.acknowledged.max(revision);
        }
        settled
    }

    /// Drops what is known of endpoints and entries that the fleet has forgotten
    /// and that were not heard for long, so that names of the past take no room.
    pub fn prune(&mut self, now: duration::Instant, fleet: &fleet::Fleet) {
        self.endpoints.retain(|name, processes| {
            let last = processes.last();
            let fresh = last.is_some_and(|heard| now.since(heard.at) < OBLIVION);
            fresh || fleet.endpoints.contains(name)
        });
        self.entries
            .retain(|_, entry| entry.last().is_some_and(|last| now.since(last) < OBLIVION));
    }

    /// What became of endpoints and entries that were not heard.
    #[must_use]
    pub fn findings(&self, now: duration::Instant, fleet: &fleet::Fleet) -> Findings {
        let silence = fleet.defaults().endpoint_silence;
        let endpoints = fleet.endpoints.announcements();
        let endpoints = endpoints.filter_map(|(announcement, health)| {
            let seen = view::Seen {
                endpoint: announcement.endpoint.clone(),
                boot: announcement.boot,
                sequence: announcement.sequence,
            };
            let leaves = announcement.phase == announced::Phase::Leaving;
            self.judge(now, silence, &seen, standing(health, leaves))
        });
        Findings {
            endpoints: endpoints.collect(),
            members: self.absent(now, fleet),
        }
    }

    fn judge(
        &self,
        now: duration::Instant,
        silence: duration::Span,
        known: &view::Seen,
        standing: Standing,
    ) -> Option<endpoint::Step> {
        let processes = self.endpoints.get(&known.endpoint);
        let heard = processes.and_then(|processes| processes.get(known.boot));
        let quiet = now.since(heard.map_or(self.since, |heard| heard.at));
        let latest = heard.map_or(known.sequence, |heard| heard.sequence.max(known.sequence));
        let seen = view::Seen {
            sequence: latest,
            ..known.clone()
        };
        match standing {
            Standing::Suspect if heard.is_some() && quiet < silence => {
                Some(endpoint::Step::Heard(seen))
            }
            Standing::Suspect | Standing::Drained if quiet > OBLIVION => {
                Some(endpoint::Step::Forgotten(seen))
            }
            Standing::Leaves if quiet > silence => Some(endpoint::Step::Forgotten(seen)),
            Standing::Ready if quiet > silence => Some(endpoint::Step::Silent(seen)),
            _ => None,
        }
    }

    fn absent(&self, now: duration::Instant, fleet: &fleet::Fleet) -> Vec<member::Step> {
        let mut steps = Vec::new();
        for (member, boot) in fleet.members.boots() {
            let counts = member.role == view::Role::Entry && member.phase != view::Phase::Left;
            let entry = self.entries.get(&member.instance);
            let confirmed = entry.and_then(|entry| entry.confirmed.get(boot));
            let last = confirmed.map_or(self.since, |confirmed| confirmed.at);
            if counts && now.since(last) > ABSENCE {
                let instance = member.instance.clone();
                steps.push(member::Step::Gone { instance, boot });
            }
        }
        steps
    }

    /// The term for people.
    #[must_use]
    pub fn dump(&self, now: duration::Instant) -> serde_json::Value {
        let entries = self.entries.iter().flat_map(|(instance, entry)| {
            entry.confirmed.iter().map(move |(boot, confirmed)| {
                serde_json::json!({
                    "instance": instance, "boot": boot, "revision": confirmed.revision,
                    "silent": now.since(confirmed.at), "lease_left": entry.lease_end.since(now),
                })
            })
        });
        let endpoints = self.endpoints.iter().flat_map(|(endpoint, processes)| {
            processes.iter().map(move |(boot, heard)| {
                serde_json::json!({
                    "seen": { "endpoint": endpoint, "boot": boot, "sequence": heard.sequence },
                    "silent": now.since(heard.at),
                })
            })
        });
        serde_json::json!({
            "term": self.term,
            "since": self.since,
            "entries": entries.collect::<Vec<_>>(),
            "endpoints": endpoints.collect::<Vec<_>>(),
        })
    }
}

impl Entry {
    /// Whether the process with this boot said that it has the revision.
    fn has_confirmed(&self, boot: number::Boot, revision: number::Revision) -> bool {
        let confirmed = self.confirmed.get(boot);
        confirmed.is_some_and(|confirmed| confirmed.revision >= revision)
    }

    /// When any of its processes was heard last.
    fn last(&self) -> Option<duration::Instant> {
        self.confirmed.last().map(|confirmed| confirmed.at)
    }
}

const fn standing(health: view::Health, leaves: bool) -> Standing {
    match health {
        view::Health::Ready => Standing::Ready,
        view::Health::Suspect => Standing::Suspect,
        view::Health::Leaving if leaves => Standing::Leaves,
        view::Health::Leaving => Standing::Drained,
        view::Health::Gone => Standing::Gone,
    }
}
