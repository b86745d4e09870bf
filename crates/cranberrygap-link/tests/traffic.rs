//! Bytes that links carry, by kind and failure domain.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::sync::Arc;

use cranberrygap_link::{client, credential, server, traffic};
use cranberrygap_model::{address, duration};
use cranberrygap_wire::method;
use futures_util::StreamExt as _;
use futures_util::stream;
use traffic::{Direction, Kind, Place};

const DEADLINE: duration::Span = duration::Span::from_secs(20);
const ROLE: credential::Role = credential::Role::Fleet;

fn meter(domain: &str) -> Arc<traffic::Meter> {
    Arc::new(traffic::Meter::new(domain.parse().unwrap()))
}

fn secret() -> credential::Secret {
    credential::Secret::new(b"fleet-0123456789abcdef").unwrap()
}

async fn listener(meter: &Arc<traffic::Meter>) -> server::Handle {
    let address: address::Socket = "127.0.0.1:0".parse().unwrap();
    server::Builder::new()
        .secrets(ROLE, vec![secret()])
        .traffic(Arc::clone(meter))
        .method(
            method::SHARE_RENEW,
            ROLE,
            |text: String| async move { Ok(text) },
        )
        .subscription(method::VIEW_SUBSCRIBE, ROLE, |count: u64| async move {
            Ok(stream::iter(0..count).boxed())
        })
        .start(address)
        .await
        .unwrap()
}

fn bytes(meter: &traffic::Meter, kind: Kind, direction: Direction, place: Place) -> u64 {
    let totals = meter.totals();
    let found = totals
        .iter()
        .find(|total| (total.kind, total.direction, total.place) == (kind, direction, place));
    found.map_or(0, |total| total.bytes)
}

// If one end took a peer of another domain for a near one, or counted a stream as a call, the
// largest kind that crosses a border would be looked for at the wrong place.
#[tokio::test]
async fn both_ends_count_the_same_bytes_across_domains() {
    let (near, far) = (meter("rack-1"), meter("rack-2"));
    let listener = listener(&near).await;
    let client = client::Client::connect_metered(listener.address(), ROLE, &secret(), &far)
        .await
        .unwrap();

    let sent = "x".repeat(300);
    let answer: String = client
        .call(method::SHARE_RENEW, &sent, DEADLINE)
        .await
        .unwrap();
    let frames = client.subscribe::<_, u64>(method::VIEW_SUBSCRIBE, &5_u64);
    let mut frames = frames.await.unwrap();
    while frames.next().await.is_some() {}

    assert_eq!(answer, sent);
    for (kind, least) in [(Kind::Shares, 300), (Kind::Views, 100)] {
        let to_server = bytes(&far, kind, Direction::Sent, Place::OtherDomain);
        let to_client = bytes(&far, kind, Direction::Received, Place::OtherDomain);
        assert!(to_server >= least && to_client >= least, "{kind:?}");
        let received = bytes(&near, kind, Direction::Received, Place::OtherDomain);
        let answered = bytes(&near, kind, Direction::Sent, Place::OtherDomain);
        assert_eq!((received, answered), (to_server, to_client), "{kind:?}");
    }
}

// Peers of older software do not say where they are. They must neither be refused nor counted as
// peers of the same domain.
#[tokio::test]
async fn a_peer_that_does_not_say_where_it_is_is_served() {
    let own = meter("rack-1");
    let listener = listener(&own).await;
    let client = client::Client::connect(listener.address(), ROLE, &secret())
        .await
        .unwrap();

    let called = client.call::<_, String>(method::SHARE_RENEW, &"text", DEADLINE);

    assert_eq!(called.await.unwrap(), "text");
    assert!(bytes(&own, Kind::Shares, Direction::Received, Place::Unknown) > 0);
    assert_eq!(own.totals().len(), 2);
}

// A metric that is a sum would grow by the same bytes again with each interval.
#[test]
fn changes_are_taken_once() {
    let own = meter("rack-1");
    own.record(Kind::Loans, Direction::Sent, Place::OtherDomain, 40);

    let first = own.take_changes();
    own.record(Kind::Loans, Direction::Sent, Place::OtherDomain, 2);
    let second = own.take_changes();

    let sums: [u64; 2] =
        [first, second].map(|changes| changes.iter().map(|total| total.bytes).sum());
    assert_eq!(sums, [40, 2]);
    assert!(own.take_changes().is_empty());
    assert_eq!(own.summary(), "loans sent 42");
}
