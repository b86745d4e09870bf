//! Serves one stream of sealed frames.

use std::sync::Arc;

use futures_util::StreamExt as _;
use jsonrpsee::core::server::{PendingSubscriptionSink, SubscriptionSink};
use jsonrpsee::types::Params;

use super::connection::{Caller, Connection};
use super::registry::Registry;
use super::{Fault, Frames, accept};
use crate::message;
use crate::session;
use crate::traffic;

/// Size from which a frame is compressed and sealed in a thread of its own, in bytes. Larger ones
/// would keep this thread from the heartbeats of others.
const LARGE_BODY_BYTES: usize = 256 << 10;

struct Writer {
    sink: SubscriptionSink,
    connection: Arc<Connection>,
    kind: traffic::Kind,
    caller: Caller,
    counter: u64,
    sequence: u64,
}

/// Verifies the opening call, then sends frames until the stream or the connection
/// ends.
pub(super) async fn run(
    params: Params<'static>,
    pending: PendingSubscriptionSink,
    registry: Arc<Registry>,
    extensions: jsonrpsee::Extensions,
) {
    let verified = verify_call(&params, &registry, &extensions);
    let Some((connection, envelope, caller)) = verified else {
        pending.reject(accept::unauthenticated()).await;
        return;
    };
    let mut kind = traffic::Kind::Calls;
    let opened = open_frames(&registry, &caller, &envelope, &mut kind).await;
    connection.record_received(kind, &envelope);
    // Fails only if the connection has closed in the meantime.
    let Ok(sink) = pending.accept().await else {
        return;
    };
    let mut writer = Writer {
        sink,
        connection: Arc::clone(&connection),
        kind,
        caller,
        counter: envelope.counter,
        sequence: 0,
    };
    match opened {
        Ok(frames) => forward(&mut writer, &connection, frames).await,
        Err(fault) => drop(writer.send(&message::Response::new(Err(fault))).await),
    }
}

fn verify_call(
    params: &Params<'static>,
    registry: &Registry,
    extensions: &jsonrpsee::Extensions,
) -> Option<(Arc<Connection>, session::Envelope, Caller)> {
    let envelope: session::Envelope = params.one().ok()?;
    let connection = accept::find_connection(registry, extensions).ok()?;
    let caller = connection.verify_call(&envelope);
    if caller.is_none() {
        connection.close();
    }
    Some((connection, envelope, caller?))
}

async fn open_frames(
    registry: &Registry,
    caller: &Caller,
    envelope: &session::Envelope,
    kind: &mut traffic::Kind,
) -> Result<Frames, Fault> {
    let call = message::Call::read(&envelope.body)?;
    *kind = traffic::Kind::of_method(&call.method);
    let stream = registry.stream(&call.method);
    let stream = stream.filter(|stream| stream.role == caller.role);
    let unknown = || Fault::new(message::UNKNOWN_METHOD, "no such stream for this role");
    (stream.ok_or_else(unknown)?.open)(call.params).await
}

async fn forward(writer: &mut Writer, connection: &Connection, mut frames: Frames) {
    if !writer
        .send(&message::Response::new(Ok(message::to_raw_json(&()))))
        .await
    {
        return;
    }
    loop {
        let frame = tokio::select! {
            frame = frames.next() => frame,
            () = writer.sink.closed() => return,
            () = connection.closed() => return,
        };
        let response = match frame {
            Some(frame) => message::Response::new(Ok(frame)),
            None => message::Response::end(),
        };
        if !writer.send(&response).await || response.end {
            return;
        }
    }
}

impl Writer {
    async fn send(&mut self, response: &message::Response) -> bool {
        let purpose = session::Purpose::Frame;
        let body = message::to_raw_json(response);
        let keys = self.caller.keys.clone();
        let (counter, sequence) = (self.counter, self.sequence);
        let is_large = body.get().len() > LARGE_BODY_BYTES;
        let seal = move || keys.seal(purpose, counter, sequence, body);
        let envelope = if is_large {
            let sealed = tokio::task::spawn_blocking(seal).await;
            sealed.expect("sealing does not panic")
        } else {
            seal()
        };
        self.connection.record_sent(self.kind, &envelope);
        self.sequence += 1;
        self.sink
            .send(message::to_raw_json(&envelope))
            .await
            .is_ok()
    }
}
