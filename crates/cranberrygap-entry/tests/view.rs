//! The view, its order and its lease.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cranberrygap_entry::view::{self, source};
use cranberrygap_model::{duration, number, token};
use cranberrygap_state::traffic::amendment;
use cranberrygap_wire::{configuration, traffic, view as wire_view};

fn state() -> wire_view::State {
    wire_view::State {
        evacuated: Vec::new(),
        traffic: None,
        residencies: Vec::new(),
        lenders: Vec::new(),
        versions: Vec::new(),
        former_routes: Vec::new(),
        staged: None,
        founded: None,
        configuration: configuration::Configuration {
            revision: number::Revision(1),
            defaults: configuration::Defaults::default(),
            exceptions: Vec::new(),
        },
        catalogue: Vec::new(),
        keys: vec![key()],
        endpoints: Vec::new(),
        members: Vec::new(),
        quarantines: Vec::new(),
        workspaces: Vec::new(),
    }
}

fn key() -> wire_view::Key {
    wire_view::Key {
        key: "key-1".parse().expect("a plain name"),
        workspace: "rink-a".parse().expect("a plain name"),
        hash: "hash-1".into(),
    }
}

fn snapshot(revision: u64) -> wire_view::Frame {
    wire_view::Frame::Snapshot {
        revision: number::Revision(revision),
        state: state(),
    }
}

fn delta(revision: u64, changes: Vec<wire_view::Change>) -> wire_view::Frame {
    wire_view::Frame::Delta {
        revision: number::Revision(revision),
        changes,
    }
}

fn confirmed(committed: u64) -> wire_view::Confirmed {
    wire_view::Confirmed {
        revision: number::Revision(committed),
        term: number::Term(1),
        lease: duration::Span::from_millis(1500),
    }
}

const fn millis(count: u64) -> duration::Instant {
    duration::Instant(count * 1_000)
}

#[test]
fn view_serves_only_while_its_lease_runs() {
    let holder = view::Holder::default();
    holder.apply_frame(snapshot(5)).unwrap();

    holder.apply_confirmation(millis(100), &confirmed(5));

    assert!(holder.current(millis(1599)).is_some());
    assert!(holder.current(millis(1600)).is_none());
    assert!(holder.latest().is_some());
}

// The subscription hangs at an old revision while the heartbeats still reach the
// leader. A key is withdrawn meanwhile; the caller would see it work on this
// entry for as long as the heartbeats go on.
#[test]
fn lagging_view_loses_its_lease_though_the_leader_answers() {
    let holder = view::Holder::default();
    holder.apply_frame(snapshot(5)).unwrap();
    holder.apply_confirmation(millis(0), &confirmed(5));

    for beat in 1..10 {
        holder.apply_confirmation(millis(beat * 500), &confirmed(6));
    }

    assert!(holder.current(millis(2000)).is_none());
}

#[test]
fn withdrawn_key_is_gone_from_the_next_revision_only() {
    let holder = view::Holder::default();
    holder.apply_frame(snapshot(5)).unwrap();
    let before = holder.latest().unwrap();

    let withdrawn = wire_view::Change::KeyWithdrawn {
        key: "key-1".parse().unwrap(),
    };
    holder.apply_frame(delta(6, vec![withdrawn])).unwrap();

    let after = holder.latest().unwrap();
    assert!(before.key("hash-1").is_some());
    assert!(after.key("hash-1").is_none());
    assert_eq!(after.revision(), number::Revision(6));
}

// A control process that was restarted or is cut off serves an older state. An
// accepted change would be undone in this entry.
#[test]
fn older_frames_are_refused() {
    let holder = view::Holder::default();
    holder.apply_frame(snapshot(5)).unwrap();

    let outcome = holder.apply_frame(snapshot(4));

    let expected = view::Error::Older {
        offered: number::Revision(4),
        held: number::Revision(5),
    };
    assert_eq!(outcome.unwrap_err(), expected);
    assert_eq!(holder.revision(), number::Revision(5));
}

#[test]
fn delta_without_a_snapshot_is_refused() {
    let holder = view::Holder::default();

    let outcome = holder.apply_frame(delta(1, Vec::new()));

    assert_eq!(outcome.unwrap_err(), view::Error::NoSnapshot);
}

