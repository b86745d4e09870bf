//! Keeps the view current through a subscription to any control process.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_link::{client, credential, error};
use cranberrygap_model::{address, duration};
use cranberrygap_wire::{method, view as wire_view};
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use spdlog::{info, warn};

use crate::core;
use crate::quarantine;
use crate::view::{self, preference, source};

/// Time between checks of a source that sends nothing. Otherwise a lag would be noticed
/// only with the next frame, which a source that hangs never sends.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time for which a source is followed before a better one is tried, and the time that
/// is added by the entry's boot, so that not all entries change at once.
const MIN_FOLLOW_TIME: duration::Span = duration::Span::from_millis(500);
const FOLLOW_TIME_SPREAD: duration::Span = duration::Span::from_millis(1_500);

/// Task that receives the view's frames.
#[derive(Debug)]
pub(crate) struct Subscription {
    core: Arc<core::Core>,
    secret: Arc<credential::Holder>,
    preference: preference::Preference,
    /// Whether the next source must send the whole state, since updates did not fit the view.
    needs_whole: bool,
}

/// An open stream of frames.
struct Stream {
    peer: address::Peer,
    /// Keeps the connection open.
    _client: client::Client,
    frames: client::Subscription<wire_view::Frame>,
    /// View that the first frames led to, if they were read already.
    caught_up: Option<Arc<view::Snapshot>>,
}

/// A control process that is being tried, with the stream that it opens.
struct Attempt {
    peer: address::Peer,
    opening: BoxFuture<'static, Result<Stream, error::Error>>,
}

impl Subscription {
    /// Creates a task that [`Self::run`] starts.
    pub(crate) fn new(core: Arc<core::Core>, secret: Arc<credential::Holder>) -> Self {
        let preference = preference::Preference::new(core.boot.0);
        Self {
            core,
            secret,
            preference,
            needs_whole: false,
        }
    }

    /// Receives frames until the task is aborted, and changes the source when it fails.
    pub(crate) async fn run(mut self) {
        let mut turn = usize::try_from(self.core.boot.0).unwrap_or_default();
        loop {
            turn = turn.wrapping_add(1);
            let peers = self.core.peers.list();
            let by_turn = || peers.get(turn % peers.len().max(1)).cloned();
            if let Some(peer) = self.preferred_peer(&peers).or_else(by_turn) {
                self.follow_from(peer).await;
            }
            tokio::time::sleep(source::RECONNECT_DELAY.to_std()).await;
        }
    }

    /// Follows a control process, and then each better one, until one fails.
    async fn follow_from(&mut self, first: address::Peer) {
        let mut next = self.open(&first, self.core.view.latest()).await;
        let mut peer = first;
        loop {
            let ended = match next {
                Ok(stream) => {
                    peer = stream.peer.clone();
                    self.follow(stream).await
                }
                Err(cause) => Err(cause),
            };
            match ended {
                Ok(Some(better)) => next = Ok(better),
                Ok(None) => break,
                Err(cause) => {
                    warn!("view: lost {}: {cause}", peer.instance);
                    break;
                }
            }
        }
        self.preference
            .record_failure(self.core.now(), &peer.instance);
    }

