//! Leases and liveness that a leader tracks during its term and does not replicate.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id, number};
use cranberrygap_state::{endpoint, fleet, member, software};
use cranberrygap_wire::{endpoint as announced, view};

use crate::boots;

/// Time for which an entry may serve, counted from sending its confirmation.
///
/// Four confirmations fit into it, so most entries go on serving while a leader that froze or died
/// is replaced and its successor is found. A dead entry delays the next change by what is left of
/// its lease beyond [`MAX_LEASE_LEFT`], less than a second.
pub const LEASE: duration::Span = duration::Span::from_millis(2_400);

/// Longest lease that an entry without a change may have left when the change is acknowledged.
///
/// The entry may serve without the change for that long. Changes must be in force within two
/// seconds; the rest is for the answer's transit and for clock differences.
pub const MAX_LEASE_LEFT: duration::Span = duration::Span::from_millis(1_500);

/// Longest time by which an entry's view may be behind when its lease is renewed.
pub const MAX_VIEW_LAG: duration::Span = duration::Span::from_millis(200);

/// Time added to each lease on the leader's side. Clocks of two instances may run at slightly
/// different rates, and an entry with a slow clock would serve on after an operator was told that
/// no entry does.
pub const CLOCK_DRIFT: duration::Span = duration::Span::from_millis(50);

/// Time without a confirmation after which an entry leaves the address list. Longer than the lease,
/// so the entry no longer serves by then.
pub const ENTRY_TIMEOUT: duration::Span = duration::Span::from_millis(4_500);

/// Silence after which an endpoint that did not announce leaving is forgotten.
pub const FORGET_AFTER: duration::Span = duration::Span::from_secs(600);

/// Time for which the process of a removed endpoint is remembered, so that its late messages are
/// known as such. With the usual settings TCP gives up on a message after about 15 minutes.
pub const REMEMBER_FOR: duration::Span = duration::Span::from_secs(20 * 60);

/// The same for a process that drains and may still run. Regions may lose each other for an hour.
pub const REMEMBER_DRAINED_FOR: duration::Span = duration::Span::from_secs(24 * 60 * 60);

/// Most processes that one command forgets.
const MAX_EXPIRED: usize = 256;

/// Least time for which a software version is remembered after its last endpoint.
///
/// No stream lasts longer unless the plan in force allows it.
pub const MIN_VERSION_RETENTION: duration::Span = duration::Span::from_secs(60);

/// Revision samples that are kept. There is at most one for each check of the detector, so they
/// cover far more than [`MAX_VIEW_LAG`].
const MAX_REVISION_SAMPLES: usize = 64;

/// Leases and liveness of one leader's term.
#[derive(Debug, Clone, PartialEq)]
pub struct Leadership {
    term: number::Term,
    start: duration::Instant,
    entries: BTreeMap<id::Instance, Entry>,
    endpoints: BTreeMap<id::Endpoint, boots::Recent<Heartbeat>>,
    revision_samples: VecDeque<RevisionSample>,
    /// Latest revision that was acknowledged as in force at all entries.
    acknowledged: number::Revision,
    /// Software versions that no endpoint has, and since when.
    unused_versions: BTreeMap<software::Reference, duration::Instant>,
    /// Plans that led routes elsewhere, by their revisions, and since when.
    moves: BTreeMap<number::Revision, duration::Instant>,
    /// Processes of removed endpoints, and since when.
    removed: BTreeMap<id::Endpoint, (number::Boot, duration::Instant)>,
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    confirmations: boots::Recent<Confirmation>,
    /// End of the last lease that any process of this entry was granted.
    lease_end: duration::Instant,
}

#[derive(Debug, Clone, PartialEq)]
struct Confirmation {
    revision: number::Revision,
    at: duration::Instant,
}

#[derive(Debug, Clone, PartialEq)]
struct Heartbeat {
    sequence: number::Sequence,
    at: duration::Instant,
}

/// Revision of the last binding change at a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RevisionSample {
    at: duration::Instant,
    revision: number::Revision,
}

/// State of an endpoint when its silence is evaluated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndpointState {
    /// Entries do not know its software version yet.
    Joining,
    Ready,
    Suspect,
    /// The endpoint announced that it leaves; once silent, it has left.
    Leaving,
    /// An operator drained the endpoint. Its process may still run beyond a network partition; if
    /// it were forgotten soon, it would be back in service when the partition ends.
    Drained,
    Gone,
}

