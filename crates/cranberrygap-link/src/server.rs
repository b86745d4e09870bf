//! Server side of a link: methods, streams and the listener that serves them.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::address;
use futures_util::StreamExt as _;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use smol_str::SmolStr;

use crate::credential;
use crate::message;
use crate::traffic;

mod accept;
mod connection;
mod registry;
mod stream;

pub use accept::Handle;

/// Default limit of open connections per listener. 390 entries and 7 controls with two
/// connections each stay below it.
const MAX_CONNECTIONS: usize = 1_024;

/// Why a call is refused; all fields are sent to the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Stable code, see `cranberrygap_wire::method`.
    pub code: i32,
    /// Human-readable message.
    pub message: SmolStr,
    /// Machine-readable details, or null.
    pub data: Value,
}

/// Why a listener did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Binding to the address failed.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address to bind to.
        address: address::Socket,
        /// The error of the operating system.
        cause: std::io::Error,
    },
}

type Response = BoxFuture<'static, Result<Box<RawValue>, Fault>>;
type Frames = BoxStream<'static, Box<RawValue>>;
type Opening = BoxFuture<'static, Result<Frames, Fault>>;

/// Callback for each completed call: its method, and the processor time from its envelope to
/// the sealed response.
type Meter = Arc<dyn Fn(&str, Duration) + Send + Sync>;

struct Method {
    role: credential::Role,
    run: Box<dyn Fn(Box<RawValue>) -> Response + Send + Sync>,
}

struct Stream {
    role: credential::Role,
    open: Box<dyn Fn(Box<RawValue>) -> Opening + Send + Sync>,
}

/// Configures a listener: secrets, methods, streams and limits.
#[derive(Default)]
pub struct Builder {
    secrets: BTreeMap<credential::Role, Vec<credential::Secret>>,
    methods: BTreeMap<SmolStr, Method>,
    streams: BTreeMap<SmolStr, Stream>,
    max_connections: Option<usize>,
    meter: Option<Meter>,
    traffic: Option<Arc<traffic::Meter>>,
}

impl Fault {
    /// Creates a fault without data.
    #[must_use]
    pub fn new(code: i32, message: impl Into<SmolStr>) -> Self {
        Self {
            code,
            message: message.into(),
            data: Value::Null,
        }
    }

    /// Adds machine-readable data to the fault.
    #[must_use]
    pub fn with_data(self, data: Value) -> Self {
        Self { data, ..self }
    }
}

impl Builder {
    /// Creates a builder without methods and streams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Accepts any of `secrets` for `role`.
    ///
    /// Several secrets allow a rotation while all processes run: first every listener
    /// accepts both, then every client changes to the new one, then the old one is removed.
    #[must_use]
    pub fn secrets(mut self, role: credential::Role, secrets: Vec<credential::Secret>) -> Self {
        self.secrets.insert(role, secrets);
        self
    }

    /// Sets the limit of open connections.
    #[must_use]
    pub const fn max_connections(mut self, limit: usize) -> Self {
        self.max_connections = Some(limit);
        self
    }

    /// Calls `meter` after each call with its method and the processor time spent on decoding
    /// it, running it and encoding the response. The cost of sockets and frames is not
    /// included.
    #[must_use]
    pub fn meter(mut self, meter: impl Fn(&str, Duration) + Send + Sync + 'static) -> Self {
        self.meter = Some(Arc::new(meter));
        self
    }

    /// Counts what the connections carry with `meter`.
    #[must_use]
    pub fn traffic(mut self, meter: Arc<traffic::Meter>) -> Self {
        self.traffic = Some(meter);
        self
    }

    /// Adds a method for clients authenticated as `role`.
    #[must_use]
    pub fn method<P, R, H, A>(mut self, name: &str, role: credential::Role, handler: H) -> Self
    where
        P: DeserializeOwned + Send + 'static,
        R: Serialize + 'static,
        H: Fn(P) -> A + Send + Sync + 'static,
        A: Future<Output = Result<R, Fault>> + Send + 'static,
    {
        let handler = Arc::new(handler);
        let run = move |params: Box<RawValue>| -> Response {
            let handler = Arc::clone(&handler);
            Box::pin(async move {
                let params = decode(&params)?;
                let result = handler(params).await?;
                encode(&result)
            })
        };
        let run = Box::new(run);
        self.methods.insert(name.into(), Method { role, run });
        self
    }

    /// Adds a stream of frames for clients authenticated as `role`.
    #[must_use]
    pub fn subscription<P, F, H, A>(
        mut self,
        name: &str,
        role: credential::Role,
        handler: H,
    ) -> Self
    where
        P: DeserializeOwned + Send + 'static,
        F: Serialize + Send + 'static,
        H: Fn(P) -> A + Send + Sync + 'static,
        A: Future<Output = Result<BoxStream<'static, F>, Fault>> + Send + 'static,
    {
        let handler = Arc::new(handler);
        let open = move |params: Box<RawValue>| -> Opening {
            let handler = Arc::clone(&handler);
            Box::pin(async move {
                let params = decode(&params)?;
                let frames = handler(params).await?;
                let frames = frames.map(|frame| encode(&frame));
                Ok(frames
                    .take_while(|frame| std::future::ready(frame.is_ok()))
                    .filter_map(|frame| std::future::ready(frame.ok()))
                    .boxed())
            })
        };
        let open = Box::new(open);
        self.streams.insert(name.into(), Stream { role, open });
        self
    }

    /// Starts to listen on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When binding to `address` fails.
    pub async fn start(self, address: address::Socket) -> Result<Handle, Error> {
        let limit = self.max_connections.unwrap_or(MAX_CONNECTIONS);
        let registry = registry::Registry::new(self.secrets, self.methods, self.streams, limit);
        let registry = registry.with_meter(self.meter).with_traffic(self.traffic);
        Handle::listen(Arc::new(registry), address).await
    }
}

impl fmt::Debug for Builder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Builder")
            .field("methods", &self.methods.keys())
            .field("streams", &self.streams.keys())
            .finish_non_exhaustive()
    }
}

fn decode<P: DeserializeOwned>(params: &RawValue) -> Result<P, Fault> {
    serde_json::from_str(params.get())
        .map_err(|cause| Fault::new(message::INVALID_PARAMS, cause.to_string()))
}

fn encode<R: Serialize>(result: &R) -> Result<Box<RawValue>, Fault> {
    serde_json::value::to_raw_value(result)
        .map_err(|cause| Fault::new(message::INTERNAL_ERROR, cause.to_string()))
}
