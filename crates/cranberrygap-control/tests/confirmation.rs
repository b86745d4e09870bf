//! Handling of confirmations while commits are delayed.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fleet;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranberrygap_control::state_machine::StateMachine as _;
use cranberrygap_control::{confirmation, detector, leadership, log, metric, proposer, replicated};
use cranberrygap_link::clock;
use cranberrygap_model::{duration, number};
use cranberrygap_state::{command, endpoint as state, member};
use cranberrygap_wire::{endpoint, view};
use futures_util::future::{self, BoxFuture};

/// Time from the start of the term to the confirmation.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(50);

/// Longest time that an answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// Log of a leader whose disk hangs.
#[derive(Debug)]
struct HungLog;

impl log::Log for HungLog {
    fn propose(&self, _payload: Bytes) -> BoxFuture<'_, Result<log::Committed, log::Error>> {
        Box::pin(future::pending())
    }

    fn status(&self) -> log::Status {
        log::Status {
            term: number::Term(1),
            leads: true,
            leader: None,
            committed: number::Index(2),
            applied: number::Index(2),
        }
    }
}

/// Leader that knows one entry and one runner, at the start of its term.
struct Leader {
    state: Arc<replicated::State>,
    detector: Arc<detector::Detector>,
    confirmations: confirmation::Handler,
    start: duration::Instant,
}

impl Leader {
    fn new() -> Self {
        let state = Arc::new(state_with_one_of_each());
        let proposer = proposer::Proposer::new(Arc::new(HungLog));
        let metrics = metric::Recorder::none();
        let detector = detector::Detector::new(
            Arc::clone(&state),
            proposer.clone(),
            clock::Clock::start(),
            metrics.clone(),
        );
        let detector = Arc::new(detector);
        let confirmations = confirmation::Handler::new(
            Arc::clone(&state),
            proposer,
            Arc::clone(&detector),
            metrics,
        );
        let start = detector.with_leadership(|now, _leadership| now).unwrap();
        Self {
            state,
            detector,
            confirmations,
            start,
        }
    }

    /// Returns whether a confirmation that arrives later in the term is answered.
    async fn is_answered(&self, confirm: &view::Confirm) -> bool {
        tokio::time::sleep(CONFIRMATION_DELAY).await;
        let taken = self.confirmations.handle(confirm);
        tokio::time::timeout(ANSWER_TIMEOUT, taken).await.is_ok()
    }

    /// Returns the transitions due one millisecond after `silence` since the start of the term.
    fn transitions_after(&self, silence: duration::Span) -> leadership::Transitions {
        let at = self.start.after(silence);
        let at = at.after(duration::Span::from_millis(1));
        let check = |leadership: &mut leadership::Leadership| {
            self.state
                .read(|fleet| leadership.check_liveness(at, fleet))
        };
        self.detector
            .with_leadership(|_now, leadership| check(leadership))
            .unwrap()
    }

    fn endpoint_silence(&self) -> duration::Span {
        self.state.read(|fleet| fleet.defaults().endpoint_silence)
    }
}

fn state_with_one_of_each() -> replicated::State {
    let confirm = fleet::confirm(number::Revision(0));
    let member = view::Member {
        instance: confirm.instance,
        domain: confirm.domain,
        role: view::Role::Entry,
        address: confirm.address,
        endpoints: confirm.endpoints,
        lending: confirm.lending,
        phase: confirm.phase,
    };
    let boot = confirm.boot;
    let announced = state::Step::Announced(Box::new(announcement("runner-1", 1)));
    let commands = [
        command::Command::Member(member::Step::Seen { member, boot }),
        command::Command::Endpoint(announced),
    ];
    let state = replicated::State::default();
    for (at, command) in (1..).zip(commands) {
        let proposal = command::Proposal { at, command };
        let payload = serde_json::to_vec(&proposal).unwrap();
        state.apply(number::Index(at), &payload);
    }
    state
}

fn announcement(name: &str, sequence: u64) -> endpoint::Announcement {
    let announcement = serde_json::json!({
        "endpoint": name, "boot": 1, "sequence": sequence,
        "address": "127.0.0.1:9", "domain": "oslo-1", "kind": "runner", "phase": "ready",
        "memory": "80GiB", "checks_fence": true, "resident": [],
    });
    serde_json::from_value(announcement).unwrap()
}

/// Returns a confirmation with an announcement that has to be committed.
fn confirm(announcement: endpoint::Announcement) -> view::Confirm {
    view::Confirm {
        announcements: vec![announcement],
        ..fleet::confirm(number::Revision(0))
    }
}

// The leader's disk hangs for seconds while new endpoints are announced. Healthy endpoints whose
// heartbeats arrive in the same confirmations must not become suspect, or they would get no
// requests.
#[tokio::test]
async fn heartbeat_is_recorded_while_commits_wait() {
    let leader = Leader::new();
    let heartbeat = view::Seen {
        endpoint: "runner-1".parse().unwrap(),
        boot: number::Boot(1),
        sequence: number::Sequence(2),
    };
    let confirm = view::Confirm {
        seen: vec![heartbeat],
        ..confirm(announcement("runner-2", 1))
    };

    let is_answered = leader.is_answered(&confirm).await;

    let transitions = leader
        .transitions_after(leader.endpoint_silence())
        .endpoints;
    assert!(!is_answered, "the log commits nothing");
    assert_eq!(transitions, []);
}

// As above, for an endpoint whose own announcement waits for its commit.
#[tokio::test]
async fn announcement_is_recorded_while_its_commit_waits() {
    let leader = Leader::new();

    let is_answered = leader
        .is_answered(&confirm(announcement("runner-1", 2)))
        .await;

    let transitions = leader
        .transitions_after(leader.endpoint_silence())
        .endpoints;
    assert!(!is_answered, "the log commits nothing");
    assert_eq!(transitions, []);
}

// As above, for the entry that sends the confirmations: it would leave the address list, and its
// running bookings would be taken for lost.
#[tokio::test]
async fn entry_is_recorded_while_its_commits_wait() {
    let leader = Leader::new();

    let is_answered = leader
        .is_answered(&confirm(announcement("runner-2", 1)))
        .await;

    let transitions = leader.transitions_after(leadership::ENTRY_TIMEOUT).members;
    assert!(!is_answered, "the log commits nothing");
    assert_eq!(transitions, []);
}

// Recording liveness must not grant a lease: the next leader would not know of a lease that was
// granted before the entry's boot is in the log.
#[tokio::test]
async fn no_lease_is_granted_while_commits_wait() {
    let leader = Leader::new();

    let is_answered = leader
        .is_answered(&confirm(announcement("runner-2", 1)))
        .await;

    let inherited = leadership::LEASE.0 + leadership::CLOCK_DRIFT.0;
    let end = leader.start.after(duration::Span(inherited));
    let waiting = leader.detector.with_leadership(|_now, leadership| {
        let revision = number::Revision(u64::MAX);
        leader
            .state
            .read(|fleet| leadership.entries_behind(end, revision, fleet))
    });
    assert!(!is_answered, "the log commits nothing");
    assert_eq!(waiting, Some(Vec::new()));
}
