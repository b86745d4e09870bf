//! Metrics sent as datagrams.

use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted as _;
use cranberrygap::daemon::metrics;
use cranberrygap_model::address;
use cranberrygap_wire::settings;
use tokio::time;

// Metrics are sent by the packet. The last ones before a quiet time would wait for the next
// request, and an operator would not see what happened last.
#[tokio::test(flavor = "multi_thread")]
async fn last_metrics_of_a_process_that_falls_idle_arrive() {
    const PATIENCE: Duration = Duration::from_secs(20);
    const POLL: Duration = Duration::from_millis(20);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_nonblocking(true).expect("a socket");
    let wanted = settings::Metrics {
        listen: None,
        statsd: Some(address::Socket(socket.local_addr().expect("an address"))),
    };
    let client = metrics::client(&wanted, "test").expect("a client");

    client.count("requests", 1).expect("queued");

    let mut part = [0; 512];
    let arrives = async {
        loop {
            if let Ok(length) = socket.recv(&mut part) {
                return length;
            }
            time::sleep(POLL).await;
        }
    };
    let length = time::timeout(PATIENCE, arrives).await;
    let length = length.expect("the metric arrives");
    assert!(part[..length].starts_with(b"test.requests:1|c"));
}
