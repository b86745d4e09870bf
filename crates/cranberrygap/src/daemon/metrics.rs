//! Metrics as StatsD datagrams.

use std::net::UdpSocket;
use std::sync::Arc;

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use cranberrygap_wire::settings;
use eyre::WrapErr;

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