// All instances lose power. Entries are up before the control group has a leader, and
// callers that are told to come back in a fifth of a second use up their tries before
// anybody can serve them.
#[test]
fn caller_is_told_the_time_of_an_election() {
    let holder = view::Holder::default();
    holder.record_failure(millis(1_000), view::Outage::Unreachable);
    let before_control = holder.retry_after(millis(1_000));
    holder.record_failure(millis(1_500), view::Outage::NoLeader);
    holder.record_failure(millis(1_560), view::Outage::NoLeader);

    let during_election = holder.retry_after(millis(1_560));

    assert!(before_control >= duration::Span::from_millis(1_000));
    assert_eq!(during_election, duration::Span::from_millis(1_040));
}

// One entry restarts while the fleet serves. Its first heartbeat brings it a lease, so
// callers who came too early should be back within moments.
#[test]
fn caller_of_a_lone_restart_is_told_to_come_back_soon() {
    let holder = view::Holder::default();
    holder.record_failure(millis(5), view::Outage::Unreachable);
    holder.apply_confirmation(millis(10), &confirmed(1));

    let wait = holder.retry_after(millis(10));

    assert_eq!(wait, duration::Span::from_millis(200));
}

// An election takes longer than expected. The expectation is put off by steps; callers
// are never told a time that has passed.
#[test]
fn expectation_that_has_passed_is_put_off() {
    let holder = view::Holder::default();
    holder.record_failure(millis(0), view::Outage::NoLeader);

    holder.record_failure(millis(1_150), view::Outage::NoLeader);

    assert_eq!(
        holder.retry_after(millis(1_150)),
        duration::Span::from_millis(400)
    );
}

/// A view at revision 7 under a long lease, which learns after half a second that the
/// leader is at revision 8.
fn view_behind() -> view::Holder {
    let holder = view::Holder::default();
    holder.apply_frame(snapshot(7)).expect("a snapshot");
    let long = wire_view::Confirmed {
        lease: duration::Span::from_secs(10),
        ..confirmed(7)
    };
    holder.apply_confirmation(millis(0), &long);
    holder.apply_confirmation(millis(500), &confirmed(8));
    holder
}

// The control process that an entry follows is cut off from the others. It goes on with
// its heartbeats, and the entry still reaches the leader. Under the lease of the time
// before it refused a key for seconds that had been issued, or served a withdrawn one.
#[test]
fn view_that_is_behind_serves_for_a_second_at_most() {
    let holder = view_behind();

    assert!(holder.current(millis(1_499)).is_some());
    assert!(holder.current(millis(1_500)).is_none());
}

#[test]
fn view_that_has_caught_up_serves_on() {
    let holder = view_behind();

    holder.apply_frame(delta(8, Vec::new())).expect("in order");

    assert!(holder.current(millis(2_000)).is_some());
}

// An entry starts after a loss of power and hears from the leader how far it is behind
// before any control process has sent it a view. Left for that lag, each of them is asked
// and left before its first frame comes, and callers are refused until the day ends.
#[test]
fn source_is_not_left_for_a_lag_before_its_first_frame() {
    let holder = view::Holder::default();
    holder.apply_confirmation(millis(0), &confirmed(8));
    let mut source = source::Source::new(millis(1_000));

    let before = source.failure(millis(1_010), &holder);
    holder.apply_frame(snapshot(7)).expect("a snapshot");
    source.record_frame(millis(1_020));
    let after = source.failure(millis(1_020), &holder);

    assert_eq!(before, None);
    assert_eq!(after, Some(source::Failure::Lagging));
}

#[test]
fn source_that_says_nothing_is_left() {
    let holder = view::Holder::default();
    let source = source::Source::new(millis(0));

    assert_eq!(source.failure(millis(799), &holder), None);
    assert_eq!(
        source.failure(millis(800), &holder),
        Some(source::Failure::Silent)
    );
}

/// The view of another source that has sent these frames.
fn view_after(frames: Vec<wire_view::Frame>) -> std::sync::Arc<view::Snapshot> {
    let other = view::Holder::default();
    for frame in frames {
        other.apply_frame(frame).unwrap();
    }
    other.latest().unwrap()
}

// A source that is opened beside the present one begins with an older snapshot. Served from at
// once, the view would go back; refused, the entry would be without a source.
#[test]
fn view_of_another_source_is_adopted_once_it_has_caught_up() {
    let holder = view::Holder::default();
    holder.apply_frame(snapshot(10)).unwrap();
    let withdrawn = wire_view::Change::KeyWithdrawn {
        key: "key-1".parse().expect("a plain name"),
    };

    let early = holder.adopt(view_after(vec![snapshot(8)]));
    let late = holder.adopt(view_after(vec![snapshot(8), delta(12, vec![withdrawn])]));

    assert!(matches!(early, Err(view::Error::Older { .. })));
    assert_eq!(late, Ok(()));
    assert_eq!(holder.revision(), number::Revision(12));
    assert!(holder.latest().unwrap().key("hash-1").is_none());
}

