//! The HTTP listeners.

mod announcements;
mod concurrency;
pub(crate) mod socket;

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_model::address;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::Request;
use salvo::server::ServerHandle;
use salvo::{Router, Server};

use crate::caller;
use crate::core;
use crate::refusal::Refusal;

pub(crate) use announcements::Announcements;

/// A running HTTP listener.
pub(crate) struct Listener {
    pub address: address::Socket,
    handle: ServerHandle,
    task: tokio::task::JoinHandle<()>,
}

impl Listener {
    /// Serves `router` at `address` with at most `connections` at once.
    pub(crate) fn start(
        address: address::Socket,
        router: Router,
        connections: usize,
    ) -> std::io::Result<Self> {
        let acceptor = TcpAcceptor::try_from(socket::listen(address.0)?)?;
        let address = address::Socket(acceptor.local_addr()?);
        let server = Server::new(acceptor).max_connections(connections);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(Self {
            address,
            handle,
            task,
        })
    }

    /// Accepts no new connections and waits until all requests have ended.
    pub(crate) async fn stop(self) {
        self.handle.stop_graceful(None);
        drop(self.task.await);
    }
}

/// Routes of the callers' listener.
pub(crate) fn callers_router(core: &Arc<core::Core>) -> Router {
    let chat = caller::generate::Generate {
        core: Arc::clone(core),
        path: "/v1/chat/completions",
        prompt_key: "messages",
    };
    let completions = caller::generate::Generate {
        core: Arc::clone(core),
        path: "/v1/completions",
        prompt_key: "prompt",
    };
    let services = caller::services::Services {
        core: Arc::clone(core),
    };
    let v1 = Router::with_path("v1")
        .push(Router::with_path("chat/completions").post(chat))
        .push(Router::with_path("completions").post(completions))
        .push(Router::with_path("models").get(caller::models::Models {
            core: Arc::clone(core),
        }))
        .push(
            Router::with_path("addresses").get(caller::addresses::Addresses {
                core: Arc::clone(core),
            }),
        );
    Router::new()
        .hoop(concurrency::Limit::new(core))
        .push(v1)
        .push(Router::with_path("services/{name}/{**rest}").goal(services))
        .push(Router::with_path("{**rest}").goal(concurrency::NotFound))
}

/// Routes of the endpoints' listener.
pub(crate) fn endpoints_router(core: &Arc<core::Core>, token: Option<String>) -> Router {
    let announcements = Announcements {
        core: Arc::clone(core),
        token,
    };
    Router::with_path("announce").post(announcements)
}

/// Reads a body up to the size limit in the settings.
pub(crate) async fn read_body(
    request: &mut Request,
    core: &Arc<core::Core>,
) -> Result<Bytes, Refusal> {
    let limit = core
        .settings
        .limits
        .as_ref()
        .map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.body.0);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match request.payload_with_max_size(limit).await {
        Ok(bytes) => Ok(Bytes::clone(bytes)),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(Refusal::BodyTooLarge),
        Err(cause) => Err(Refusal::BodyMalformed(cause.to_string().into())),
    }
}

/// Maximum body size without a setting; equals the schema's default.
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;
