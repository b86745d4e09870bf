//! Sends calls to plain services and reads their responses.

use std::time::Duration;

use bytes::Bytes;
use cranberrygap_model::address;
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_response::defect::Defect;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use tokio::time;

use crate::gateway::endpoint_connection::{self, Connection, Received};
use crate::gateway::pool;

/// Largest response of a call, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Which connection carries a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reuse {
    /// An idle one, if there is any.
    Allowed,
    /// A new one. An idle connection may be dead without an error, and the outcome of a booking
    /// sent over it would be unknown.
    Forbidden,
}

/// Why a call got no whole response.
#[derive(Debug)]
pub(super) enum Error {
    /// None arrived, or not all of it.
    Failed(Evidence),
    /// One arrived whose head cannot be trusted.
    Malformed(Defect),
}

/// Sends a call and reads its whole response, within `time_limit`.
pub(super) async fn run(
    connections: &pool::Pool,
    address: address::Socket,
    request: &Request<Full<Bytes>>,
    reuse: Reuse,
    time_limit: Duration,
) -> Result<Response<Bytes>, Error> {
    let deadline = time::Instant::now() + time_limit;
    let sending = send(connections, address, request, reuse);
    let sent = time::timeout_at(deadline, sending).await;
    let sent = sent.unwrap_or(Err(Error::Failed(Evidence::DeadlinePassed)));
    let (connection, received) = sent?;
    let reading = read(connections, connection, received);
    let whole = time::timeout_at(deadline, reading).await;
    let whole = whole.ok().flatten();
    whole.ok_or(Error::Failed(Evidence::CutAnswer))
}

/// Sends a call and waits for the head of its response.
async fn send(
    connections: &pool::Pool,
    address: address::Socket,
    request: &Request<Full<Bytes>>,
    reuse: Reuse,
) -> Result<(Connection, Received), Error> {
    let opened = match reuse {
        Reuse::Allowed => connections.take(address, false).await,
        Reuse::Forbidden => connections.open(address).await,
    };
    let mut connection = opened.map_err(|_refused| Error::Failed(Evidence::ConnectFailed))?;
    loop {
        let is_stuck = connection.is_reused() && !connection.is_ready().await;
        let sent = if is_stuck {
            Err(endpoint_connection::Error::NotSent)
        } else {
            connection.send(request.clone()).await
        };
        match sent {
            Ok(received) => return Ok((connection, received)),
            // The endpoint closed an idle connection; nothing of the request arrived.
            Err(endpoint_connection::Error::NotSent) if connection.is_reused() => {
                let opened = connections.open(address).await;
                connection = opened.map_err(|_refused| Error::Failed(Evidence::ConnectFailed))?;
            }
            Err(endpoint_connection::Error::NotSent) => {
                return Err(Error::Failed(Evidence::ConnectFailed));
            }
            Err(endpoint_connection::Error::Unknown) => {
                return Err(Error::Failed(Evidence::ConnectionBroke));
            }
            Err(endpoint_connection::Error::Malformed(defect)) => {
                return Err(Error::Malformed(defect));
            }
        }
    }
}

/// Reads the body of a response; `None` if it is not whole or too large.
async fn read(
    connections: &pool::Pool,
    mut connection: Connection,
    received: Received,
) -> Option<Response<Bytes>> {
    let Received { response, framing } = received;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.ok()?.to_bytes();
    if !framing.is_whole(&body) || !connection.has_ended_response().await {
        return None;
    }
    if framing.keeps_connection() {
        connections.put(connection);
    }
    Some(Response::from_parts(head, body))
}