fn plan(version: u64, prefix: &str) -> traffic::Plan {
    traffic::Plan {
        version,
        routes: vec![traffic::Route {
            name: "lookup".into(),
            host: "host.example".into(),
            prefix: prefix.into(),
            kind: traffic::Kind::Idempotent,
            deadline: duration::Span::from_secs(3),
            objective: duration::Span::from_millis(300),
            pause: None,
            priority: 2,
            attempts: 2,
            public: false,
            affinity: false,
            splits: Vec::new(),
        }],
        services: Vec::new(),
        workspaces: Vec::new(),
        bounds: traffic::Bounds {
            header: 16 << 10,
            body: 1 << 20,
            header_time: duration::Span::from_secs(3),
            idle: duration::Span::from_secs(15),
        },
        access: None,
    }
}

#[test]
fn amendment_changes_the_routes_in_force() {
    let holder = view::Holder::default();
    let first = wire_view::Change::Rerouted {
        plan: plan(1, "/old/"),
    };
    let amendment = amendment::between(&plan(1, "/old/"), &plan(2, "/new/"));
    holder.apply_frame(snapshot(1)).unwrap();
    holder.apply_frame(delta(2, vec![first])).unwrap();

    let second = wire_view::Change::Amended { amendment };
    holder.apply_frame(delta(3, vec![second])).unwrap();

    let view = holder.latest().unwrap();
    let table = view.traffic().unwrap();
    assert_eq!(table.plan().version, 2);
    assert!(table.route("host.example", "/old/x").is_none());
    assert!(table.route("host.example", "/new/x").is_some());
    assert_eq!(holder.binding_revision(), number::Revision(3));
}

fn stage() -> traffic::Stage {
    traffic::Stage {
        term: number::Term(1),
        version: 2,
    }
}

fn staged(number: u32, prefix: &str) -> wire_view::Change {
    wire_view::Change::Staged {
        stage: stage(),
        number,
        part: traffic::Part {
            routes: plan(2, prefix).routes,
            ..traffic::Part::default()
        },
    }
}

fn adopted(parts: u32, base: Option<u64>) -> wire_view::Change {
    let next = plan(2, "/unused/");
    wire_view::Change::Adopted {
        stage: stage(),
        parts,
        base,
        bounds: next.bounds,
        access: next.access,
    }
}

fn leads(holder: &view::Holder, path: &str) -> bool {
    let view = holder.latest().unwrap();
    let table = view.traffic();
    table.is_some_and(|table| table.route("host.example", path).is_some())
}

#[test]
fn plan_in_parts_is_in_force_with_its_last_one() {
    let holder = view::Holder::default();
    holder.apply_frame(snapshot(1)).unwrap();
    let first = wire_view::Change::Rerouted {
        plan: plan(1, "/old/"),
    };
    holder.apply_frame(delta(2, vec![first])).unwrap();

    holder
        .apply_frame(delta(3, vec![staged(0, "/a/")]))
        .unwrap();
    holder
        .apply_frame(delta(4, vec![staged(1, "/b/")]))
        .unwrap();
    let before = (leads(&holder, "/a/x"), holder.binding_revision());
    holder
        .apply_frame(delta(5, vec![adopted(2, Some(1))]))
        .unwrap();

    assert_eq!(before, (false, number::Revision(2)));
    assert!(leads(&holder, "/old/x") && leads(&holder, "/a/x") && leads(&holder, "/b/x"));
    assert_eq!(holder.binding_revision(), number::Revision(5));
}

// An entry subscribes between two parts. The parts before must come with the snapshot, or it would
// serve without their routes.
#[test]
fn snapshot_between_two_parts_holds_the_first() {
    let holder = view::Holder::default();
    let mut state = state();
    state.traffic = Some(plan(1, "/old/"));
    state.staged = Some(wire_view::Staged {
        stage: stage(),
        parts: vec![traffic::Part {
            routes: plan(2, "/a/").routes,
            ..traffic::Part::default()
        }],
    });
    let frame = wire_view::Frame::Snapshot {
        revision: number::Revision(3),
        state,
    };
    holder.apply_frame(frame).unwrap();

    holder
        .apply_frame(delta(4, vec![staged(1, "/b/"), adopted(2, Some(1))]))
        .unwrap();

    assert!(leads(&holder, "/old/x") && leads(&holder, "/a/x") && leads(&holder, "/b/x"));
}

