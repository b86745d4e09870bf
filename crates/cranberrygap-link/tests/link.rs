//! Calls and streams between a client and a server.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cranberrygap_link::error::Error;
use cranberrygap_link::{client, compression, credential, server};
use cranberrygap_model::{address, duration};
use futures_util::StreamExt as _;
use futures_util::stream;

const DEADLINE: duration::Span = duration::Span::from_secs(20);

fn secret(name: &str) -> credential::Secret {
    credential::Secret::new(format!("{name}-0123456789abcdef").as_bytes()).unwrap()
}

fn loopback() -> address::Socket {
    "127.0.0.1:0".parse().unwrap()
}

async fn listener() -> server::Handle {
    let fleet = credential::Role::Fleet;
    server::Builder::new()
        .secrets(fleet, vec![secret("fleet")])
        .secrets(credential::Role::Operator, vec![secret("operator")])
        .method("double", fleet, |number: u64| async move { Ok(number * 2) })
        .method("refuse", fleet, |(): ()| async {
            Err::<(), _>(server::Fault::new(-7, "no").with_data(serde_json::json!("why")))
        })
        .method("silent", fleet, |(): ()| {
            std::future::pending::<Result<(), _>>()
        })
        .method("operate", credential::Role::Operator, |(): ()| async {
            Ok(())
        })
        .subscription("count", fleet, |until: u64| async move {
            Ok(stream::iter(0..until).boxed())
        })
        .start(loopback())
        .await
        .unwrap()
}

async fn connect(listener: &server::Handle, name: &str) -> Result<client::Client, Error> {
    let role = credential::Role::Fleet;
    client::Client::connect(listener.address(), role, &secret(name)).await
}

#[tokio::test]
async fn call_is_answered() {
    let listener = listener().await;
    let client = connect(&listener, "fleet").await.unwrap();

    let answer: u64 = client.call("double", &21_u64, DEADLINE).await.unwrap();

    assert_eq!(answer, 42);
}

#[tokio::test]
async fn fault_reaches_the_caller_whole() {
    let listener = listener().await;
    let client = connect(&listener, "fleet").await.unwrap();

    let error = client.call::<_, ()>("refuse", &(), DEADLINE).await;

    let expected = Error::Refused {
        code: -7,
        message: "no".into(),
        data: "why".into(),
    };
    assert_eq!(error, Err(expected));
}

#[tokio::test]
async fn stream_brings_every_frame_and_then_ends() {
    let listener = listener().await;
    let client = connect(&listener, "fleet").await.unwrap();

    let mut frames = client.subscribe::<_, u64>("count", &3_u64).await.unwrap();

    assert_eq!(frames.next().await, Some(Ok(0)));
    assert_eq!(frames.next().await, Some(Ok(1)));
    assert_eq!(frames.next().await, Some(Ok(2)));
    assert_eq!(frames.next().await, None);
}

// A client with the fleet's secret must not be able to call operators' methods.
#[tokio::test]
async fn method_of_another_role_is_not_found() {
    let listener = listener().await;
    let client = connect(&listener, "fleet").await.unwrap();

    let error = client.call::<_, ()>("operate", &(), DEADLINE).await;

    assert!(matches!(error, Err(Error::Refused { .. })));
}

// The server receives the call and never responds. The error must not say that the
// call was not sent.
#[tokio::test]
async fn call_without_answer_is_of_unknown_effect() {
    let listener = listener().await;
    let client = connect(&listener, "fleet").await.unwrap();

    let short_deadline = duration::Span::from_millis(50);
    let error = client
        .call::<_, ()>("silent", &(), short_deadline)
        .await
        .unwrap_err();

    assert_eq!(error, Error::TimedOut);
    assert!(!error.not_sent());
}

// The server stops while a call runs.
#[tokio::test]
async fn call_on_a_connection_that_ends_is_of_unknown_effect() {
    let listener = listener().await;
    let client = connect(&listener, "fleet").await.unwrap();

    let call = client.call::<_, ()>("silent", &(), DEADLINE);
    let stop = async {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        drop(listener);
    };
    let (error, ()) = tokio::join!(call, stop);

    assert!(matches!(error, Err(Error::Closed | Error::TimedOut)));
}

#[tokio::test]
async fn call_after_the_end_is_known_not_to_have_been_sent() {
    let listener = listener().await;
    let client = connect(&listener, "fleet").await.unwrap();
    drop(listener);
    client.closed().await;

    let error = client.call::<_, u64>("double", &1_u64, DEADLINE).await;

    assert!(error.unwrap_err().not_sent());
}

