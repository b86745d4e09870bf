//! Names, bounds and bodies of the messages on a link.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::server;

/// First message of a handshake.
pub(crate) const HELLO: &str = "link_hello";
/// Second message of a handshake.
pub(crate) const PROVE: &str = "link_prove";
/// A sealed call.
pub(crate) const CALL: &str = "link_call";
/// A sealed call that opens a stream.
pub(crate) const OPEN: &str = "link_open";
/// Name of a stream's notifications.
pub(crate) const FRAME: &str = "link_frame";
/// Ends a stream.
pub(crate) const CLOSE: &str = "link_close";

/// Largest message in bytes. A whole view at the planned size (1,300 models,
/// 600 endpoints) is below 2 MiB, a block of a replica's snapshot below 4 MiB.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// Room that the envelope takes beside the body.
pub(crate) const ENVELOPE_OVERHEAD_BYTES: usize = 1_024;

/// How often each end pings the other.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which a connection counts as dead. Something between the ends
/// may have lost track of the connection; then nothing arrives any more and no
/// error does either. Both ends see it by the missing answers to their pings.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// JSON-RPC code for whoever has not proven itself.
pub(crate) const UNAUTHENTICATED: i32 = -32_010;

/// Fault code of an unknown method.
pub(crate) const UNKNOWN_METHOD: i32 = -32_601;
/// Fault code of parameters that do not have the method's form.
pub(crate) const INVALID_PARAMS: i32 = -32_602;
/// Fault code of an answer that could not be written.
pub(crate) const INTERNAL_ERROR: i32 = -32_603;

/// Body of a call.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) method: SmolStr,
    pub(crate) params: Box<RawValue>,
}

/// Body of an answer or of a frame. It is a struct because tagged enums cannot
/// hold raw JSON.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Response {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) ok: Option<Box<RawValue>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) fault: Option<Fault>,
    /// The stream ended in an orderly way.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) end: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Fault {
    pub(crate) code: i32,
    pub(crate) message: SmolStr,
    pub(crate) data: Value,
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

/// JSON of a type whose serialisation cannot fail.
pub(crate) fn to_raw_json<T: Serialize>(content: &T) -> Box<RawValue> {
    serde_json::value::to_raw_value(content).expect("plain structs with text keys become JSON")
}
