//! Share renewals of many entries at the same time.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cranberrygap_control::{
    log, metric, proposer, replicated, shares, state_machine::StateMachine as _,
};
use cranberrygap_link::clock;
use cranberrygap_model::{duration, number, token};
use cranberrygap_state::{command, traffic as state};
use cranberrygap_wire::{share, traffic};
use futures_util::future::{self, BoxFuture};
use smol_str::format_smolstr;

const ENTRIES: usize = 65;
const WORKSPACES: usize = 16;

/// Log of a single process with slow commits.
#[derive(Debug)]
struct SlowLog {
    state: Arc<replicated::State>,
    commits: AtomicU64,
}

impl SlowLog {
    fn apply(&self, payload: &[u8]) -> log::Committed {
        let index = number::Index(self.commits.fetch_add(1, Ordering::SeqCst) + 1);
        let answer = self.state.apply(index, payload);
        log::Committed { index, answer }
    }

    fn commits(&self) -> u64 {
        self.commits.load(Ordering::SeqCst)
    }
}

impl log::Log for SlowLog {
    fn propose(&self, payload: Bytes) -> BoxFuture<'_, Result<log::Committed, log::Error>> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            Ok(self.apply(&payload))
        })
    }

    fn status(&self) -> log::Status {
        let at = number::Index(self.commits());
        log::Status {
            term: number::Term(1),
            leads: true,
            leader: None,
            committed: at,
            applied: at,
        }
    }
}

fn plan() -> traffic::Plan {
    let workspaces = (0..WORKSPACES).map(|number| traffic::Workspace {
        workspace: format!("workspace-{number}").parse().unwrap(),
        rate: token::Rate(1_000_000.0),
        burst: token::Count(10_000_000),
        by_tokens: true,
        keys: Vec::new(),
        plain_cost: 1,
        priority: None,
    });
    traffic::Plan {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        workspaces: workspaces.collect(),
        bounds: traffic::Bounds {
            body: 1,
            header: 1,
            header_time: duration::Span::from_secs(1),
            idle: duration::Span::from_secs(1),
        },
        access: Some(traffic::Access::KeyHolders),
    }
}

/// Returns a leader with sixteen workspaces.
fn leader() -> (Arc<SlowLog>, Arc<shares::Coordinator>) {
    let state = Arc::new(replicated::State::default());
    let log = Arc::new(SlowLog {
        state: Arc::clone(&state),
        commits: AtomicU64::new(0),
    });
    let source = "".into();
    let step = state::Step {
        plan: plan(),
        source,
    };
    let command = command::Command::Traffic(Box::new(step));
    let proposal = command::Proposal { at: 1, command };
    log.apply(&serde_json::to_vec(&proposal).unwrap());
    let proposer = proposer::Proposer::new(Arc::clone(&log) as _);
    let clock = clock::Clock::start();
    let shares = shares::Coordinator::new(state, proposer, clock, metric::Recorder::none());
    let shares = Arc::new(shares);
    tokio::spawn(Arc::clone(&shares).run());
    (log, shares)
}

fn renewal(entry: usize) -> share::Renew {
    let demands = (0..WORKSPACES).map(|number| share::Demand {
        workspace: format!("workspace-{number}").parse().unwrap(),
        rate: token::Rate(5_000.0),
        wanted: token::Count(1_000),
        returned: token::Count(0),
        share: 0,
        room: token::Count(0),
        first: token::Count(500),
        usual: token::Count(500),
        lent: token::Count(0),
        unlent: token::Count(0),
    });
    share::Renew {
        instance: format_smolstr!("entry-{entry}").parse().unwrap(),
        boot: number::Boot(1),
        sequence: number::Sequence(1),
        lends: false,
        demands: demands.collect(),
    }
}

// If each renewal waited for a commit of its own, entries would give up on theirs and refuse
// callers.
#[tokio::test]
async fn concurrent_renewals_share_a_commit() {
    let (log, shares) = leader();
    let before = log.commits();

    let renewals = (0..ENTRIES).map(|entry| shares.renew(renewal(entry)));
    let answers = future::join_all(renewals).await;

    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    // The first renewal may start a commit of its own; the others arrive during it.
    assert!(log.commits() - before <= 2, "{}", log.commits() - before);
}

// Tokens granted to an entry whose connection has ended would be lost.
#[tokio::test]
async fn renewal_of_an_entry_that_is_gone_is_not_granted() {
    let (_log, shares) = leader();
    let first = shares.renew(renewal(0));
    let abandoned = async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let renewal = shares.renew(renewal(1));
        drop(tokio::time::timeout(Duration::from_millis(1), renewal).await);
    };
    let (granted, ()) = future::join(first, abandoned).await;

    let again = shares.renew(renewal(1)).await;

    assert!(granted.is_ok(), "{granted:?}");
    assert!(again.is_ok(), "{again:?}");
}
