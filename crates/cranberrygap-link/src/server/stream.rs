//! Runs one stream of sealed frames.

use std::sync::Arc;

use futures_util::StreamExt as _;
use jsonrpsee::core::server::{PendingSubscriptionSink, SubscriptionSink};
use jsonrpsee::types::Params;

use super::connection::{Caller, Connection};
use super::registry::Registry;
use super::{Fault, Frames, accept};
use crate::message;
use crate::session;

struct Writer {
    sink: SubscriptionSink,
    authentic: Caller,
    counter: u64,
    sequence: u64,
}

/// Checks the opening call, then sends frames until the stream or the
/// connection ends.
pub(super) async fn run(
    params: Params<'static>,
    pending: PendingSubscriptionSink,
    registry: Arc<Registry>,
    extensions: jsonrpsee::Extensions,
) {
    let checked = verify_call(&params, &registry, &extensions);
    let Some((connection, envelope, authentic)) = checked else {
        pending.reject(accept::unauthenticated()).await;
        return;
    };
    let opened = open_frames(&registry, &authentic, &envelope).await;
    // Fails only if the connection has ended meanwhile.
    let Ok(sink) = pending.accept().await else {
        return;
    };
    let mut writer = Writer {
        sink,
        authentic,
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
    let authentic = connection.verify_call(&envelope);
    if authentic.is_none() {
        connection.close();
    }
    Some((connection, envelope, authentic?))
}

async fn open_frames(
    registry: &Registry,
    authentic: &Caller,
    envelope: &session::Envelope,
) -> Result<Frames, Fault> {
    let wrong = |cause: serde_json::Error| Fault::new(message::INVALID_PARAMS, cause.to_string());
    let call: message::Call = serde_json::from_str(envelope.body.get()).map_err(wrong)?;
    let stream = registry.stream(&call.method);
    let stream = stream.filter(|stream| stream.role == authentic.role);
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
        let answer = match frame {
            Some(frame) => message::Response::new(Ok(frame)),
            None => message::Response::end(),
        };
        if !writer.send(&answer).await || answer.end {
            return;
        }
    }
}

impl Writer {
    async fn send(&mut self, answer: &message::Response) -> bool {
        let purpose = session::Purpose::Frame;
        let body = message::to_raw_json(answer);
        let keys = &self.authentic.keys;
        let envelope = keys.seal(purpose, self.counter, self.sequence, body);
        self.sequence += 1;
        self.sink
            .send(message::to_raw_json(&envelope))
            .await
            .is_ok()
    }
}
