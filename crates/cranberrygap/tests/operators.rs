//! What operators do on the command line, also when things go wrong.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use std::fs;
use std::os::unix::fs::PermissionsExt as _;
use std::time::Duration;

use cranberrygap_link::{client, credential};
use cranberrygap_standin::{loopback, proxy};
use cranberrygap_wire::{method, operator, view};
use support::{fleet, group, wait};

const FIRST: &str = "[defaults]\nrate = 9000/s\n";
const SECOND: &str = "[defaults]\nrate = 8000/s\n";

async fn fleet(controls: usize, entries: usize) -> fleet::Fleet {
    let shape = fleet::Shape::builder()
        .controls(controls)
        .entries(entries)
        .engines(0)
        .services(0);
    let fleet = fleet::Fleet::start(shape.build()).await;
    fs::write(fleet.folder().join("first.ini"), FIRST).unwrap();
    fs::write(fleet.folder().join("second.ini"), SECOND).unwrap();
    // The first answer of a leader.
    group::list(&fleet).await;
    fleet
}

async fn rate(fleet: &fleet::Fleet) -> String {
    let shown: view::State = fleet.ask_leader(method::SHOW, &()).await;
    shown.configuration.defaults.rate.to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_applied_shown_and_compared() {
    let fleet = fleet(1, 0).await;

    let first = group::run(&fleet, &["apply", "first.ini", "--expect", "0", "--wait"]).await;
    let second = group::run(&fleet, &["--json", "apply", "second.ini"]).await;
    let second: operator::Applied = serde_json::from_slice(&second.stdout).unwrap();
    let history = group::run(&fleet, &["history"]).await;
    let text = group::text(&first);
    let revision = text.split_whitespace().nth(1).unwrap();
    let compared = group::run(&fleet, &["diff", revision]).await;
    let shown = group::run(&fleet, &["show", "--revision", revision]).await;

    assert!(text.trim_end().ends_with("is in force"), "{text}");
    assert!(matches!(second, operator::Applied::Accepted { .. }));
    assert_eq!(group::text(&history).lines().count(), 2);
    assert!(group::text(&compared).contains("-rate = 9000/s\n+rate = 8000/s\n"));
    assert!(group::text(&shown).ends_with(FIRST));
}

#[tokio::test(flavor = "multi_thread")]
async fn text_with_mistakes_is_refused_whole_with_all_of_them() {
    let fleet = fleet(1, 0).await;
    let text = "[defaults]\nrate = 8000\n[exception workspace x]\nburst = 90000\n";
    fs::write(fleet.folder().join("wrong.ini"), text).unwrap();

    let refused = group::run(&fleet, &["apply", "wrong.ini"]).await;

    let said = String::from_utf8(refused.stderr).unwrap();
    assert_eq!(refused.status.code(), Some(1));
    assert!(said.contains("line 2: [defaults] rate"), "{said}");
    assert!(
        said.contains("line 3: [exception workspace x] reason"),
        "{said}"
    );
    assert_eq!(rate(&fleet).await, "5000/s");
}

// Two operators race from the same revision. One of them must learn that the
// other one won, by the exit code too, since scripts apply configurations.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_with_equal_numbers_one_wins() {
    let fleet = fleet(3, 0).await;

    let (one, other) = tokio::join!(
        group::run(
            &fleet,
            &["apply", "first.ini", "--expect", "0", "--by", "ada"]
        ),
        group::run(
            &fleet,
            &["apply", "second.ini", "--expect", "0", "--by", "bo"]
        ),
    );

    let mut codes = [one.status.code(), other.status.code()];
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(3)]);
    let (winner, lost) = if one.status.success() {
        ("ada", other)
    } else {
        ("bo", one)
    };
    let said = String::from_utf8(lost.stderr).unwrap();
    assert!(said.contains(&format!("by {winner}")), "{said}");
}