    /// Opens the stream of a control process, which goes on from `held` if the process can.
    fn open(
        &self,
        peer: &address::Peer,
        held: Option<Arc<view::Snapshot>>,
    ) -> impl Future<Output = Result<Stream, error::Error>> + Send + 'static {
        let (core, secret, peer) = (
            Arc::clone(&self.core),
            Arc::clone(&self.secret),
            peer.clone(),
        );
        let needs_whole = self.needs_whole;
        async move {
            let role = credential::Role::Fleet;
            let (secret, meter) = (secret.current(), core.traffic.meter());
            let client = client::Client::connect_metered(peer.address, role, &secret, meter);
            let client = client.await?;
            let request = wire_view::Subscribe {
                instance: core.instance().clone(),
                boot: core.boot,
                revision: held
                    .as_ref()
                    .map(|held| held.revision())
                    .unwrap_or_default(),
                founded: held
                    .and_then(|held| held.founded())
                    .filter(|_| !needs_whole),
            };
            let frames = client
                .subscribe::<_, wire_view::Frame>(method::VIEW_SUBSCRIBE, &request)
                .await?;
            info!(
                "view: follows {} from revision {}",
                peer.instance, request.revision
            );
            Ok(Stream {
                peer,
                _client: client,
                frames,
                caught_up: None,
            })
        }
    }

    /// Opens the stream of a control process and reads it until it is as new as the view of the
    /// present source. A snapshot is older than what that source sends while it is opened.
    fn open_caught_up(
        &self,
        peer: &address::Peer,
    ) -> impl Future<Output = Result<Stream, error::Error>> + Send + 'static {
        let core = Arc::clone(&self.core);
        let held = core.view.latest();
        let opening = self.open(peer, held.clone());
        async move {
            let mut stream = opening.await?;
            let separate = view::Holder::default();
            if let Some(held) = held {
                // A view is never older than none.
                let _adopted = separate.adopt(held);
            }
            loop {
                let frame = stream.frames.next().await.ok_or(error::Error::Closed)??;
                separate
                    .apply_frame(frame)
                    .map_err(|cause| error::Error::Malformed {
                        reason: cause.to_string().into(),
                    })?;
                if separate.revision() >= core.view.revision() {
                    break;
                }
            }
            stream.caught_up = separate.latest();
            Ok(stream)
        }
    }

    /// Receives frames until the stream fails. Returns a better stream if one is open.
    async fn follow(&mut self, mut stream: Stream) -> Result<Option<Stream>, error::Error> {
        let instance = stream.peer.instance.clone();
        self.core.view.set_source(instance.clone());
        if let Some(caught_up) = stream.caught_up.take() {
            if let Err(cause) = self.core.view.adopt(caught_up) {
                warn!("view: restarts the subscription: {cause}");
                return Ok(None);
            }
            self.apply_view();
        }
        let mut source = source::Source::new(self.core.now());
        let may_change_at = self.core.now().after(self.follow_time());
        let mut attempt: Option<Attempt> = None;
        loop {
            // A connection that a device on the path has dropped stays open without any
            // error, and the view would become stale. The missing heartbeats reveal it.
            if let Some(failure) = source.failure(self.core.now(), &self.core.view) {
                warn!("view: leaves {instance}: {failure}");
                return Ok(None);
            }
            if attempt.is_none() && self.core.now() >= may_change_at {
                attempt = self.try_better(&stream.peer);
            }
            let opening = async {
                match &mut attempt {
                    Some(attempt) => attempt.opening.as_mut().await,
                    None => std::future::pending().await,
                }
            };
            let next = tokio::select! {
                opened = opening => {
                    match opened {
                        Ok(better) => return Ok(Some(better)),
                        Err(cause) => self.drop_attempt(attempt.take(), &cause),
                    }
                    continue;
                }
                next = tokio::time::timeout(CHECK_INTERVAL, stream.frames.next()) => next,
            };
            let Ok(next) = next else {
                continue;
            };
            let Some(frame) = next else {
                return Ok(None);
            };
            source.record_frame(self.core.now());
            if let Err(cause) = self.core.view.apply_frame(frame?) {
                warn!("view: restarts the subscription: {cause}");
                // The same updates would fail again.
                self.needs_whole = true;
                return Ok(None);
            }
            self.needs_whole = false;
            self.apply_view();
        }
    }

    /// Begins to open the stream of a control process that is preferred to `current`, if there is
    /// one. The current one is followed until then.
    fn try_better(&self, current: &address::Peer) -> Option<Attempt> {
        let peers = self.core.peers.list();
        let peer = self.preferred_peer(&peers)?;
        if peer.instance == current.instance {
            return None;
        }
        let opening = self.open_caught_up(&peer).boxed();
        Some(Attempt { peer, opening })
    }

    fn drop_attempt(&mut self, attempt: Option<Attempt>, cause: &error::Error) {
        if let Some(attempt) = attempt {
            let instance = &attempt.peer.instance;
            info!("view: could not change to {instance}: {cause}");
            self.preference.record_failure(self.core.now(), instance);
        }
    }

    /// Time for which this entry follows a source before it tries a better one.
    fn follow_time(&self) -> duration::Span {
        let spread = self.core.boot.0 % FOLLOW_TIME_SPREAD.0;
        duration::Span(MIN_FOLLOW_TIME.0 + spread)
    }

    /// The control process that this entry prefers to follow, once it knows all of them.
    fn preferred_peer(&self, peers: &[address::Peer]) -> Option<address::Peer> {
        let known = &self.core.peers;
        let leader = self.core.leader.leader_address();
        let candidates = peers.iter().map(|peer| preference::Candidate {
            instance: peer.instance.clone(),
            is_near: known.is_near(&peer.instance),
            leads: leader == Some(known.address_of(peer)),
        });
        let candidates: Vec<preference::Candidate> = candidates.collect();
        let chosen = self.preference.choose(self.core.now(), &candidates)?;
        peers.get(chosen).cloned()
    }

    fn apply_view(&self) {
        let Some(view) = self.core.view.latest() else {
            return;
        };
        self.core.limiter.apply_view(&view);
        self.core.router.apply_view(&view);
        self.core.endpoints.apply_view(self.core.now(), &view);
        self.core.origins.apply_view(self.core.now(), &view);
        self.core.traffic.apply_view(&view);
        quarantine::apply_view(&self.core, &view);
        let controls = view.control_members().map(|member| address::Peer {
            instance: member.instance.clone(),
            address: member.address,
        });
        self.core.peers.set_members(controls.collect());
        let own_domain = &self.core.settings.entry.domain;
        let near = view.control_members();
        let near = near.filter(|member| member.domain == *own_domain);
        let near = near.map(|member| member.instance.clone());
        self.core.peers.set_near(near.collect());
    }
}
