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
    proven: watch::Sender<bool>,
    ended: watch::Sender<bool>,
}

enum Phase {
    Fresh,
    Challenged(handshake::Transcript),
    Proven(Session),
    Ended,
}

struct Session {
    role: credential::Role,
    secret: credential::Secret,
    keys: session::Keys,
    window: session::Window,
}

/// A call that was sealed by whoever proved the role.
pub(super) struct Authentic {
    pub(super) role: credential::Role,
    pub(super) keys: session::Keys,
}

impl Connection {
    pub(super) fn new(stop: server::ServerHandle) -> Self {
        Self {
            phase: Mutex::new(Phase::Fresh),
            stop,
            proven: watch::Sender::new(false),
            ended: watch::Sender::new(false),
        }
    }

    /// Answers a hello with a challenge, once for a connection.
    pub(super) fn challenge(&self, hello: &handshake::Hello) -> Option<handshake::Challenge> {
        let client = handshake::Nonce::from_hex(&hello.nonce)?;
        let server = handshake::Nonce::draw().ok()?;
        let mut phase = self.phase.lock();
        if !matches!(*phase, Phase::Fresh) {
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
    pub(super) fn claimed(&self) -> Option<credential::Role> {
        match &*self.phase.lock() {
            Phase::Challenged(transcript) => Some(transcript.role),
            _ => None,
        }
    }

    /// Checks the other end's proof and gives this end's. A challenge serves
    /// one try only, so that a connection cannot be used for guessing.
    pub(super) fn prove(
        &self,
        proof: &handshake::Proof,
        secrets: Vec<credential::Secret>,
    ) -> Option<handshake::Proof> {
        let mut phase = self.phase.lock();
        let Phase::Challenged(transcript) = std::mem::replace(&mut *phase, Phase::Ended) else {
            return None;
        };
        let fits = |secret: &credential::Secret| transcript.is_client(secret, proof);
        let secret = secrets.into_iter().find(fits)?;
        let answer = transcript.server_proof(&secret);
        *phase = Phase::Proven(Session {
            role: transcript.role,
            keys: transcript.session(&secret),
            secret,
            window: session::Window::default(),
        });
        drop(phase);
        self.proven.send_replace(true);
        Some(answer)
    }

    /// Checks a sealed call: by this session, unaltered and not seen before.
    pub(super) fn check(&self, envelope: &session::Envelope) -> Option<Authentic> {
        let mut phase = self.phase.lock();
        let Phase::Proven(session) = &mut *phase else {
            return None;
        };
        if !session.keys.is_authentic(session::Purpose::Call, envelope) {
            return None;
        }
        if !session.window.accept(envelope.counter) {
            return None;
        }
        Some(Authentic {
            role: session.role,
            keys: session.keys.clone(),
        })
    }

    pub(super) fn rests_on_other(
        &self,
        role: credential::Role,
        secrets: &[credential::Secret],
    ) -> bool {
        match &*self.phase.lock() {
            Phase::Proven(session) => session.role == role && !secrets.contains(&session.secret),
            _ => false,
        }
    }

    /// Whether the other end has not proven itself yet.
    pub(super) fn is_unproven(&self) -> bool {
        matches!(*self.phase.lock(), Phase::Fresh | Phase::Challenged(_))
    }

    /// Ends the connection; nothing is taken from it any more.
    pub(super) fn end(&self) {
        *self.phase.lock() = Phase::Ended;
        self.ended.send_replace(true);
        // Fails only if it was stopped before.
        let _ = self.stop.stop();
    }

    /// Waits until nothing more may be sent or taken. The library itself waits
    /// for calls under way, which may last; whoever runs one watches this.
    pub(super) async fn ended(&self) {
        let mut ended = self.ended.subscribe();
        // Fails only if the sender is gone, which this connection holds.
        drop(ended.wait_for(|ended| *ended).await);
    }

    /// Waits until the other end has proven itself.
    pub(super) async fn proven(&self) {
        let mut proven = self.proven.subscribe();
        // Fails only if the sender is gone, which this connection holds.
        drop(proven.wait_for(|proven| *proven).await);
    }
}