/// Commands that the leader should propose.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Transitions {
    /// Changes of endpoints' health.
    pub endpoints: Vec<endpoint::Step>,
    /// Entries that are gone.
    pub members: Vec<member::Step>,
}

impl Leadership {
    /// Creates the state of a term that begins at `now`.
    ///
    /// The last binding change is at `revision`.
    #[must_use]
    pub fn new(term: number::Term, now: duration::Instant, revision: number::Revision) -> Self {
        let sample = RevisionSample { at: now, revision };
        Self {
            term,
            start: now,
            entries: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            revision_samples: VecDeque::from([sample]),
            acknowledged: number::Revision(0),
            unused_versions: BTreeMap::new(),
            moves: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// Returns the time at which this term began here.
    #[must_use]
    pub const fn start(&self) -> duration::Instant {
        self.start
    }

    /// Returns the number of this term.
    #[must_use]
    pub const fn term(&self) -> number::Term {
        self.term
    }

    /// Records the revision of the last binding change.
    ///
    /// Called at least once per check of the detector.
    pub fn record_revision(&mut self, now: duration::Instant, revision: number::Revision) {
        if self
            .revision_samples
            .back()
            .is_some_and(|last| last.revision == revision)
        {
            return;
        }
        self.revision_samples
            .push_back(RevisionSample { at: now, revision });
        while self.revision_samples.len() > MAX_REVISION_SAMPLES {
            self.revision_samples.pop_front();
        }
    }

    /// Records a heartbeat of an endpoint that an entry passed on.
    pub fn record_heartbeat(&mut self, now: duration::Instant, seen: &view::Seen) {
        let boots = self.endpoints.entry(seen.endpoint.clone()).or_default();
        let before = boots.get(seen.boot);
        if before.is_some_and(|before| before.sequence >= seen.sequence) {
            return;
        }
        let heartbeat = Heartbeat {
            sequence: seen.sequence,
            at: now,
        };
        boots.insert(seen.boot, heartbeat);
    }

    /// Records that an entry was heard and which revision it has, without granting a lease.
    pub fn record_confirmation(&mut self, now: duration::Instant, confirm: &view::Confirm) {
        let confirmation = Confirmation {
            revision: confirm.revision,
            at: now,
        };
        let entry = self.entry_mut(&confirm.instance);
        entry.confirmations.insert(confirm.boot, confirmation);
    }

    /// Returns the record of an entry. A new record assumes a lease that the previous leader may
    /// have granted.
    fn entry_mut(&mut self, instance: &id::Instance) -> &mut Entry {
        let inherited = self.inherited_lease_end();
        let entry = self.entries.entry(instance.clone());
        entry.or_insert_with(|| Entry {
            confirmations: boots::Recent::default(),
            lease_end: inherited,
        })
    }

    /// Records an entry's confirmation and returns the lease granted for it, zero if none.
    ///
    /// An entry may receive its view from a control process that is cut off and still reach the
    /// leader. With leases it would go on accepting withdrawn keys, so an entry whose view is
    /// behind by more than [`MAX_VIEW_LAG`] gets none.
    pub fn grant_lease(
        &mut self,
        now: duration::Instant,
        confirm: &view::Confirm,
    ) -> duration::Span {
        let required = self.required_revision(now).max(self.acknowledged);
        let lease = if confirm.revision >= required {
            LEASE
        } else {
            duration::Span(0)
        };
        let end = match lease {
            duration::Span(0) => now,
            lease => now.after(lease).after(CLOCK_DRIFT),
        };
        self.record_confirmation(now, confirm);
        // An earlier lease stays valid, also one of an earlier process of the entry or one that the
        // previous leader granted.
        let entry = self.entry_mut(&confirm.instance);
        entry.lease_end = entry.lease_end.max(end);
        lease
    }

    /// Returns the revision that an entry must have to get a lease.
    fn required_revision(&self, now: duration::Instant) -> number::Revision {
        let mut samples = self.revision_samples.iter().rev();
        let sample = samples.find(|sample| sample.at.after(MAX_VIEW_LAG) <= now);
        let first = self.revision_samples.front();
        sample
            .or(first)
            .map_or(number::Revision(0), |sample| sample.revision)
    }

    /// Returns the entries that may still serve from a view older than `revision`.
    ///
    /// An entry that was not heard in this term may hold a lease of the previous term, which ends
    /// at most one lease after the start of this term.
    #[must_use]
    pub fn entries_behind(
        &self,
        now: duration::Instant,
        revision: number::Revision,
        fleet: &fleet::Fleet,
    ) -> Vec<id::Instance> {
        self.iter_entries_behind(now, revision, fleet)
            .cloned()
            .collect()
    }

    fn iter_entries_behind<'all>(
        &'all self,
        now: duration::Instant,
        revision: number::Revision,
        fleet: &'all fleet::Fleet,
    ) -> impl Iterator<Item = &'all id::Instance> {
        let entries = fleet.members.boots();
        let entries = entries.filter(|(member, _)| member.role == view::Role::Entry);
        let behind = entries.filter(move |(member, boot)| {
            match self.entries.get(&member.instance) {
                Some(entry) => !entry.has_confirmed(*boot, revision) && now < entry.lease_end,
                // An entry that has left holds no lease of the previous term.
                None => member.phase != view::Phase::Left && now < self.inherited_lease_end(),
            }
        });
        behind.map(|(member, _)| &member.instance)
    }