#[tokio::test]
async fn nobody_listens_there() {
    let listener = listener().await;
    let address = listener.address();
    drop(listener);
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;

    let role = credential::Role::Fleet;
    let error = client::Client::connect(address, role, &secret("fleet")).await;

    assert!(matches!(error, Err(Error::Unreachable { .. })));
}

#[tokio::test]
async fn wrong_secret_is_refused() {
    let listener = listener().await;

    let error = connect(&listener, "other").await.unwrap_err();

    assert_eq!(error, Error::NotAuthentic);
}

// Operators rotate the fleet's secret while all processes run: listeners first accept
// both, clients change to the new one, then the old one is removed. Only connections
// that authenticated with the old secret must be closed.
#[tokio::test]
async fn secret_is_changed_while_connected() {
    let listener = listener().await;
    let role = credential::Role::Fleet;
    let old = connect(&listener, "fleet").await.unwrap();

    listener.replace_secrets(role, vec![secret("fleet"), secret("next")]);
    let new = connect(&listener, "next").await.unwrap();
    let old_result: u64 = old.call("double", &1_u64, DEADLINE).await.unwrap();
    listener.replace_secrets(role, vec![secret("next")]);
    old.closed().await;
    let new_result: u64 = new.call("double", &2_u64, DEADLINE).await.unwrap();
    let refused = connect(&listener, "fleet").await;

    assert_eq!((old_result, new_result), (2, 4));
    assert!(matches!(refused, Err(Error::NotAuthentic)));
}

#[tokio::test]
async fn connections_are_bounded() {
    let role = credential::Role::Fleet;
    let builder = server::Builder::new().secrets(role, vec![secret("fleet")]);
    let listener = builder.max_connections(1).start(loopback()).await.unwrap();
    let first = connect(&listener, "fleet").await.unwrap();

    let second = connect(&listener, "fleet").await;

    second.unwrap_err();
    assert!(!first.is_closed());
}

// Calls that the meter misses would hide what uses up a process's time.
#[tokio::test]
async fn meter_is_told_of_each_call() {
    let fleet = credential::Role::Fleet;
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let listener = server::Builder::new()
        .secrets(fleet, vec![secret("fleet")])
        .method("double", fleet, |number: u64| async move { Ok(number * 2) })
        .meter(move |method, spent| sender.send((method.to_owned(), spent)).unwrap())
        .start(loopback())
        .await
        .unwrap();
    let client = connect(&listener, "fleet").await.unwrap();

    client
        .call::<_, u64>("double", &21_u64, DEADLINE)
        .await
        .unwrap();

    let (method, spent) = receiver.recv().await.unwrap();
    assert_eq!(method, "double");
    assert!(spent > std::time::Duration::ZERO);
}

/// A text that repeats itself, as a view does.
fn long_text() -> String {
    "{\"endpoint\":\"i-7f3a91c2\",\"health\":\"ready\"},".repeat(4_000)
}

#[tokio::test]
async fn long_messages_arrive_whole() {
    let fleet = credential::Role::Fleet;
    let listener = server::Builder::new()
        .secrets(fleet, vec![secret("fleet")])
        .method("echo", fleet, |text: String| async move { Ok(text) })
        .subscription("repeat", fleet, |text: String| async move {
            Ok(stream::iter([text.clone(), text]).boxed())
        })
        .start(loopback())
        .await
        .unwrap();
    let client = connect(&listener, "fleet").await.unwrap();

    let answer: String = client.call("echo", &long_text(), DEADLINE).await.unwrap();
    let mut frames = client
        .subscribe::<_, String>("repeat", &long_text())
        .await
        .unwrap();
    let frame = frames.next().await.unwrap().unwrap();

    assert!(client.compresses());
    assert_eq!(answer, long_text());
    assert_eq!(frame, long_text());
}

#[test]
fn repetitive_content_shrinks_and_comes_back() {
    let content = long_text();

    let compressed = compression::compress(content.as_bytes()).unwrap();
    let restored = compression::decompress(&compressed).unwrap();

    assert!(
        compressed.len() * 10 < content.len(),
        "{}",
        compressed.len()
    );
    assert_eq!(restored, content.as_bytes());
}

#[test]
fn short_content_is_left_alone() {
    assert_eq!(compression::compress(b"{\"revision\":17}"), None);
}

// Damaged content must cost neither the process nor its memory.
#[test]
fn damaged_content_is_an_error() {
    let mut compressed = compression::compress(long_text().as_bytes()).unwrap();
    let middle = compressed.len() / 2;
    compressed.truncate(middle);

    compression::decompress(&compressed).unwrap_err();
    compression::decompress(b"not compressed").unwrap_err();
}