// Serving without the routes of a part that is missing would look like their removal.
#[test]
fn plan_with_a_missing_part_is_not_in_force() {
    for changes in [
        vec![staged(1, "/b/")],
        vec![staged(0, "/a/"), adopted(2, None)],
        vec![staged(0, "/a/"), staged(2, "/c/")],
        vec![adopted(1, None)],
    ] {
        let holder = view::Holder::default();
        holder.apply_frame(snapshot(1)).unwrap();

        let applied = holder.apply_frame(delta(2, changes));

        assert_eq!(applied, Err(view::Error::MissingParts));
        assert_eq!(holder.revision(), number::Revision(1));
    }
}

#[test]
fn longest_prefix_of_whole_parts_leads() {
    let mut plan = plan(1, "/a/");
    for prefix in ["/", "/a/b/", "/ä/"] {
        let mut route = plan.routes[0].clone();
        route.prefix = prefix.into();
        plan.routes.push(route);
    }
    let table = view::traffic::Table::new(plan);

    for (path, prefix) in [
        ("/", "/"),
        ("/a", "/"),
        ("/a/", "/a/"),
        ("/a/b", "/a/"),
        ("/a/b/c/d", "/a/b/"),
        ("/ab/c", "/"),
        ("/ä/x", "/ä/"),
        ("/äöü/x", "/"),
        ("//a/", "/"),
    ] {
        let found = table.route("host.example", path);
        assert_eq!(found.map(|route| route.prefix.as_str()), Some(prefix));
    }
    assert!(table.route("host.example", "").is_none());
    assert!(table.route("other.example", "/a/").is_none());
}

// A source leaves out an update that this entry lacks. Its routes would be mixed with those of a
// plan that it never had.
#[test]
fn change_of_another_plan_is_not_in_force() {
    let holder = view::Holder::default();
    let mut state = state();
    state.traffic = Some(plan(1, "/old/"));
    let revision = number::Revision(1);
    let frame = wire_view::Frame::Snapshot { revision, state };
    holder.apply_frame(frame).unwrap();

    for base in [None, Some(0), Some(5)] {
        let changes = vec![staged(0, "/a/"), adopted(1, base)];
        let applied = holder.apply_frame(delta(2, changes));

        assert_eq!(applied, Err(view::Error::OtherPlan));
        assert!(leads(&holder, "/old/x") && !leads(&holder, "/a/x"));
    }
}

/// What a view shows of who may use its routes, whole and after an amendment to another access.
fn access_after(
    first: Option<traffic::Access>,
    second: Option<traffic::Access>,
    workspaces: &[traffic::Workspace],
) -> [Option<traffic::Access>; 2] {
    let plan = |version, access| traffic::Plan {
        access,
        workspaces: workspaces.to_vec(),
        ..plan(version, "/a/")
    };
    let holder = view::Holder::default();
    let mut state = state();
    state.traffic = Some(plan(1, first));
    let revision = number::Revision(1);
    let frame = wire_view::Frame::Snapshot { revision, state };
    holder.apply_frame(frame).unwrap();
    let shown = || holder.latest().unwrap().traffic().unwrap().access();
    let whole = shown();
    let amendment = amendment::between(&plan(1, first), &plan(2, second));
    let change = wire_view::Change::Amended { amendment };
    holder.apply_frame(delta(2, vec![change])).unwrap();
    [whole, shown()]
}

// The operator takes the last workspace out. Read as "no keys are asked for", an empty list opens
// each route to everybody.
#[test]
fn routes_without_workspaces_open_only_if_the_plan_says_so() {
    let (anyone, holders) = (traffic::Access::Anyone, traffic::Access::KeyHolders);

    for (first, second) in [
        (Some(anyone), Some(holders)),
        (Some(holders), Some(anyone)),
        (Some(anyone), None),
        (None, Some(anyone)),
    ] {
        assert_eq!(access_after(first, second, &[]), [first, second]);
    }
}

// A plan of an earlier release does not tell whether it asks for keys. One that has workspaces does.
#[test]
fn plan_that_does_not_tell_its_access_asks_for_the_keys_that_it_has() {
    let workspace = traffic::Workspace {
        workspace: "rink-a".parse().unwrap(),
        keys: vec!["hash-1".into()],
        priority: None,
        rate: token::Rate(0.0),
        burst: token::Count(0),
        plain_cost: 1,
        by_tokens: true,
    };

    let access = access_after(None, None, &[workspace]);

    assert_eq!(access, [Some(traffic::Access::KeyHolders); 2]);
    assert_eq!(access_after(None, None, &[]), [None; 2]);
}
