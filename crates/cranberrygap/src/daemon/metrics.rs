//! Metrics as StatsD datagrams.

use std::net::UdpSocket;
use std::sync::Arc;

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use cranberrygap_wire::settings;
use eyre::WrapErr;

/// Gauge of a control process: 1 while it leads, else 0.
pub const LEADS: &str = "leads";

/// Any free local port; datagrams only go out.
const ANY_PORT: &str = "0.0.0.0:0";
const ANY_PORT_V6: &str = "[::]:0";

/// Metrics that may wait for the sending thread; more are dropped.
const QUEUE_LENGTH: usize = 4096;

/// A client that prefixes each metric's name; it drops all when no receiver is set.
///
/// # Errors
///
/// When no UDP socket can be opened.
pub fn client(wanted: &settings::Metrics, prefix: &str) -> eyre::Result<Arc<StatsdClient>> {
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
    Ok(Arc::new(StatsdClient::from_sink(prefix, queue)))
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