    /// Returns the latest time at which a lease of the previous term ends.
    fn inherited_lease_end(&self) -> duration::Instant {
        self.start.after(LEASE).after(CLOCK_DRIFT)
    }

    /// Returns whether the change at `revision` may be acknowledged at `now`, and records it if so.
    ///
    /// An acknowledged change is in force at all entries. A change is committed before entries have
    /// it. Suppose the control process that feeds an entry's view freezes at that moment, and the
    /// leader right after its answer: the entry then serves from its older view until its lease
    /// ends, and callers see an acknowledged change undone. So the answer waits until each entry
    /// has confirmed the revision or has at most [`MAX_LEASE_LEFT`] of its lease left, and from
    /// then on no older view is granted a lease. No other timeout of the protocol adds to that
    /// bound; a successor has the change and requires it too.
    pub fn try_acknowledge(
        &mut self,
        now: duration::Instant,
        revision: number::Revision,
        fleet: &fleet::Fleet,
    ) -> bool {
        let lease_limit = now.after(MAX_LEASE_LEFT);
        let in_force = fleet.view_revision >= revision
            && self
                .iter_entries_behind(lease_limit, revision, fleet)
                .next()
                .is_none();
        if in_force {
            self.acknowledged = self.acknowledged.max(revision);
        }
        in_force
    }

    /// Drops the records of endpoints and entries that the fleet has forgotten.
    ///
    /// Only records that were not heard for [`FORGET_AFTER`] are dropped. Old names would use
    /// memory.
    pub fn prune(&mut self, now: duration::Instant, fleet: &fleet::Fleet) {
        self.endpoints.retain(|name, boots| {
            let last = boots.latest();
            let recent = last.is_some_and(|heartbeat| now.since(heartbeat.at) < FORGET_AFTER);
            recent || fleet.endpoints.contains(name)
        });
        self.entries.retain(|_, entry| {
            entry
                .last_heard()
                .is_some_and(|last| now.since(last) < FORGET_AFTER)
        });
    }

    /// Returns the commands that let endpoints of new software versions serve, and that forget
    /// versions whose streams are over.
    ///
    /// An endpoint is admitted once each entry has confirmed the revision that shows its version,
    /// or serves no longer. From then on no entry takes the version for one that never served, and no
    /// older view is granted a lease.
    pub fn check_versions(
        &mut self,
        now: duration::Instant,
        fleet: &fleet::Fleet,
    ) -> Vec<endpoint::Step> {
        let joining = fleet.endpoints.joining();
        let known_to_all = joining.filter(|(_, revision)| {
            let mut behind = self.iter_entries_behind(now, *revision, fleet);
            behind.next().is_none()
        });
        let admitted: Vec<(endpoint::Step, number::Revision)> = known_to_all
            .map(|(found, revision)| (endpoint::Step::Admitted(to_seen(found)), revision))
            .collect();
        // A restarted entry could get a lease for an older view, which lacks the version.
        let known = admitted.iter().map(|(_, revision)| *revision);
        self.acknowledged = known.fold(self.acknowledged, number::Revision::max);
        let mut steps: Vec<endpoint::Step> = admitted.into_iter().map(|(step, _)| step).collect();
        let unused = fleet.endpoints.versions().contested();
        let unused = unused.filter(|version| !fleet.endpoints.has_version(version));
        let unused: BTreeMap<software::Reference, duration::Instant> = unused
            .map(|version| {
                let since = self.unused_versions.get(&version).copied();
                (version, since.unwrap_or(now))
            })
            .collect();
        let retention = version_retention(fleet);
        let over = unused
            .iter()
            .filter(|(_, since)| now.since(**since) > retention);
        steps.extend(over.map(|(version, _)| endpoint::Step::Retired(version.clone())));
        self.unused_versions = unused;
        steps
    }

