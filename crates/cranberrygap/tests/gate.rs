//! Connections beyond what a listener can answer in time.

use std::net::SocketAddr;
use std::time::Duration;

use cranberrygap::daemon::{gate, http};
use cranberrygap_standin::loopback;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const PREFIX: &str = "POST /beat/";

async fn send(address: SocketAddr, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let call = format!("{head} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(call.as_bytes()).await.expect("sent");
    stream
}

async fn status(mut stream: TcpStream) -> String {
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    String::from_utf8_lossy(&answer[9..]).into_owned()
}

// All at once: 3,000 endpoints opened 700 connections a second at each control process, which
// answered none of them in time, and the first configuration was never accepted.
#[tokio::test]
async fn calls_beyond_the_bound_are_refused_and_others_are_served() {
    let address = loopback::unique().0;
    http::serve_bounded(address, gate::Gate::new(PREFIX, 1), async |call| {
        if call.path == "/beat/slow" {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        http::empty(::http::StatusCode::OK)
    })
    .expect("a listener");
    let slow = send(address, "POST /beat/slow").await;
    tokio::time::sleep(Duration::from_millis(100)).await;

    assert_eq!(status(send(address, "POST /beat/next").await).await, "503");
    assert_eq!(status(send(address, "POST /config").await).await, "200");
    assert_eq!(status(slow).await, "200");
    assert_eq!(status(send(address, "POST /beat/next").await).await, "200");
}

// A head may arrive in pieces; a decision by its first piece would let everything pass.
#[test]
fn decision_waits_for_the_whole_prefix() {
    let gate = gate::Gate::new(PREFIX, 0);
    let decide = |head: &str| gate.decide(head.as_bytes());
    assert!(matches!(decide("POST /b"), gate::Decision::Undecided));
    assert!(matches!(decide("GET"), gate::Decision::Unbounded));
    assert!(matches!(decide("POST /beat/i-1"), gate::Decision::Refused));
}