// The command line is ended after the change was committed and before its
// answer came back. Meanwhile another operator goes on. The resend must learn
// that the change was accepted, and must not bring it back.
#[tokio::test(flavor = "multi_thread")]
async fn resend_after_a_lost_answer_gets_the_first_answer() {
    let fleet = fleet(1, 0).await;
    let slow = proxy::Proxy::start(loopback::unique(), fleet.controls[0].admin)
        .await
        .unwrap();
    slow.delay(Duration::from_millis(100));
    let near = slow.address().to_string();
    let apply = ["apply", "first.ini", "--expect", "0", "--change", "c-lost"];
    let mut command = group::command(&fleet, &near, "operator.token", &apply);
    let mut sent = command.spawn().unwrap();
    wait::until("the change is committed", async || {
        rate(&fleet).await == "9000/s"
    })
    .await;
    sent.kill().unwrap();
    sent.wait().unwrap();
    group::run(&fleet, &["apply", "second.ini"]).await;

    let resent = group::run(&fleet, &apply).await;

    assert!(resent.status.success());
    assert!(group::text(&resent).ends_with("is accepted\n"));
    assert_eq!(rate(&fleet).await, "8000/s");
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_tell_what_went_wrong() {
    let fleet = fleet(1, 0).await;

    let usage = group::run(&fleet, &["apply"]).await;
    let nobody = group::run(&fleet, &["drain", "nobody"]).await;
    let addresses = group::addresses(&fleet);
    let mut stranger = group::command(&fleet, &addresses, "fleet.secret", &["show"]);
    let stranger = tokio::task::spawn_blocking(move || stranger.output()).await;

    assert_eq!(usage.status.code(), Some(2));
    assert_eq!(nobody.status.code(), Some(1));
    assert_eq!(stranger.unwrap().unwrap().status.code(), Some(1));
}

// An entry stands still while a key is withdrawn. The operator hears that the
// key works nowhere only when the entry's lease is out; when it wakes up it must
// not take the key.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_waits_for_the_lease_of_a_frozen_entry() {
    let mut fleet = fleet(3, 2).await;
    let secret = fleet.issue("statistics").await;
    let url = format!("http://{}/v1/models", fleet.entries[0].callers);
    let ask = || {
        reqwest::Client::new()
            .get(&url)
            .bearer_auth(secret.reveal())
            .send()
    };
    assert!(ask().await.unwrap().status().is_success());

    fleet.process("entry-1").freeze();
    let withdrawn = group::run(&fleet, &["key", "withdraw", secret.key().as_str()]).await;
    fleet.process("entry-1").thaw();

    assert!(withdrawn.status.success(), "{withdrawn:?}");
    let status = ask().await.unwrap().status();
    assert!(!status.is_success(), "{status}");
    wait::until("the entry knows that the key is gone", async || {
        ask()
            .await
            .is_ok_and(|answer| answer.status() == reqwest::StatusCode::UNAUTHORIZED)
    })
    .await;
}

// The fleet's secret leaked. Operators change it while all processes run and an
// entry serves; whoever holds the old one gets nothing afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_secret_is_changed_while_all_run() {
    let fleet = fleet(3, 1).await;
    let old = fleet::FLEET_SECRET;
    let new = "the-next-fleet-secret-of-the-tests";

    for (round, text) in [
        format!("{old}\n{new}\n"),
        format!("{new}\n{old}\n"),
        new.to_owned(),
    ]
    .iter()
    .enumerate()
    {
        write_fleet_secret(&fleet, text);
        for (name, process) in &fleet.processes {
            // An entry shows the first secret only; the others are nothing to it.
            let entry = name.starts_with("entry");
            let wanted = if entry { round.min(1) } else { round + 1 };
            wait::until("all take the changed secrets", async || {
                taken(&process.log()) >= wanted
            })
            .await;
        }
    }

    fleet.issue("statistics").await;
    fleet.serving().await;
    let role = credential::Role::Fleet;
    let leaked = credential::Secret::new(old.as_bytes()).unwrap();
    for control in &fleet.controls {
        let refused = client::Client::connect(control.peers, role, &leaked).await;
        assert!(
            refused.is_err(),
            "the old secret still opens {}",
            control.peers
        );
    }
}

fn write_fleet_secret(fleet: &fleet::Fleet, text: &str) {
    // Written aside and renamed, so that no process reads half of it.
    let aside = fleet.folder().join("fleet.secret.new");
    fs::write(&aside, text).unwrap();
    fs::set_permissions(&aside, fs::Permissions::from_mode(0o600)).unwrap();
    fs::rename(&aside, fleet.folder().join("fleet.secret")).unwrap();
}

/// Times that a process took changed secrets.
fn taken(log: &str) -> usize {
    log.matches("takes changed secrets").count()
}

// An operator drains an entry. Callers that ask for addresses must not be sent
// to it any more, although its process runs on.
#[tokio::test(flavor = "multi_thread")]
async fn drained_entry_leaves_the_address_list() {
    let fleet = fleet(1, 2).await;
    let gone = fleet.entries[0].callers.to_string();

    let drained = group::run(&fleet, &["drain", "entry-1", "--why", "repair"]).await;

    assert!(drained.status.success(), "{drained:?}");
    let url = format!("http://{}/v1/addresses", fleet.entries[1].callers);
    wait::until("the address is gone", async || {
        let answer = reqwest::get(&url).await.unwrap().text().await.unwrap();
        !answer.contains(&gone)
    })
    .await;
}

