//! Client side of a link: connects, calls methods and subscribes to streams.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cranberrygap_model::{address, duration};
use jsonrpsee::core::client as rpc;
use jsonrpsee::core::client::{ClientT as _, SubscriptionClientT as _};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::compression;
use crate::credential;
use crate::error::Error;
use crate::handshake;
use crate::message;
use crate::session;
use crate::traffic;

/// Timeout for connecting and the handshake together. It allows for a few round trips, also
/// between regions. With a longer one, a hung process would delay callers that look for the
/// leader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for opening a stream, and again for its first frame. A server that hangs, or that
/// is behind the revision the subscriber has seen, would delay a view that must stay less
/// than two seconds old.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);

/// Upper bound that the library puts on any call. The caller's own deadline is shorter.
const MAX_CALL_DURATION: Duration = Duration::from_hours(1);

/// Maximum concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 4_096;

/// Attempts to open a connection; the library counts them as redirections.
const MAX_CONNECT_ATTEMPTS: usize = 1;

/// Frames buffered for a slow reader before its stream ends.
const FRAME_BUFFER_CAPACITY: usize = 1_024;

/// A connection on which both ends are authenticated.
pub struct Client {
    rpc: ws_client::WsClient,
    keys: session::Keys,
    counter: AtomicU64,
    flow: Option<traffic::Flow>,
}

/// A subscription to a stream of frames of type `F`.
pub struct Subscription<F> {
    frames: rpc::Subscription<session::Envelope>,
    keys: session::Keys,
    counter: u64,
    sequence: u64,
    finished: bool,
    flow: Option<traffic::Flow>,
    kind: traffic::Kind,
    frame: PhantomData<fn() -> F>,
}

impl Client {
    /// Connects to `address` and authenticates as `role`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] or [`Error::NotAuthentic`]; no call was sent.
    pub async fn connect(
        address: address::Socket,
        role: credential::Role,
        secret: &credential::Secret,
    ) -> Result<Self, Error> {
        Self::connect_within_timeout(address, role, secret, None).await
    }

    /// Connects as [`Self::connect`] does, and counts what the connection carries with `meter`.
    ///
    /// # Errors
    ///
    /// As [`Self::connect`].
    pub async fn connect_metered(
        address: address::Socket,
        role: credential::Role,
        secret: &credential::Secret,
        meter: &Arc<traffic::Meter>,
    ) -> Result<Self, Error> {
        Self::connect_within_timeout(address, role, secret, Some(meter)).await
    }