    /// Returns the revision up to which plans have led routes elsewhere for longer than streams last,
    /// if there is one.
    ///
    /// A new leader counts anew.
    pub fn check_former_routes(
        &mut self,
        now: duration::Instant,
        fleet: &fleet::Fleet,
    ) -> Option<number::Revision> {
        let former = fleet.traffic.former_routes().iter();
        let moves = former.map(|route| {
            let since = self.moves.get(&route.revision).copied();
            (route.revision, since.unwrap_or(now))
        });
        self.moves = moves.collect();
        let retention = version_retention(fleet);
        let over = self
            .moves
            .iter()
            .filter(|(_, since)| now.since(**since) > retention);
        over.map(|(revision, _)| *revision).max()
    }

    /// Returns the command that forgets processes of removed endpoints whose messages can no longer
    /// arrive, if there are any.
    ///
    /// A leader counts from the time at which it first finds a process removed; a new one counts
    /// anew, as its predecessor's clock is not known.
    pub fn check_removed(
        &mut self,
        now: duration::Instant,
        fleet: &fleet::Fleet,
    ) -> Option<endpoint::Step> {
        let mut removed = BTreeMap::new();
        let mut expired = Vec::new();
        for endpoint::Removed { seen, may_drain } in fleet.endpoints.removed() {
            let known = self.removed.get(&seen.endpoint);
            let known = known.filter(|(boot, _)| *boot == seen.boot);
            let since = known.map_or(now, |(_, since)| *since);
            removed.insert(seen.endpoint.clone(), (seen.boot, since));
            let limit = if may_drain {
                REMEMBER_DRAINED_FOR
            } else {
                REMEMBER_FOR
            };
            if now.since(since) > limit && expired.len() < MAX_EXPIRED {
                expired.push(seen);
            }
        }
        self.removed = removed;
        (!expired.is_empty()).then_some(endpoint::Step::Expired(expired))
    }

    /// Returns the commands for endpoints and entries that fell silent or were heard again.
    #[must_use]
    pub fn check_liveness(&self, now: duration::Instant, fleet: &fleet::Fleet) -> Transitions {
        let silence = fleet.defaults().endpoint_silence;
        let can_remove = fleet.endpoints.can_remove();
        let endpoints = fleet.endpoints.announcements();
        let endpoints = endpoints.filter_map(|(announcement, health)| {
            let seen = to_seen(announcement);
            let leaves = announcement.phase == announced::Phase::Leaving;
            self.endpoint_transition(now, silence, &seen, endpoint_state(health, leaves))
        });
        let endpoints =
            endpoints.filter(|step| can_remove || !matches!(step, endpoint::Step::Forgotten(_)));
        Transitions {
            endpoints: endpoints.collect(),
            members: self.gone_entries(now, fleet),
        }
    }

    fn endpoint_transition(
        &self,
        now: duration::Instant,
        silence: duration::Span,
        last_seen: &view::Seen,
        state: EndpointState,
    ) -> Option<endpoint::Step> {
        let boots = self.endpoints.get(&last_seen.endpoint);
        let heartbeat = boots.and_then(|boots| boots.get(last_seen.boot));
        // A new leader may hear an old heartbeat first. The state knows a later one then.
        let heartbeat = heartbeat.filter(|heartbeat| heartbeat.sequence >= last_seen.sequence);
        let is_heard_since =
            heartbeat.is_some_and(|heartbeat| heartbeat.sequence > last_seen.sequence);
        let silent = now.since(heartbeat.map_or(self.start, |heartbeat| heartbeat.at));
        let latest = heartbeat.map_or(last_seen.sequence, |heartbeat| {
            heartbeat.sequence.max(last_seen.sequence)
        });
        let seen = view::Seen {
            sequence: latest,
            ..last_seen.clone()
        };
        match state {
            EndpointState::Suspect if is_heard_since && silent < silence => {
                Some(endpoint::Step::Heard(seen))
            }
            EndpointState::Suspect | EndpointState::Drained if silent > FORGET_AFTER => {
                Some(endpoint::Step::Forgotten(seen))
            }
            EndpointState::Leaving if silent > silence => Some(endpoint::Step::Forgotten(seen)),
            EndpointState::Ready if silent > silence => Some(endpoint::Step::Silent(seen)),
            _ => None,
        }
    }

