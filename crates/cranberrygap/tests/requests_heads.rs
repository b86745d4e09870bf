//! Calls of services whose responses have broken heads.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use cranberrygap_model::address;
use serde_json::{Value, json};
use support::{caller, fleet, raw, wait};

const CHUNKED: &str = "5\r\n{\"sea\r\n5\r\nt\":4}\r\n0\r\n\r\n";

async fn serving_fleet() -> (fleet::Fleet, caller::Caller, raw::Service) {
    let (statsd, _socket) = fleet::statsd();
    serving_fleet_with(statsd).await
}

/// A fleet that sends its metrics to `statsd`.
async fn serving_fleet_with(
    statsd: address::Socket,
) -> (fleet::Fleet, caller::Caller, raw::Service) {
    let shape = fleet::Shape::builder()
        .engines(0)
        .services(0)
        .statsd(statsd);
    let fleet = fleet::Fleet::start(shape.build()).await;
    let service = raw::Service::start(&fleet).await;
    let secret = fleet.issue("statistics").await;
    let caller = caller::Caller::new(secret.reveal());
    service.respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    wait::until("the entry reaches the service", async || {
        book(&caller, fleet.entries[0].callers, "probe").await == (200, "ok".to_owned())
    })
    .await;
    (fleet, caller, service)
}

/// The status and body of a booking's answer.
async fn book(caller: &caller::Caller, entry: address::Socket, key: &str) -> (u16, String) {
    let path = format!("/services/{}/seats", raw::SERVICE);
    let answer = caller.book(entry, &path, key, &json!({"row": 7})).await;
    let answer = answer.unwrap();
    (answer.status().as_u16(), answer.text().await.unwrap())
}

/// Lets calls of the service be sent again.
async fn allow_lookups(fleet: &fleet::Fleet) {
    let exception = format!(
        "[exception service {}]\n reason = lookups only read\n idempotent = GET /lookup/*\n",
        raw::SERVICE
    );
    let revision = fleet.apply(&exception).await;
    fleet.in_force(revision).await;
}

/// The status and body of a lookup's answer.
async fn look_up(caller: &caller::Caller, entry: address::Socket) -> (u16, String) {
    let path = format!("/services/{}/lookup/1", raw::SERVICE);
    let answer = caller.get(entry, &path).await.unwrap();
    (answer.status().as_u16(), answer.text().await.unwrap())
}

/// The code of a failure.
fn code(body: &str) -> String {
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or_default().into()
}

/// Asserts that a booking with this answer may have run, as far as its caller is told.
async fn assert_unknown(
    fleet: &fleet::Fleet,
    caller: &caller::Caller,
    service: &raw::Service,
    answer: &str,
) {
    service.respond(answer);
    // The key is the answer's own: a booking with a key that is known is not sent.
    let key = blake3::hash(answer.as_bytes()).to_hex();
    let (_, body) = book(caller, fleet.entries[0].callers, &key).await;
    assert_eq!(code(&body), "booking_unknown", "{answer:?}: {body}");
}

