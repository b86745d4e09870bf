//! The accepting end of a link.

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

mod accept;
mod connection;
mod registry;
mod stream;

pub use accept::Handle;

/// Connections that one listener holds. 390 entries and 7 controls with two
/// connections each stay below it.
const MAX_CONNECTIONS: usize = 1_024;

/// Why a call is refused; the caller gets all of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// A stable code, see `cranberrygap_wire::method`.
    pub code: i32,
    /// A sentence for people.
    pub message: SmolStr,
    /// More about it, null when there is no more.
    pub data: Value,
}

/// Why a listener did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: address::Socket,
        /// What the system said.
        cause: std::io::Error,
    },
}

type Response = BoxFuture<'static, Result<Box<RawValue>, Fault>>;
type Frames = BoxStream<'static, Box<RawValue>>;
type Opening = BoxFuture<'static, Result<Frames, Fault>>;

/// Told of each call that ended: its method, and the processor time from its envelope to the
/// sealed answer.
type Meter = Arc<dyn Fn(&str, Duration) + Send + Sync>;

struct Method {
    role: credential::Role,
    run: Box<dyn Fn(Box<RawValue>) -> Response + Send + Sync>,
}

struct Stream {
    role: credential::Role,
    open: Box<dyn Fn(Box<RawValue>) -> Opening + Send + Sync>,
}

/// What a listener offers, and to whom.
#[derive(Default)]
pub struct Builder {
    secrets: BTreeMap<credential::Role, Vec<credential::Secret>>,
    methods: BTreeMap<SmolStr, Method>,
    streams: BTreeMap<SmolStr, Stream>,
    max_connections: Option<usize>,
    meter: Option<Meter>,
}

impl Fault {
    /// A fault without further data.
    #[must_use]
    pub fn new(code: i32, message: impl Into<SmolStr>) -> Self {
        Self {
            code,
            message: message.into(),
            data: Value::Null,
        }
    }

    /// The fault with data that a program can read.
    #[must_use]
    pub fn with_data(self, data: Value) -> Self {
        Self { data, ..self }
    }
}

impl Builder {
    /// A listener that offers nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes any of `secrets` as proof of `role`. With several of them a secret
    /// can be changed while all processes run: first every listener takes both,
    /// then every client shows the new one, then the old one goes.
    #[must_use]
    pub fn secrets(mut self, role: credential::Role, secrets: Vec<credential::Secret>) -> Self {
        self.secrets.insert(role, secrets);
        self
    }

    /// Holds at most so many connections.
    #[must_use]
    pub const fn max_connections(mut self, most: usize) -> Self {
        self.max_connections = Some(most);
        self
    }

    /// Tells `meter` of each call that ended: its method, and the processor time that reading,
    /// answering and writing it took here. What sockets and frames cost is not in it.
    #[must_use]
    pub fn meter(mut self, meter: impl Fn(&str, Duration) + Send + Sync + 'static) -> Self {
        self.meter = Some(Arc::new(meter));
        self
    }

    /// Offers a method to whoever proved `role`.
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
                let answer = handler(params).await?;
                encode(&answer)
            })
        };
        let run = Box::new(run);
        self.methods.insert(name.into(), Method { role, run });
        self
    }

    /// Offers a stream of frames to whoever proved `role`.
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

    /// Listens on `address`; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub async fn start(self, address: address::Socket) -> Result<Handle, Error> {
        let most = self.max_connections.unwrap_or(MAX_CONNECTIONS);
        let registry = registry::Registry::new(self.secrets, self.methods, self.streams, most);
        let registry = registry.with_meter(self.meter);
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

fn encode<R: Serialize>(answer: &R) -> Result<Box<RawValue>, Fault> {
    serde_json::value::to_raw_value(answer)
        .map_err(|cause| Fault::new(message::INTERNAL_ERROR, cause.to_string()))
}
