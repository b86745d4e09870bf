//! Keeps the view current through a subscription to any control process.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_link::{client, credential};
use cranberrygap_model::address;
use cranberrygap_wire::{method, view as wire_view};
use spdlog::{info, warn};

use crate::core;
use crate::view::source;

/// Time between checks of a source that sends nothing. Otherwise a lag would be noticed
/// only with the next frame, which a source that hangs never sends.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Task that receives the view's frames.
#[derive(Debug)]
pub(crate) struct Subscription {
    core: Arc<core::Core>,
    secret: Arc<credential::Holder>,
}

impl Subscription {
    /// Creates a task that [`Self::run`] starts.
    pub(crate) fn new(core: Arc<core::Core>, secret: Arc<credential::Holder>) -> Self {
        Self { core, secret }
    }

    /// Receives frames until the task is aborted, and changes the source when it fails.
    pub(crate) async fn run(self) {
        let mut next = usize::try_from(self.core.boot.0).unwrap_or_default();
        loop {
            let peers = self.core.peers.list();
            next = next.wrapping_add(1);
            if let Some(peer) = peers.get(next % peers.len().max(1))
                && let Err(cause) = self.follow(peer).await
            {
                warn!("view: lost {}: {cause}", peer.instance);
            }
            tokio::time::sleep(source::RECONNECT_DELAY.to_std()).await;
        }
    }

    async fn follow(&self, peer: &address::Peer) -> Result<(), cranberrygap_link::error::Error> {
        let role = credential::Role::Fleet;
        let client = client::Client::connect(peer.address, role, &self.secret.current()).await?;
        let request = wire_view::Subscribe {
            instance: self.core.instance().clone(),
            boot: self.core.boot,
            revision: self.core.view.revision(),
        };
        let mut frames = client
            .subscribe::<_, wire_view::Frame>(method::VIEW_SUBSCRIBE, &request)
            .await?;
        info!(
            "view: follows {} from revision {}",
            peer.instance, request.revision
        );
        self.core.view.set_source(peer.instance.clone());
        let mut source = source::Source::new(self.core.now());
        loop {
            // A connection that a device on the path has dropped stays open without any
            // error, and the view would become stale. The missing heartbeats reveal it.
            if let Some(failure) = source.failure(self.core.now(), &self.core.view) {
                warn!("view: leaves {}: {failure}", peer.instance);
                return Ok(());
            }
            let next = tokio::time::timeout(CHECK_INTERVAL, frames.next()).await;
            let Ok(next) = next else {
                continue;
            };
            let Some(frame) = next else {
                return Ok(());
            };
            source.record_frame(self.core.now());
            if let Err(cause) = self.core.view.apply_frame(frame?) {
                warn!("view: restarts the subscription: {cause}");
                return Ok(());
            }
            self.apply_view();
        }
    }

    fn apply_view(&self) {
        let Some(view) = self.core.view.latest() else {
            return;
        };
        self.core.limiter.apply_view(&view);
        self.core.router.apply_view(&view);
        self.core.endpoints.apply_view(self.core.now(), &view);
        let controls = view.control_members().map(|member| address::Peer {
            instance: member.instance.clone(),
            address: member.address,
        });
        self.core.peers.set_members(controls.collect());
    }
}
