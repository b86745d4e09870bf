//! Attacks by clients without the secret and by intermediaries between the two ends.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cranberrygap_link::{client, credential, handshake, server, session};
use cranberrygap_model::address;
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client;
use serde_json::value::RawValue;

struct Fixture {
    listener: server::Handle,
    calls: Arc<AtomicU64>,
}

struct RawClient {
    rpc: ws_client::WsClient,
    keys: session::Keys,
}

fn secret() -> credential::Secret {
    credential::Secret::new(b"fleet-0123456789abcdef").unwrap()
}

async fn fixture() -> Fixture {
    let role = credential::Role::Fleet;
    let calls = Arc::new(AtomicU64::new(0));
    let call_count = Arc::clone(&calls);
    let address: address::Socket = "127.0.0.1:0".parse().unwrap();
    let listener = server::Builder::new()
        .secrets(role, vec![secret()])
        .method("touch", role, move |(): ()| {
            let count = call_count.fetch_add(1, Ordering::SeqCst);
            async move { Ok(count) }
        })
        .start(address)
        .await
        .unwrap();
    Fixture { listener, calls }
}

async fn connect(fixture: &Fixture) -> ws_client::WsClient {
    let url = format!("ws://{}", fixture.listener.address());
    ws_client::WsClientBuilder::new().build(url).await.unwrap()
}

async fn send_hello(rpc: &ws_client::WsClient, client: handshake::Nonce) -> handshake::Transcript {
    let role = credential::Role::Fleet;
    let nonce = client.to_hex();
    let hello = handshake::Hello {
        role,
        nonce,
        compression: false,
    };
    let challenge: handshake::Challenge =
        rpc.request("link_hello", rpc_params![hello]).await.unwrap();
    let server = handshake::Nonce::from_hex(&challenge.nonce).unwrap();
    handshake::Transcript {
        role,
        client,
        server,
    }
}

async fn connect_authenticated(fixture: &Fixture) -> RawClient {
    let rpc = connect(fixture).await;
    let transcript = send_hello(&rpc, handshake::Nonce::generate().unwrap()).await;
    let proof = transcript.client_proof(&secret());
    let answer: handshake::Proof = rpc.request("link_prove", rpc_params![proof]).await.unwrap();
    assert!(transcript.is_server_proof(&secret(), &answer));
    let keys = transcript.session_keys(&secret());
    RawClient { rpc, keys }
}

fn touch_call() -> Box<RawValue> {
    RawValue::from_string(r#"{"method":"touch","params":null}"#.to_owned()).unwrap()
}

async fn send(rpc: &ws_client::WsClient, envelope: &session::Envelope) -> bool {
    let answer = rpc.request::<session::Envelope, _>("link_call", rpc_params![envelope]);
    answer.await.is_ok()
}

#[tokio::test]
async fn call_before_the_handshake_runs_nothing() {
    let fixture = fixture().await;
    let authenticated = connect_authenticated(&fixture).await;
    let envelope = authenticated
        .keys
        .seal(session::Purpose::Call, 0, 0, touch_call());
    let unauthenticated = connect(&fixture).await;

    let accepted = send(&unauthenticated, &envelope).await;

    assert!(!accepted);
    assert_eq!(fixture.calls.load(Ordering::SeqCst), 0);
}

// An attacker records a handshake and replays its proof with the same client nonce on
// another connection.
#[tokio::test]
async fn replayed_proof_is_refused() {
    let fixture = fixture().await;
    let first = connect(&fixture).await;
    let nonce = handshake::Nonce::generate().unwrap();
    let recorded = send_hello(&first, nonce).await.client_proof(&secret());
    let accepted = first.request::<handshake::Proof, _>("link_prove", rpc_params![&recorded]);
    assert!(accepted.await.is_ok(), "the recorded proof was good");

    let second = connect(&fixture).await;
    send_hello(&second, nonce).await;
    let replayed = second.request::<handshake::Proof, _>("link_prove", rpc_params![&recorded]);

    replayed.await.unwrap_err();
}

// A challenge that could be answered repeatedly would let an attacker try one guess
// after another on one connection.
#[tokio::test]
async fn challenge_can_be_answered_once_only() {
    let fixture = fixture().await;
    let rpc = connect(&fixture).await;
    let transcript = send_hello(&rpc, handshake::Nonce::generate().unwrap()).await;
    let wrong_secret = credential::Secret::new(b"guess-0123456789abcdef").unwrap();
    let guess = transcript.client_proof(&wrong_secret);
    let first = rpc.request::<handshake::Proof, _>("link_prove", rpc_params![guess]);
    first.await.unwrap_err();

    let correct = transcript.client_proof(&secret());
    let second = rpc.request::<handshake::Proof, _>("link_prove", rpc_params![correct]);

    second.await.unwrap_err();
}

// An intermediary alters a call. The call must not run, and the connection must be
// closed.
#[tokio::test]
async fn altered_call_runs_nothing_and_ends_the_connection() {
    let fixture = fixture().await;
    let raw = connect_authenticated(&fixture).await;
    let mut envelope = raw.keys.seal(session::Purpose::Call, 0, 0, touch_call());
    envelope.counter = 1;

    let accepted = send(&raw.rpc, &envelope).await;

    assert!(!accepted);
    assert_eq!(fixture.calls.load(Ordering::SeqCst), 0);
    raw.rpc.on_disconnect().await;
}

// An intermediary replays a valid call. If it ran again, a change would be made twice.
#[tokio::test]
async fn repeated_call_runs_once() {
    let fixture = fixture().await;
    let raw = connect_authenticated(&fixture).await;
    let envelope = raw.keys.seal(session::Purpose::Call, 0, 0, touch_call());

    let first = send(&raw.rpc, &envelope).await;
    let second = send(&raw.rpc, &envelope).await;

    assert!(first);
    assert!(!second);
    assert_eq!(fixture.calls.load(Ordering::SeqCst), 1);
}

// A response reflected to the server must not be accepted as a call.
#[tokio::test]
async fn seal_of_an_answer_does_not_open_a_call() {
    let fixture = fixture().await;
    let raw = connect_authenticated(&fixture).await;
    let envelope = raw
        .keys
        .seal(session::Purpose::Response, 0, 0, touch_call());

    let accepted = send(&raw.rpc, &envelope).await;

    assert!(!accepted);
    assert_eq!(fixture.calls.load(Ordering::SeqCst), 0);
}

#[test]
fn counters_may_come_out_of_order_but_once_each() {
    let mut window = session::Window::default();

    let accepted: Vec<bool> = [2, 0, 2, 1, 0, 3]
        .map(|counter| window.accept(counter))
        .into();

    assert_eq!(accepted, [true, true, false, true, false, true]);
}

// Clients that open connections and never authenticate must not keep the processes of
// the fleet from connecting.
#[tokio::test]
async fn silent_strangers_do_not_keep_the_fleet_out() {
    let role = credential::Role::Fleet;
    let builder = server::Builder::new().secrets(role, vec![secret()]);
    let address: address::Socket = "127.0.0.1:0".parse().unwrap();
    let listener = builder.max_connections(8).start(address).await.unwrap();
    let mut idle_sockets = Vec::new();
    for _ in 0..30 {
        idle_sockets.push(
            tokio::net::TcpStream::connect(listener.address().0)
                .await
                .unwrap(),
        );
    }

    let first = client::Client::connect(listener.address(), role, &secret()).await;
    let second = client::Client::connect(listener.address(), role, &secret()).await;

    assert!(first.is_ok() && second.is_ok(), "{first:?} {second:?}");
    assert!(listener.connections() <= 8);
}
