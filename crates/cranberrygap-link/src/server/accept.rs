//! Accepts connections and serves each with the JSON-RPC library.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::address;
use jsonrpsee::RpcModule;
use jsonrpsee::server;
use jsonrpsee::types::{ErrorObjectOwned, Params};
use smol_str::SmolStr;
use tokio::net;
use tokio::sync::watch;

use super::connection::Connection;
use super::registry::Registry;
use super::{Error, Fault, stream};
use crate::credential;
use crate::handshake;
use crate::message;
use crate::processor;
use crate::session;
use crate::traffic;

/// Time within which a client must authenticate. Otherwise unauthenticated clients could
/// hold connections open until the limit leaves none for the fleet.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum open streams per connection.
const MAX_STREAMS: u32 = 16;

/// Messages buffered for a slow reader before the sender has to wait.
const MESSAGE_BUFFER_CAPACITY: u32 = 256;

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A running listener; it stops when the handle is dropped.
pub struct Handle {
    registry: Arc<Registry>,
    address: address::Socket,
    stop: watch::Sender<bool>,
}

impl Handle {
    pub(super) async fn listen(
        registry: Arc<Registry>,
        address: address::Socket,
    ) -> Result<Self, Error> {
        let failed = |cause| Error::Listen { address, cause };
        let listener = net::TcpListener::bind(address.0).await.map_err(failed)?;
        let local = listener.local_addr().map_err(failed)?;
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(accept(listener, Arc::clone(&registry), stopped));
        Ok(Self {
            registry,
            address: address::Socket(local),
            stop,
        })
    }

    /// Returns the address the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> address::Socket {
        self.address
    }

    /// Returns the number of open connections, authenticated or not.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.registry.count()
    }

    /// Replaces the secrets of a role at run time and closes the connections that
    /// authenticated with a removed secret.
    pub fn replace_secrets(&self, role: credential::Role, secrets: Vec<credential::Secret>) {
        self.registry.replace_secrets(role, secrets);
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.stop.send_replace(true);
        self.registry.close_all();
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle")
            .field("address", &self.address)
            .field("connections", &self.connections())
            .finish_non_exhaustive()
    }
}