    async fn connect_within_timeout(
        address: address::Socket,
        role: credential::Role,
        secret: &credential::Secret,
        meter: Option<&Arc<traffic::Meter>>,
    ) -> Result<Self, Error> {
        let attempt = Self::connect_without_timeout(address, role, secret, meter);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, attempt).await;
        connected.unwrap_or_else(|_elapsed| Err(unreachable(&"connecting timed out")))
    }

    async fn connect_without_timeout(
        address: address::Socket,
        role: credential::Role,
        secret: &credential::Secret,
        meter: Option<&Arc<traffic::Meter>>,
    ) -> Result<Self, Error> {
        let ping = rpc::async_client::PingConfig::new()
            .ping_interval(message::PING_INTERVAL)
            .inactive_limit(message::SILENCE_TIMEOUT);
        let rpc = ws_client::WsClientBuilder::new()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(MAX_CALL_DURATION)
            .max_request_size(message::MAX_MESSAGE_BYTES)
            .max_response_size(message::MAX_MESSAGE_BYTES)
            .max_concurrent_requests(MAX_CONCURRENT_CALLS)
            .max_buffer_capacity_per_subscription(FRAME_BUFFER_CAPACITY)
            .max_redirections(MAX_CONNECT_ATTEMPTS)
            .enable_ws_ping(ping)
            .build(format!("ws://{address}"))
            .await
            .map_err(|cause| unreachable(&cause))?;
        let (keys, place) = authenticate(&rpc, role, secret, meter).await?;
        Ok(Self {
            rpc,
            keys,
            counter: AtomicU64::new(0),
            flow: meter.map(|meter| traffic::Flow::new(Arc::clone(meter), place)),
        })
    }

    /// Calls `method` and waits for the response for at most `deadline`.
    ///
    /// # Errors
    ///
    /// See [`Error`]; [`Error::not_sent`] tells whether the call may have run.
    pub async fn call<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: &'static str,
        params: &P,
        deadline: duration::Span,
    ) -> Result<R, Error> {
        let envelope = self.seal_call(method, params)?;
        let counter = envelope.counter;
        let kind = traffic::Kind::of_method(method);
        if let Some(flow) = &self.flow {
            flow.record_sent(kind, envelope.size());
        }
        let request = self.rpc.request(message::CALL, rpc_params![envelope]);
        let response = tokio::time::timeout(deadline.to_std(), request).await;
        let response: session::Envelope = match response {
            Ok(Ok(response)) => response,
            Ok(Err(rpc::Error::RequestTimeout)) | Err(_) => return Err(Error::TimedOut),
            Ok(Err(_cause)) => return Err(Error::Closed),
        };
        if let Some(flow) = &self.flow {
            flow.record_received(kind, response.size());
        }
        // An intermediary altered the response or returned that of another call. As
        // after a lost response, it is unknown whether the call ran.
        let is_expected = response.counter == counter && response.sequence == 0;
        if !is_expected
            || !self
                .keys
                .is_authentic(session::Purpose::Response, &response)
        {
            return Err(Error::Closed);
        }
        decode(&response)?.ok_or_else(|| malformed(&"the response has no content"))
    }

    /// Opens the stream `method` and waits until the server has accepted it.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn subscribe<P: Serialize + Sync, F: DeserializeOwned>(
        &self,
        method: &'static str,
        params: &P,
    ) -> Result<Subscription<F>, Error> {
        let envelope = self.seal_call(method, params)?;
        let counter = envelope.counter;
        let kind = traffic::Kind::of_method(method);
        if let Some(flow) = &self.flow {
            flow.record_sent(kind, envelope.size());
        }
        let request = self
            .rpc
            .subscribe(message::OPEN, rpc_params![envelope], message::CLOSE);
        let frames = match tokio::time::timeout(OPEN_TIMEOUT, request).await {
            Ok(Ok(frames)) => frames,
            Ok(Err(_cause)) => return Err(Error::Closed),
            Err(_elapsed) => return Err(Error::TimedOut),
        };
        let mut subscription = Subscription {
            frames,
            keys: self.keys.clone(),
            counter,
            sequence: 0,
            finished: false,
            flow: self.flow.clone(),
            kind,
            frame: PhantomData,
        };
        // The first frame is empty; it confirms that the server opened the stream.
        let opened = tokio::time::timeout(OPEN_TIMEOUT, subscription.receive());
        match opened.await {
            Ok(Some(Ok(envelope))) => decode::<()>(&envelope).map(drop)?,
            Ok(Some(Err(error))) => return Err(error),
            Ok(None) => return Err(Error::Closed),
            Err(_elapsed) => return Err(Error::TimedOut),
        }
        Ok(subscription)
    }

    /// Whether the server reads compressed content.
    #[must_use]
    pub const fn compresses(&self) -> bool {
        self.keys.compresses()
    }

    /// Whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        !self.rpc.is_connected()
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        self.rpc.on_disconnect().await;
    }

    fn seal_call<P: Serialize>(
        &self,
        method: &'static str,
        params: &P,
    ) -> Result<session::Envelope, Error> {
        if self.is_closed() {
            return Err(unreachable(&"the connection has ended"));
        }
        let params =
            serde_json::value::to_raw_value(params).map_err(|cause| unreachable(&cause))?;
        let call = message::Call {
            method: method.into(),
            params,
        };
        let body = message::to_raw_json(&call);
        let size = body.get().len() + message::ENVELOPE_OVERHEAD_BYTES;
        let limit = message::MAX_MESSAGE_BYTES as usize;
        if size > limit {
            return Err(Error::TooLarge { size, limit });
        }
        let counter = self.counter.fetch_add(1, Ordering::Relaxed);
        Ok(self.keys.seal(session::Purpose::Call, counter, 0, body))
    }
}

impl<F: DeserializeOwned> Subscription<F> {
    /// Returns the next frame, or `None` after the end of the stream or after an error.
    pub async fn next(&mut self) -> Option<Result<F, Error>> {
        if self.finished {
            return None;
        }
        match self.receive().await {
            Some(Ok(envelope)) => self.decode_frame(&envelope),
            Some(Err(error)) => Some(self.fail(error)),
            None => Some(self.fail(Error::Closed)),
        }
    }

