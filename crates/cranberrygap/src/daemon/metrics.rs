//! Metrics as StatsD datagrams, or served as text.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Weak};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use cranberrygap_wire::settings;
use eyre::WrapErr;
use http::StatusCode;
use tokio::time;

use super::{http as listener, scrape};

/// Any free local port; datagrams only go out.
const ANY_PORT: &str = "0.0.0.0:0";
const ANY_PORT_V6: &str = "[::]:0";

/// Metrics that may wait for the sending thread; more are dropped.
const QUEUE_LENGTH: usize = 4096;

/// Longest time for which a metric waits for others.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Path at which metrics are served.
const PATH: &str = "/metrics";

/// A client that prefixes each metric's name; it drops all when no receiver is set.
///
/// Where an address to serve them at is set, metrics are kept and served there, by the
/// product's name and without the instance's: whoever reads them knows whom they ask.
///
/// # Errors
///
/// When no UDP socket can be opened.
pub fn client(wanted: &settings::Metrics, prefix: &str) -> eyre::Result<Arc<StatsdClient>> {
    if let Some(listen) = wanted.listen {
        return serve(listen.0, prefix);
    }
    let Some(receiver) = wanted.statsd else {
        return Ok(Arc::new(StatsdClient::from_sink(prefix, NopMetricSink)));
    };
    let local = if receiver.0.is_ipv4() {
        ANY_PORT
    } else {
        ANY_PORT_V6
    };
    let socket = UdpSocket::bind(local).wrap_err("cannot open a socket for metrics")?;
    socket.set_nonblocking(true)?;
    let datagrams = BufferedUdpMetricSink::from(receiver.0, socket)?;
    let queue = QueuingMetricSink::with_capacity(datagrams, QUEUE_LENGTH);
    let client = Arc::new(StatsdClient::from_sink(prefix, queue));
    tokio::spawn(flush_regularly(Arc::downgrade(&client)));
    Ok(client)
}

/// Sends what is buffered, until the client is dropped. A datagram is only sent when it is full
/// otherwise.
async fn flush_regularly(client: Weak<StatsdClient>) {
    while let Some(client) = client.upgrade() {
        if let Err(cause) = client.flush() {
            spdlog::debug!("metrics: flushing failed: {cause}");
        }
        drop(client);
        time::sleep(FLUSH_INTERVAL).await;
    }
}

/// Keeps metrics and serves them.
fn serve(address: SocketAddr, prefix: &str) -> eyre::Result<Arc<StatsdClient>> {
    let registry = scrape::Registry::default();
    let shown = registry.clone();
    let listening = listener::serve(address, move |call| {
        let found = call.path == PATH;
        std::future::ready(if found {
            listener::text(shown.text())
        } else {
            listener::empty(StatusCode::NOT_FOUND)
        })
    });
    listening.wrap_err("[metrics] listen")?;
    let program = prefix
        .rsplit_once('.')
        .map_or(prefix, |(program, _)| program);
    Ok(Arc::new(StatsdClient::from_sink(program, registry)))
}

/// Sends what is collected, though its datagram is not full.
///
/// Datagrams are filled before they go out. On a quiet process a metric would
/// otherwise wait for the next ones, and an operator would see a leader minutes
/// late.
pub fn flush(client: &StatsdClient) {
    // A metric that cannot be sent is lost.
    let _lost = client.flush();
}