async fn accept(
    listener: net::TcpListener,
    registry: Arc<Registry>,
    mut stopped: watch::Receiver<bool>,
) {
    let module = rpc_module(&registry);
    let mut last_id: u32 = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        let Ok((socket, _peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        last_id = last_id.wrapping_add(1);
        serve(socket, last_id, &registry, module.clone());
    }
}

fn serve(socket: net::TcpStream, id: u32, registry: &Arc<Registry>, module: server::Methods) {
    let (stop, handle) = server::stop_channel();
    let connection = Arc::new(Connection::new(handle));
    if !registry.insert(id, Arc::clone(&connection)) {
        spdlog::warn!("link: refused a connection, the limit of open connections is reached");
        return;
    }
    // Fails only on a socket that is already closed.
    drop(socket.set_nodelay(true));
    let mut service = server::Server::builder()
        .set_config(server_config())
        .to_service_builder()
        .connection_id(id)
        .build(module, stop.clone());
    let closed = service.on_session_closed();
    let registry = Arc::clone(registry);
    tokio::spawn(async move {
        let serving = async {
            let stopped = stop.shutdown();
            let served = server::serve_with_graceful_shutdown(socket, service, stopped).await;
            if let Err(cause) = served {
                spdlog::debug!("link: a connection failed: {cause}");
            }
            closed.await;
        };
        tokio::pin!(serving);
        tokio::select! {
            () = &mut serving => {}
            () = authentication_timeout(&connection) => {
                spdlog::warn!("link: closed a connection that did not authenticate in time");
                connection.close();
            }
        }
        registry.remove(id);
    });
}

/// Completes when the authentication timeout passes; never once the client is authenticated.
async fn authentication_timeout(connection: &Connection) {
    let authenticated = tokio::time::timeout(AUTHENTICATION_TIMEOUT, connection.authenticated());
    if authenticated.await.is_ok() {
        std::future::pending::<()>().await;
    }
}

fn server_config() -> server::ServerConfig {
    let ping = server::PingConfig::new()
        .ping_interval(message::PING_INTERVAL)
        .inactive_limit(message::SILENCE_TIMEOUT);
    server::ServerConfig::builder()
        .ws_only()
        .max_request_body_size(message::MAX_MESSAGE_BYTES)
        .max_response_body_size(message::MAX_MESSAGE_BYTES)
        .max_subscriptions_per_connection(MAX_STREAMS)
        .set_batch_request_config(server::BatchRequestConfig::Disabled)
        .set_message_buffer_capacity(MESSAGE_BUFFER_CAPACITY)
        .enable_ws_ping(ping)
        .build()
}

fn rpc_module(registry: &Arc<Registry>) -> server::Methods {
    let mut module = RpcModule::from_arc(Arc::clone(registry));
    let distinct = "method names on a link are distinct";
    module
        .register_method(message::HELLO, |params, registry, extensions| {
            let hello: handshake::Located<handshake::Hello> = params.one()?;
            let connection = find_connection(registry, extensions)?;
            answer_hello(registry, &connection, &hello)
        })
        .expect(distinct);
    module
        .register_method(message::PROVE, |params, registry, extensions| {
            let proof: handshake::Proof = params.one()?;
            verify_proof(registry, extensions, &proof)
        })
        .expect(distinct);
    module
        .register_async_method(message::CALL, |params, registry, extensions| async move {
            let mut name = SmolStr::default();
            let handling = handle_call(&params, &registry, &extensions, &mut name);
            let Some(meter) = registry.meter() else {
                return handling.await;
            };
            let (response, spent) = processor::measure(handling).await;
            meter(&name, spent);
            response
        })
        .expect(distinct);
    module
        .register_subscription(message::OPEN, message::FRAME, message::CLOSE, stream::run)
        .expect(distinct);
    module.into()
}

/// Answers a hello with a challenge; each end tells the other its failure domain.
fn answer_hello(
    registry: &Registry,
    connection: &Connection,
    hello: &handshake::Located<handshake::Hello>,
) -> Result<handshake::Located<handshake::Challenge>, ErrorObjectOwned> {
    let challenge = connection.challenge(&hello.message);
    let message = challenge.ok_or_else(unauthenticated)?;
    let meter = registry.traffic();
    if let Some(meter) = meter {
        let place = meter.place_of(hello.domain.as_ref());
        connection.set_flow(traffic::Flow::new(Arc::clone(meter), place));
    }
    let domain = meter.map(|meter| meter.domain().clone());
    Ok(handshake::Located { message, domain })
}

fn verify_proof(
    registry: &Registry,
    extensions: &jsonrpsee::Extensions,
    proof: &handshake::Proof,
) -> Result<handshake::Proof, ErrorObjectOwned> {
    let connection = find_connection(registry, extensions)?;
    let role = connection.claimed_role().ok_or_else(unauthenticated)?;
    let server_proof = connection.verify_proof(proof, registry.secrets(role));
    if server_proof.is_none() {
        spdlog::warn!("link: refused a client that failed to authenticate as {role}");
    }
    server_proof.ok_or_else(unauthenticated)
}

/// Verifies a sealed call and runs its method; sets `name` to the method once decoded.
async fn handle_call(
    params: &Params<'static>,
    registry: &Registry,
    extensions: &jsonrpsee::Extensions,
    name: &mut SmolStr,
) -> Result<session::Envelope, ErrorObjectOwned> {
    let envelope: session::Envelope = params.one()?;
    let connection = find_connection(registry, extensions)?;
    let Some(caller) = connection.verify_call(&envelope) else {
        // An altered or replayed message means that an intermediary tampers with the
        // connection, so it is closed.
        connection.close();
        return Err(unauthenticated());
    };
    let result = tokio::select! {
        result = run_method(registry, caller.role, &envelope, name) => result,
        () = connection.closed() => return Err(unauthenticated()),
    };
    let body = message::to_raw_json(&message::Response::new(result));
    let purpose = session::Purpose::Response;
    let response = caller.keys.seal(purpose, envelope.counter, 0, body);
    let kind = traffic::Kind::of_method(name);
    connection.record_received(kind, &envelope);
    connection.record_sent(kind, &response);
    Ok(response)
}

async fn run_method(
    registry: &Registry,
    role: credential::Role,
    envelope: &session::Envelope,
    name: &mut SmolStr,
) -> Result<Box<serde_json::value::RawValue>, Fault> {
    let call = message::Call::read(&envelope.body)?;
    name.clone_from(&call.method);
    let method = registry
        .method(&call.method)
        .filter(|method| method.role == role);
    let unknown = || Fault::new(message::UNKNOWN_METHOD, "no such method for this role");
    let method = method.ok_or_else(unknown)?;
    (method.run)(call.params).await
}

pub(super) fn find_connection(
    registry: &Registry,
    extensions: &jsonrpsee::Extensions,
) -> Result<Arc<Connection>, ErrorObjectOwned> {
    let id = extensions.get::<server::ConnectionId>();
    let id = id.and_then(|id| u32::try_from(id.0).ok());
    let connection = id.and_then(|id| registry.connection(id));
    connection.ok_or_else(unauthenticated)
}

/// Error response to a client that is not authenticated.
pub(super) fn unauthenticated() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(message::UNAUTHENTICATED, "prove yourself first", None::<()>)
}
