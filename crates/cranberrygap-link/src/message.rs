//! Method names, limits and bodies of the messages on a link.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::compression;
use crate::server;

/// Method of the first handshake message.
pub(crate) const HELLO: &str = "link_hello";
/// Method of the third handshake message, the client's proof.
pub(crate) const PROVE: &str = "link_prove";
/// Method that carries a sealed call.
pub(crate) const CALL: &str = "link_call";
/// Method that opens a stream with a sealed call.
pub(crate) const OPEN: &str = "link_open";
/// Method of a stream's notifications.
pub(crate) const FRAME: &str = "link_frame";
/// Method that closes a stream.
pub(crate) const CLOSE: &str = "link_close";

/// Maximum message size in bytes. A full view at the planned size (1,300 models,
/// 600 endpoints) is below 2 MiB, a chunk of a replica's snapshot below 4 MiB.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// Upper bound of the bytes that the envelope adds to the body.
pub(crate) const ENVELOPE_OVERHEAD_BYTES: usize = 1_024;

/// Interval at which each end pings the other.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without any message after which a connection counts as dead. A middlebox that
/// drops its state of the connection causes no error, packets just stop arriving. Both
/// ends detect that by the missing replies to their pings.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// JSON-RPC error code for a client that is not authenticated.
pub(crate) const UNAUTHENTICATED: i32 = -32_010;

/// Fault code of an unknown method.
pub(crate) const UNKNOWN_METHOD: i32 = -32_601;
/// Fault code of parameters that cannot be decoded.
pub(crate) const INVALID_PARAMS: i32 = -32_602;
/// Fault code of a result that cannot be encoded.
pub(crate) const INTERNAL_ERROR: i32 = -32_603;

/// Body of a call.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) method: SmolStr,
    pub(crate) params: Box<RawValue>,
}

/// Body of a response or of a frame. It is a struct because tagged enums cannot
/// hold raw JSON.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Response {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) ok: Option<Box<RawValue>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) fault: Option<Fault>,
    /// Marks the last frame of a stream.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) end: bool,
}

/// A refusal in a response; mirrors [`server::Fault`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Fault {
    pub(crate) code: i32,
    pub(crate) message: SmolStr,
    pub(crate) data: Value,
}

impl Call {
    /// Reads the body of a call, compressed or not.
    pub(crate) fn read(body: &RawValue) -> Result<Self, server::Fault> {
        let invalid =
            |cause: &dyn std::fmt::Display| server::Fault::new(INVALID_PARAMS, cause.to_string());
        let body = compression::unpack(body).map_err(|cause| invalid(&cause))?;
        serde_json::from_str(&body).map_err(|cause| invalid(&cause))
    }
}

impl Response {
    pub(crate) fn new(result: Result<Box<RawValue>, server::Fault>) -> Self {
        match result {
            Ok(ok) => Self {
                ok: Some(ok),
                ..Self::default()
            },
            Err(fault) => Self {
                fault: Some(Fault {
                    code: fault.code,
                    message: fault.message,
                    data: fault.data,
                }),
                ..Self::default()
            },
        }
    }

    pub(crate) fn end() -> Self {
        Self {
            end: true,
            ..Self::default()
        }
    }
}

/// Serialises a type whose serialisation cannot fail.
pub(crate) fn to_raw_json<T: Serialize>(content: &T) -> Box<RawValue> {
    serde_json::value::to_raw_value(content).expect("plain structs with text keys become JSON")
}
