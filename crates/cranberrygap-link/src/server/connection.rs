//! One accepted connection and how far it has proven itself.

use jsonrpsee::server;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::credential;
use crate::handshake;
use crate::session;

/// State of one connection.
pub(super) struct Connection {
    phase: Mutex<Phase>,
    stop: server::ServerHandle,
    authenticated: watch::Sender<bool>,
    closed: watch::Sender<bool>,
}

enum Phase {
    New,
    Challenged(handshake::Transcript),
    Authenticated(Session),
    Closed,
}

struct Session {
    role: credential::Role,
    secret: credential::Secret,
    keys: session::Keys,
    window: session::Window,
}

/// A call that was sealed by whoever proved the role.
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
        }
    }

    /// Answers a hello with a challenge, once for a connection.
    pub(super) fn challenge(&self, hello: &handshake::Hello) -> Option<handshake::Challenge> {
        let client = handshake::Nonce::from_hex(&hello.nonce)?;
        let server = handshake::Nonce::generate().ok()?;
        let mut phase = self.phase.lock();
        if !matches!(*phase, Phase::New) {
            return None;
        }
        *phase = Phase::Challenged(handshake::Transcript {
            role: hello.role,
            client,
            server,
        });
        let nonce = server.to_hex();
        Some(handshake::Challenge { nonce })
    }

    /// The role that a challenged connection claims.
    pub(super) fn claimed_role(&self) -> Option<credential::Role> {
        match &*self.phase.lock() {
            Phase::Challenged(transcript) => Some(transcript.role),
            _ => None,
        }
    }

    /// Checks the other end's proof and gives this end's. A challenge serves
    /// one try only, so that a connection cannot be used for guessing.
    pub(super) fn verify_proof(
        &self,
        proof: &handshake::Proof,
        secrets: Vec<credential::Secret>,
    ) -> Option<handshake::Proof> {
        let mut phase = self.phase.lock();
        let Phase::Challenged(transcript) = std::mem::replace(&mut *phase, Phase::Closed) else {
            return None;
        };
        let fits = |secret: &credential::Secret| transcript.is_client_proof(secret, proof);
        let secret = secrets.into_iter().find(fits)?;
        let answer = transcript.server_proof(&secret);
        *phase = Phase::Authenticated(Session {
            role: transcript.role,
            keys: transcript.session_keys(&secret),
            secret,
            window: session::Window::default(),
        });
        drop(phase);
        self.authenticated.send_replace(true);
        Some(answer)
    }

    /// Checks a sealed call: by this session, unaltered and not seen before.
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

    /// Whether the other end has not proven itself yet.
    pub(super) fn is_unauthenticated(&self) -> bool {
        matches!(*self.phase.lock(), Phase::New | Phase::Challenged(_))
    }

    /// Ends the connection; nothing is taken from it any more.
    pub(super) fn close(&self) {
        *self.phase.lock() = Phase::Closed;
        self.closed.send_replace(true);
        // Fails only if it was stopped before.
        let _ = self.stop.stop();
    }

    /// Waits until nothing more may be sent or taken. The library itself waits
    /// for calls under way, which may last; whoever runs one watches this.
    pub(super) async fn closed(&self) {
        let mut ended = self.closed.subscribe();
        // Fails only if the sender is gone, which this connection holds.
        drop(ended.wait_for(|ended| *ended).await);
    }

    /// Waits until the other end has proven itself.
    pub(super) async fn authenticated(&self) {
        let mut proven = self.authenticated.subscribe();
        // Fails only if the sender is gone, which this connection holds.
        drop(proven.wait_for(|proven| *proven).await);
    }
}
