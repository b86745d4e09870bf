//! One accepted connection and its authentication state.

use std::sync::OnceLock;

use jsonrpsee::server;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::credential;
use crate::handshake;
use crate::session;
use crate::traffic;

/// One accepted connection.
pub(super) struct Connection {
    phase: Mutex<Phase>,
    stop: server::ServerHandle,
    authenticated: watch::Sender<bool>,
    closed: watch::Sender<bool>,
    /// Counts what the connection carries, once the client has said where it is.
    flow: OnceLock<traffic::Flow>,
}

enum Phase {
    New,
    Challenged {
        transcript: handshake::Transcript,
        /// Whether the client reads compressed bodies.
        compression: bool,
    },
    Authenticated(Session),
    Closed,
}

struct Session {
    role: credential::Role,
    secret: credential::Secret,
    keys: session::Keys,
    window: session::Window,
}

/// The authenticated sender of a verified call.
pub(super) struct Caller {
    pub(super) role: credential::Role,
    pub(super) keys: session::Keys,
}

impl Connection {
    pub(super) fn new(stop: server::ServerHandle) -> Self {
        Self {
            phase: Mutex::new(Phase::New),
            stop,
            authenticated: watch::Sender::new(false),
            closed: watch::Sender::new(false),
            flow: OnceLock::new(),
        }
    }

    /// Counts from now on what the connection carries. Only the first call has an effect.
    pub(super) fn set_flow(&self, flow: traffic::Flow) {
        let _first_stays = self.flow.set(flow);
    }

    /// Counts a message from the client.
    pub(super) fn record_received(&self, kind: traffic::Kind, envelope: &session::Envelope) {
        if let Some(flow) = self.flow.get() {
            flow.record_received(kind, envelope.size());
        }
    }

    /// Counts a message to the client.
    pub(super) fn record_sent(&self, kind: traffic::Kind, envelope: &session::Envelope) {
        if let Some(flow) = self.flow.get() {
            flow.record_sent(kind, envelope.size());
        }
    }

    /// Answers a hello with a challenge, once per connection.
    pub(super) fn challenge(&self, hello: &handshake::Hello) -> Option<handshake::Challenge> {
        let client = handshake::Nonce::from_hex(&hello.nonce)?;
        let server = handshake::Nonce::generate().ok()?;
        let mut phase = self.phase.lock();
        if !matches!(*phase, Phase::New) {
            return None;
        }
        *phase = Phase::Challenged {
            transcript: handshake::Transcript {
                role: hello.role,
                client,
                server,
            },
            compression: hello.compression,
        };
        Some(handshake::Challenge {
            nonce: server.to_hex(),
            compression: true,
        })
    }

    /// Returns the role that the client claims, once it is challenged.
    pub(super) fn claimed_role(&self) -> Option<credential::Role> {
        match &*self.phase.lock() {
            Phase::Challenged { transcript, .. } => Some(transcript.role),
            _ => None,
        }
    }

    /// Verifies the client's proof and returns the server's. A challenge allows one attempt
    /// only, so that secrets cannot be guessed repeatedly on one connection.
    pub(super) fn verify_proof(
        &self,
        proof: &handshake::Proof,
        secrets: Vec<credential::Secret>,
    ) -> Option<handshake::Proof> {
        let mut phase = self.phase.lock();
        let Phase::Challenged {
            transcript,
            compression,
        } = std::mem::replace(&mut *phase, Phase::Closed)
        else {
            return None;
        };
        let is_proven = |secret: &credential::Secret| transcript.is_client_proof(secret, proof);
        let secret = secrets.into_iter().find(is_proven)?;
        let server_proof = transcript.server_proof(&secret);
        *phase = Phase::Authenticated(Session {
            role: transcript.role,
            keys: transcript
                .session_keys(&secret)
                .with_compression(compression),
            secret,
            window: session::Window::default(),
        });
        drop(phase);
        self.authenticated.send_replace(true);
        Some(server_proof)
    }

    /// Verifies a sealed call: sent in this session, unaltered and not a replay.
    pub(super) fn verify_call(&self, envelope: &session::Envelope) -> Option<Caller> {
        let mut phase = self.phase.lock();
        let Phase::Authenticated(session) = &mut *phase else {
            return None;
        };
        if !session.keys.is_authentic(session::Purpose::Call, envelope) {
            return None;
        }
        if !session.window.accept(envelope.counter) {
            return None;
        }
        Some(Caller {
            role: session.role,
            keys: session.keys.clone(),
        })
    }

    /// Whether the client authenticated as `role` with a secret that is not in `secrets`.
    pub(super) fn uses_revoked_secret(
        &self,
        role: credential::Role,
        secrets: &[credential::Secret],
    ) -> bool {
        match &*self.phase.lock() {
            Phase::Authenticated(session) => {
                session.role == role && !secrets.contains(&session.secret)
            }
            _ => false,
        }
    }

    /// Whether the client has not authenticated yet.
    pub(super) fn is_unauthenticated(&self) -> bool {
        matches!(*self.phase.lock(), Phase::New | Phase::Challenged { .. })
    }

    /// Closes the connection; no further call on it is accepted.
    pub(super) fn close(&self) {
        *self.phase.lock() = Phase::Closed;
        self.closed.send_replace(true);
        // Fails only if the connection was stopped before.
        let _ = self.stop.stop();
    }

    /// Waits until the connection is closed. On shutdown the library waits for running calls,
    /// which may take long, so every running call or stream also waits for this.
    pub(super) async fn closed(&self) {
        let mut closed = self.closed.subscribe();
        // Fails only if the sender is dropped, and `self` holds it.
        drop(closed.wait_for(|closed| *closed).await);
    }

    /// Waits until the client has authenticated.
    pub(super) async fn authenticated(&self) {
        let mut authenticated = self.authenticated.subscribe();
        // Fails only if the sender is dropped, and `self` holds it.
        drop(authenticated.wait_for(|authenticated| *authenticated).await);
    }
}