    fn gone_entries(&self, now: duration::Instant, fleet: &fleet::Fleet) -> Vec<member::Step> {
        let mut steps = Vec::new();
        for (member, boot) in fleet.members.boots() {
            let is_active_entry =
                member.role == view::Role::Entry && member.phase != view::Phase::Left;
            let entry = self.entries.get(&member.instance);
            let confirmation = entry.and_then(|entry| entry.confirmations.get(boot));
            let last = confirmation.map_or(self.start, |confirmation| confirmation.at);
            if is_active_entry && now.since(last) > ENTRY_TIMEOUT {
                let instance = member.instance.clone();
                steps.push(member::Step::Gone { instance, boot });
            }
        }
        steps
    }

    /// Returns the term's state as JSON, for operators.
    #[must_use]
    pub fn dump(&self, now: duration::Instant) -> serde_json::Value {
        let entries = self.entries.iter().flat_map(|(instance, entry)| {
            entry.confirmations.iter().map(move |(boot, confirmation)| {
                serde_json::json!({
                    "instance": instance, "boot": boot, "revision": confirmation.revision,
                    "silent": now.since(confirmation.at), "lease_left": entry.lease_end.since(now),
                })
            })
        });
        let endpoints = self.endpoints.iter().flat_map(|(endpoint, boots)| {
            boots.iter().map(move |(boot, heartbeat)| {
                serde_json::json!({
                    "seen": { "endpoint": endpoint, "boot": boot, "sequence": heartbeat.sequence },
                    "silent": now.since(heartbeat.at),
                })
            })
        });
        serde_json::json!({
            "term": self.term,
            "since": self.start,
            "entries": entries.collect::<Vec<_>>(),
            "endpoints": endpoints.collect::<Vec<_>>(),
        })
    }
}

impl Entry {
    /// Returns whether the process with this boot confirmed the revision.
    fn has_confirmed(&self, boot: number::Boot, revision: number::Revision) -> bool {
        let confirmation = self.confirmations.get(boot);
        confirmation.is_some_and(|confirmation| confirmation.revision >= revision)
    }

    /// Returns when any process of this entry was last heard.
    fn last_heard(&self) -> Option<duration::Instant> {
        self.confirmations
            .latest()
            .map(|confirmation| confirmation.at)
    }
}

const fn endpoint_state(health: view::Health, leaves: bool) -> EndpointState {
    match health {
        view::Health::Joining => EndpointState::Joining,
        view::Health::Ready => EndpointState::Ready,
        view::Health::Suspect => EndpointState::Suspect,
        view::Health::Leaving if leaves => EndpointState::Leaving,
        view::Health::Leaving => EndpointState::Drained,
        view::Health::Gone => EndpointState::Gone,
    }
}

/// Returns how long a software version is remembered after its last endpoint: until the streams
/// that it began are over, and the entries that may still have sent to it serve no longer.
fn version_retention(fleet: &fleet::Fleet) -> duration::Span {
    let plan = fleet.traffic.plan().into_iter();
    let deadlines = plan.flat_map(|plan| plan.routes.iter().map(|route| route.deadline));
    let longest = deadlines.fold(MIN_VERSION_RETENTION, duration::Span::max);
    duration::Span(longest.0 + LEASE.0 + CLOCK_DRIFT.0)
}

/// Returns the heartbeat that an announcement implies.
pub(crate) fn to_seen(announcement: &announced::Announcement) -> view::Seen {
    view::Seen {
        endpoint: announcement.endpoint.clone(),
        boot: announcement.boot,
        sequence: announcement.sequence,
    }
}
