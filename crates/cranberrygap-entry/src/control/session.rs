//! Calls to the control leader, wherever it is.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrygap_link::{client, credential};
use cranberrygap_model::{address, duration};
use cranberrygap_wire::method;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::peers;

/// Processes asked for the leader before a call gives up. One round over seven
/// control processes and one more for a leader that changed meanwhile.
const MOST_HOPS: usize = 8;

/// Time for which a process that did not answer is not asked again on the word of
/// another one; an election takes about a second.
const AVOIDED: Duration = Duration::from_millis(1_200);

/// Keeps one connection to the process that was leader last.
#[derive(Debug)]
pub(crate) struct Session {
    peers: Arc<peers::Peers>,
    secret: Arc<credential::Holder>,
    inner: Mutex<Inner>,
    connecting: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct Inner {
    target: Option<address::Socket>,
    client: Option<Arc<client::Client>>,
    position: usize,
    /// A process that did not answer, and when.
    avoided: Option<(address::Socket, Instant)>,
    /// Where the client is connected.
    reached: Option<address::Socket>,
}

impl Session {
    /// A session that will find the leader among `peers`.
    pub(crate) fn new(peers: Arc<peers::Peers>, secret: Arc<credential::Holder>) -> Self {
        Self {
            peers,
            secret,
            inner: Mutex::default(),
            connecting: tokio::sync::Mutex::default(),
        }
    }

    /// Calls the leader; follows redirections and tries other processes while it
    /// is certain that the call has not run.
    ///
    /// # Errors
    ///
    /// The last error; `not_sent` or a refusal prove that the call did not run.
    pub(crate) async fn call<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: &'static str,
        params: &P,
        deadline: duration::Span,
    ) -> Result<R, cranberrygap_link::error::Error> {
        let mut last = unreachable();
        for _hop in 0..MOST_HOPS {
            let client = match self.connected().await {
                Ok(client) => client,
                Err(error) => {
                    self.avoid_target();
                    self.rotate();
                    last = error;
                    continue;
                }
            };
            match client.call(method, params, deadline).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    let again = self.learn(&client, &error);
                    last = error;
                    if !again {
                        break;
                    }
                }
            }
        }
        Err(last)
    }

    /// Chooses where to go after `error`; true when the call surely did not run.
    fn learn(&self, failed: &Arc<client::Client>, error: &cranberrygap_link::error::Error) -> bool {
        match error {
            cranberrygap_link::error::Error::Refused {
                code: method::NOT_LEADER,
                data,
                ..
            } => {
                let leader = serde_json::from_value::<Option<address::Peer>>(data.clone());
                let leader = leader.ok().flatten();
                let leader = leader.map(|leader| self.peers.reached(&leader));
                match leader.filter(|leader| !self.is_avoided(*leader)) {
                    Some(leader) => self.turn_to(leader),
                    None => self.rotate(),
                }
                true
            }
            cranberrygap_link::error::Error::Refused { .. } => false,
            other => {
                self.forget(failed);
                other.not_sent()
            }
        }
    }

    /// Whether a process did not answer a moment ago.
    ///
    /// The others take a leader that stands still for the leader until they elect
    /// another one, and send whoever asks back to it.
    fn is_avoided(&self, target: address::Socket) -> bool {
        let inner = self.inner.lock();
        inner
            .avoided
            .is_some_and(|(at, since)| at == target && since.elapsed() < AVOIDED)
    }

    async fn connected(&self) -> Result<Arc<client::Client>, cranberrygap_link::error::Error> {
        if let Some(client) = self.live() {
            return Ok(client);
        }
        // One task connects; the others wait and then use its connection.
        let _guard = self.connecting.lock().await;
        if let Some(client) = self.live() {
            return Ok(client);
        }
        let target = self.target().ok_or_else(unreachable)?;
        let role = credential::Role::Fleet;
        let client = Arc::new(client::Client::connect(target, role, &self.secret.current()).await?);
        let mut inner = self.inner.lock();
        inner.client = Some(Arc::clone(&client));
        inner.reached = Some(target);
        drop(inner);
        Ok(client)
    }

    fn live(&self) -> Option<Arc<client::Client>> {
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
            let next = peers.get(inner.position % peers.len().max(1));
            next.map(|peer| self.peers.reached(peer))
        })
    }

    fn turn_to(&self, target: address::Socket) {
        let mut inner = self.inner.lock();
        inner.target = Some(target);
        inner.client = None;
    }

    /// The process that is to be asked next cannot be reached.
    fn avoid_target(&self) {
        let target = self.target();
        self.inner.lock().avoided = target.map(|target| (target, Instant::now()));
    }

    fn rotate(&self) {
        let mut inner = self.inner.lock();
        inner.position = inner.position.wrapping_add(1);
        inner.target = None;
        inner.client = None;
    }

    fn forget(&self, failed: &Arc<client::Client>) {
        let mut inner = self.inner.lock();
        let is_held = inner
            .client
            .as_ref()
            .is_some_and(|held| Arc::ptr_eq(held, failed));
        if is_held {
            inner.client = None;
            inner.avoided = inner.reached.take().map(|at| (at, Instant::now()));
            inner.target = None;
            inner.position = inner.position.wrapping_add(1);
        }
    }
}

fn unreachable() -> cranberrygap_link::error::Error {
    cranberrygap_link::error::Error::Unreachable {
        reason: "no control process answered".into(),
    }
}