    fn decode_frame(&mut self, envelope: &session::Envelope) -> Option<Result<F, Error>> {
        match decode(envelope) {
            Ok(Some(frame)) => Some(Ok(frame)),
            Ok(None) => {
                self.finished = true;
                None
            }
            Err(error) => Some(self.fail(error)),
        }
    }

    fn fail(&mut self, error: Error) -> Result<F, Error> {
        self.finished = true;
        Err(error)
    }
}

impl<F> Subscription<F> {
    /// Receives the next envelope and verifies its seal and sequence number.
    ///
    /// An altered, missing or repeated envelope is an error that ends the stream, since a
    /// view with a missing change would be wrong.
    async fn receive(&mut self) -> Option<Result<session::Envelope, Error>> {
        let envelope = match self.frames.next().await? {
            Ok(envelope) => envelope,
            Err(cause) => return Some(Err(malformed(&cause))),
        };
        if let Some(flow) = &self.flow {
            flow.record_received(self.kind, envelope.size());
        }
        let is_expected = envelope.counter == self.counter && envelope.sequence == self.sequence;
        if !is_expected || !self.keys.is_authentic(session::Purpose::Frame, &envelope) {
            return Some(Err(Error::Closed));
        }
        self.sequence += 1;
        Some(Ok(envelope))
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("closed", &self.is_closed())
            .finish_non_exhaustive()
    }
}

impl<F> fmt::Debug for Subscription<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Subscription")
            .field("sequence", &self.sequence)
            .finish_non_exhaustive()
    }
}

/// Runs the handshake and returns the session keys and where the server is.
async fn authenticate(
    rpc: &ws_client::WsClient,
    role: credential::Role,
    secret: &credential::Secret,
    meter: Option<&Arc<traffic::Meter>>,
) -> Result<(session::Keys, traffic::Place), Error> {
    let client = handshake::Nonce::generate().map_err(|cause| unreachable(&cause))?;
    let hello = handshake::Located {
        message: handshake::Hello {
            role,
            nonce: client.to_hex(),
            compression: true,
        },
        domain: meter.map(|meter| meter.domain().clone()),
    };
    let located: handshake::Located<handshake::Challenge> = rpc
        .request(message::HELLO, rpc_params![hello])
        .await
        .map_err(handshake_error)?;
    let (challenge, domain) = (located.message, located.domain);
    let server = handshake::Nonce::from_hex(&challenge.nonce).ok_or(Error::NotAuthentic)?;
    let transcript = handshake::Transcript {
        role,
        client,
        server,
    };
    let proof: handshake::Proof = rpc
        .request(message::PROVE, rpc_params![transcript.client_proof(secret)])
        .await
        .map_err(handshake_error)?;
    if !transcript.is_server_proof(secret, &proof) {
        return Err(Error::NotAuthentic);
    }
    let keys = transcript.session_keys(secret);
    let place = meter.map(|meter| meter.place_of(domain.as_ref()));
    Ok((
        keys.with_compression(challenge.compression),
        place.unwrap_or_default(),
    ))
}

/// Maps a JSON-RPC error during the handshake: an error response means that the server
/// rejected the client.
fn handshake_error(cause: rpc::Error) -> Error {
    match cause {
        rpc::Error::Call(_) | rpc::Error::ParseError(_) => Error::NotAuthentic,
        other => unreachable(&other),
    }
}

fn decode<R: DeserializeOwned>(envelope: &session::Envelope) -> Result<Option<R>, Error> {
    let body = compression::unpack(&envelope.body).map_err(|cause| malformed(&cause))?;
    let response: message::Response =
        serde_json::from_str(&body).map_err(|cause| malformed(&cause))?;
    if let Some(fault) = response.fault {
        return Err(Error::Refused {
            code: fault.code,
            message: fault.message,
            data: fault.data,
        });
    }
    if response.end {
        return Ok(None);
    }
    let content = response.ok.as_ref().map_or("null", |ok| ok.get());
    serde_json::from_str(content)
        .map(Some)
        .map_err(|cause| malformed(&cause))
}

fn unreachable(reason: &dyn fmt::Display) -> Error {
    Error::Unreachable {
        reason: reason.to_string().into(),
    }
}

fn malformed(reason: &dyn fmt::Display) -> Error {
    Error::Malformed {
        reason: reason.to_string().into(),
    }
}
