//! Calls to the control leader, with discovery of the current leader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrygap_link::{client, credential, traffic};
use cranberrygap_model::{address, duration};
use cranberrygap_wire::method;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::peers;

/// Attempts per call to reach the leader: one for each of seven control processes and one
/// more for a leader that changed meanwhile.
const MAX_HOPS: usize = 8;

/// Time during which redirections to a process that did not answer are ignored. An
/// election takes about a second.
const AVOIDANCE_TIME: Duration = Duration::from_millis(1_200);

/// Connection to the last known leader.
#[derive(Debug)]
pub(crate) struct Session {
    peers: Arc<peers::Peers>,
    secret: Arc<credential::Holder>,
    meter: Arc<traffic::Meter>,
    inner: Mutex<Inner>,
    connecting: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct Inner {
    target: Option<address::Socket>,
    client: Option<Arc<client::Client>>,
    next_peer: usize,
    /// Last process that did not answer, and the time of that failure.
    avoided: Option<(address::Socket, Instant)>,
    /// Address that the client is connected to.
    connected_to: Option<address::Socket>,
}

impl Session {
    /// Creates a session that searches for the leader among `peers` and counts its traffic with
    /// `meter`.
    pub(crate) fn new(
        peers: Arc<peers::Peers>,
        secret: Arc<credential::Holder>,
        meter: Arc<traffic::Meter>,
    ) -> Self {
        Self {
            peers,
            secret,
            meter,
            inner: Mutex::default(),
            connecting: tokio::sync::Mutex::default(),
        }
    }

    /// Address of the process that answers calls to the leader, while there is one.
    pub(crate) fn leader_address(&self) -> Option<address::Socket> {
        self.inner.lock().connected_to
    }

    /// Calls the leader. Follows redirections and tries other processes as long as the
    /// call is known not to have run.
    ///
    /// # Errors
    ///
    /// Returns the last error; `not_sent` or a refusal prove that the call did not run.
    pub(crate) async fn call<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: &'static str,
        params: &P,
        deadline: duration::Span,
    ) -> Result<R, cranberrygap_link::error::Error> {
        let mut last_error = unreachable_error();
        for _hop in 0..MAX_HOPS {
            let client = match self.connected_client().await {
                Ok(client) => client,
                Err(error) => {
                    self.mark_target_avoided();
                    self.select_next_peer();
                    last_error = error;
                    continue;
                }
            };
            match client.call(method, params, deadline).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    let may_retry = self.handle_error(&client, &error);
                    last_error = error;
                    if !may_retry {
                        break;
                    }
                }
            }
        }
        Err(last_error)
    }

    /// Selects the next target after `error`; true when the call is known not to have run.
    fn handle_error(
        &self,
        failed: &Arc<client::Client>,
        error: &cranberrygap_link::error::Error,
    ) -> bool {
        match error {
            cranberrygap_link::error::Error::Refused {
                code: method::NOT_LEADER,
                data,
                ..
            } => {
                let leader = serde_json::from_value::<Option<address::Peer>>(data.clone());
                let leader = leader.ok().flatten();
                let leader = leader.map(|leader| self.peers.address_of(&leader));
                match leader.filter(|leader| !self.is_avoided(*leader)) {
                    Some(leader) => self.set_target(leader),
                    None => self.select_next_peer(),
                }
                true
            }
            cranberrygap_link::error::Error::Refused { .. } => false,
            other => {
                self.discard_client(failed);
                other.not_sent()
            }
        }
    }

    /// Whether a process recently did not answer.
    ///
    /// Until the next election, the other processes still redirect callers to a leader
    /// that hangs.
    fn is_avoided(&self, target: address::Socket) -> bool {
        let inner = self.inner.lock();
        inner
            .avoided
            .is_some_and(|(at, since)| at == target && since.elapsed() < AVOIDANCE_TIME)
    }

    async fn connected_client(
        &self,
    ) -> Result<Arc<client::Client>, cranberrygap_link::error::Error> {
        if let Some(client) = self.open_client() {
            return Ok(client);
        }
        // One task connects; the others wait and reuse its connection.
        let _guard = self.connecting.lock().await;
        if let Some(client) = self.open_client() {
            return Ok(client);
        }
        let target = self.target().ok_or_else(unreachable_error)?;
        let role = credential::Role::Fleet;
        let secret = self.secret.current();
        let connecting = client::Client::connect_metered(target, role, &secret, &self.meter);
        let client = Arc::new(connecting.await?);
        let mut inner = self.inner.lock();
        inner.client = Some(Arc::clone(&client));
        inner.connected_to = Some(target);
        drop(inner);
        Ok(client)
    }

    fn open_client(&self) -> Option<Arc<client::Client>> {
        let inner = self.inner.lock();
        inner
            .client
            .as_ref()
            .filter(|client| !client.is_closed())
            .cloned()
    }

    fn target(&self) -> Option<address::Socket> {
        let inner = self.inner.lock();
        inner.target.or_else(|| {
            let peers = self.peers.list();
            let next = peers.get(inner.next_peer % peers.len().max(1));
            next.map(|peer| self.peers.address_of(peer))
        })
    }

    fn set_target(&self, target: address::Socket) {
        let mut inner = self.inner.lock();
        inner.target = Some(target);
        inner.client = None;
    }

    /// Records that the current target is unreachable.
    fn mark_target_avoided(&self) {
        let target = self.target();
        self.inner.lock().avoided = target.map(|target| (target, Instant::now()));
    }

    fn select_next_peer(&self) {
        let mut inner = self.inner.lock();
        inner.next_peer = inner.next_peer.wrapping_add(1);
        inner.target = None;
        inner.client = None;
    }

    fn discard_client(&self, failed: &Arc<client::Client>) {
        let mut inner = self.inner.lock();
        let is_current = inner
            .client
            .as_ref()
            .is_some_and(|current| Arc::ptr_eq(current, failed));
        if is_current {
            inner.client = None;
            inner.avoided = inner.connected_to.take().map(|at| (at, Instant::now()));
            inner.target = None;
            inner.next_peer = inner.next_peer.wrapping_add(1);
        }
    }
}

fn unreachable_error() -> cranberrygap_link::error::Error {
    cranberrygap_link::error::Error::Unreachable {
        reason: "no control process answered".into(),
    }
}