// A transfer coding that is not known leaves the end of the body unknown: callers got the chunks
// with their sizes as the answer to a booking, and got them again each time they asked.
#[tokio::test(flavor = "multi_thread")]
async fn booking_answered_with_an_unknown_transfer_coding_is_unknown() {
    let (fleet, caller, service) = serving_fleet().await;
    let heads = [
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkeq\r\n\r\n",
        "HTTP/1.1 503 Full\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    ];

    for head in heads {
        assert_unknown(&fleet, &caller, &service, &format!("{head}{CHUNKED}")).await;
    }
}

// A head with chunks and a length says two things of the end of the body. A refusal with such a
// head would promise that the booking did not run.
#[tokio::test(flavor = "multi_thread")]
async fn booking_answered_with_chunks_and_a_length_is_unknown() {
    let (fleet, caller, service) = serving_fleet().await;
    let refusal = r#"{"outcome":"not_run"}"#;
    let chunks = format!("{:x}\r\n{refusal}\r\n0\r\n\r\n", refusal.len());
    let fields = "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n";
    let answers = [
        format!("HTTP/1.1 200 OK\r\n{fields}{CHUNKED}"),
        format!("HTTP/1.1 503 Full\r\n{fields}{chunks}"),
    ];

    for answer in answers {
        assert_unknown(&fleet, &caller, &service, &answer).await;
    }
}

// A length that is too small cuts the answer to a booking, and the claim kept what was left of it for
// each later call with its key. A refusal that goes on after its end is not believed either.
#[tokio::test(flavor = "multi_thread")]
async fn booking_answered_with_more_than_its_length_is_unknown() {
    let (fleet, caller, service) = serving_fleet().await;
    let refusal = r#"{"outcome":"not_run"}"#;
    let answers = [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"seat\":4}".to_owned(),
        format!("HTTP/1.1 503 Full\r\nContent-Length: 21\r\n\r\n{refusal}, not"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n{CHUNKED}"),
    ];

    for answer in answers {
        assert_unknown(&fleet, &caller, &service, &answer).await;
    }
}

// The rest of a torn line end became the begin of the answer to a booking.
#[tokio::test(flavor = "multi_thread")]
async fn booking_answered_with_a_torn_line_end_is_unknown() {
    let (fleet, caller, service) = serving_fleet().await;
    let answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\n\nseat 4";

    assert_unknown(&fleet, &caller, &service, answer).await;
}

// A call that may be repeated is sent again, and fails if no answer is whole.
#[tokio::test(flavor = "multi_thread")]
async fn lookup_answered_with_more_than_its_length_fails() {
    let (fleet, caller, service) = serving_fleet().await;
    allow_lookups(&fleet).await;
    service.respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"seat\":4}");

    let (_, body) = look_up(&caller, fleet.entries[0].callers).await;

    assert_eq!(code(&body), "endpoint_failed", "{body}");
}

// An entry that keeps the connection of an answer finds it closed at the next call.
#[tokio::test(flavor = "multi_thread")]
async fn lookups_at_a_service_that_closes_connections_are_answered() {
    let (fleet, caller, service) = serving_fleet().await;
    allow_lookups(&fleet).await;
    service.respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

    for number in 0..50 {
        let answer = look_up(&caller, fleet.entries[0].callers).await;
        assert_eq!(answer, (200, "ok".to_owned()), "lookup {number}");
    }
}

// Operators have to see that responses are refused, and why.
#[tokio::test(flavor = "multi_thread")]
async fn responses_that_are_not_believed_are_counted() {
    let (statsd, socket) = fleet::statsd();
    let (fleet, caller, service) = serving_fleet_with(statsd).await;
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunkeq\r\n\r\n";
    service.respond(&format!("{head}{CHUNKED}"));

    book(&caller, fleet.entries[0].callers, "counted").await;

    let mut metrics = String::new();
    let mut datagram = vec![0; 65_536];
    wait::until("the response is counted", async || {
        while let Ok(size) = socket.recv(&mut datagram) {
            metrics.push_str(&String::from_utf8_lossy(&datagram[..size]));
            metrics.push('\n');
        }
        let mut lines = metrics.lines();
        lines.any(|line| line.contains(".malformed_responses:1|c") && line.contains("coding"))
    })
    .await;
}

/// What services in trouble sent in place of a status, and what resembles it.
const NO_STATUSES: [&str; 13] = [
    "000", "0", "099", "20", "2000", "2x0", "", "-200", "100", "101", "199", "600", "999",
];

fn answer_with(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: 10\r\n\r\n{{\"seat\":4}}")
}

// A status that is none tells nothing of the booking: its caller must get neither the answer nor a
// promise, and the claim must not keep it for the next call with the key.
#[tokio::test(flavor = "multi_thread")]
async fn booking_answered_with_no_status_is_unknown_and_stays_so() {
    let (fleet, caller, service) = serving_fleet().await;

    for (number, status) in NO_STATUSES.into_iter().enumerate() {
        service.respond(&answer_with(status));
        for attempt in ["first", "again"] {
            let key = format!("no-status-{number}");
            let (_, body) = book(&caller, fleet.entries[0].callers, &key).await;
            assert_eq!(
                code(&body),
                "booking_unknown",
                "{status:?}, {attempt}: {body}"
            );
            assert!(!body.contains("seat"), "{status:?}, {attempt}: {body}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lookup_answered_with_no_status_fails() {
    let (fleet, caller, service) = serving_fleet().await;
    allow_lookups(&fleet).await;

    for status in NO_STATUSES {
        service.respond(&answer_with(status));
        let (_, body) = look_up(&caller, fleet.entries[0].callers).await;
        assert_eq!(code(&body), "endpoint_failed", "{status:?}: {body}");
        assert!(!body.contains("\"seat\""), "{status:?}: {body}");
    }
}