// An operator evacuates a failure domain on the command line, and mistypes one. The mistyped one
// must not look as if it were evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn domain_is_evacuated_listed_and_returned() {
    let fleet = fleet(1, 0).await;
    let start = ["evacuation", "start", "oslo-1", "--why", "power works"];

    let started = group::run(&fleet, &start).await;
    let again = group::run(&fleet, &start).await;
    let listed = group::run(&fleet, &["evacuation", "list"]).await;
    let unknown = group::run(&fleet, &["evacuation", "start", "oslo-9"]).await;
    let finished = group::run(&fleet, &["evacuation", "finish", "oslo-1"]).await;
    let never = group::run(&fleet, &["evacuation", "finish", "oslo-1"]).await;
    let empty = group::run(&fleet, &["evacuation", "list"]).await;

    let said = String::from_utf8(unknown.stderr).unwrap();
    assert!(started.status.success(), "{started:?}");
    assert!(group::text(&started).starts_with("oslo-1 is evacuated since revision "));
    assert!(group::text(&again).starts_with("oslo-1 was evacuated before"));
    assert_eq!(group::text(&listed).trim(), "oslo-1");
    assert_eq!(unknown.status.code(), Some(1));
    assert!(said.contains("no failure domain is named oslo-9"), "{said}");
    assert!(group::text(&finished).starts_with("oslo-1 gets requests again since "));
    assert!(group::text(&never).starts_with("oslo-1 was not evacuated"));
    assert_eq!(group::text(&empty).trim(), "");
}

// Operators restart the leader's process as planned. It hands over first, so
// that nobody waits for an election.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_the_leader_hands_over_and_exits_0() {
    let mut fleet = fleet(3, 0).await;
    let (name, _) = group::leader(&fleet).await;

    fleet.process(&name).terminate();
    let status = fleet.process(&name).ended().await;
    let (successor, _) = group::leader(&fleet).await;

    assert_eq!(status.code(), Some(0));
    assert_ne!(successor, name);
    assert!(
        fleet
            .process(&name)
            .log()
            .contains("handed leadership over")
    );
}

// A control process is cut off from the others, silently, and an entry goes on
// following it over a healthy connection. A key that is withdrawn meanwhile must
// not work there once the operator heard so, and the entry must find its way to
// the others.
#[tokio::test(flavor = "multi_thread")]
async fn entry_that_follows_a_lost_control_does_not_take_a_withdrawn_key() {
    let shape = fleet::Shape::builder()
        .controls(3)
        .entries(1)
        .engines(0)
        .services(0);
    let mut fleet = fleet::Fleet::start(shape.proxied(true).build()).await;
    let secret = fleet.issue("statistics").await;
    let followed = follow_a_follower(&mut fleet).await;
    let url = format!("http://{}/v1/models", fleet.entries[0].callers);
    let ask = || {
        reqwest::Client::new()
            .get(&url)
            .bearer_auth(secret.reveal())
            .send()
    };

    for ((from, to), proxy) in &fleet.proxies {
        let between_controls =
            from.starts_with("control") && (*from == followed || *to == followed);
        if between_controls {
            proxy.blackhole(proxy::Direction::Both);
        }
    }
    let withdrawn = group::run(&fleet, &["key", "withdraw", secret.key().as_str()]).await;
    let status = ask().await.unwrap().status();

    assert!(withdrawn.status.success(), "{withdrawn:?}");
    assert!(!status.is_success(), "{status}");
    wait::until("the entry serves again and knows it", async || {
        ask()
            .await
            .is_ok_and(|answer| answer.status() == reqwest::StatusCode::UNAUTHORIZED)
    })
    .await;
}

/// Restarts the entry until it follows a control process that does not lead.
async fn follow_a_follower(fleet: &mut fleet::Fleet) -> String {
    let (leader, _) = group::leader(fleet).await;
    loop {
        fleet.serving().await;
        let log = fleet.process("entry-1").log();
        let followed = log
            .lines()
            .rev()
            .find_map(|line| line.split_once("view: follows "));
        let followed = followed
            .unwrap()
            .1
            .split_whitespace()
            .next()
            .unwrap()
            .to_owned();
        if followed != leader {
            return followed;
        }
        fleet.process("entry-1").restart();
    }
}
