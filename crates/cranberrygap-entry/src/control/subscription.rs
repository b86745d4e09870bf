//! Keeps the view current over a subscription to any control process.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_link::{client, credential};
use cranberrygap_model::address;
use cranberrygap_wire::{method, view as wire_view};
use spdlog::{info, warn};

use crate::core;
use crate::view::source;

/// Time between two looks at a source that sends nothing. Without one, a lag would be
/// noticed only with the next frame, which a source that stands still never sends.
const LOOK: Duration = Duration::from_millis(100);

/// The task that follows the view.
#[derive(Debug)]
pub(crate) struct Subscription {
    core: Arc<core::Core>,
    secret: Arc<credential::Holder>,
}

impl Subscription {
    /// A task that has not started yet.
    pub(crate) fn new(core: Arc<core::Core>, secret: Arc<credential::Holder>) -> Self {
        Self { core, secret }
    }

    /// Follows the view for ever, from one control process or another.
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
            tokio::time::sleep(source::PAUSE.to_std()).await;
        }
    }

    async fn follow(&self, peer: &address::Peer) -> Result<(), cranberrygap_link::error::Error> {
        let role = credential::Role::Fleet;
        let client = client::Client::connect(peer.address, role, &self.secret.current()).await?;
        let wanted = wire_view::Subscribe {
            instance: self.core.instance().clone(),
            boot: self.core.boot,
            revision: self.core.view.revision(),
        };
        let mut frames = client
            .subscribe::<_, wire_view::Frame>(method::VIEW_SUBSCRIBE, &wanted)
            .await?;
        info!(
            "view: follows {} from revision {}",
            peer.instance, wanted.revision
        );
        self.core.view.follow(peer.instance.clone());
        let mut source = source::Source::new(self.core.now());
        loop {
            // A connection that something between the ends has forgotten stays open
            // and silent. The view would grow stale without any error; the missing
            // heartbeat shows it.
            if let Some(loss) = source.loss(self.core.now(), &self.core.view) {
                warn!("view: leaves {}: {loss}", peer.instance);
                return Ok(());
            }
            let next = tokio::time::timeout(LOOK, frames.next()).await;
            let Ok(next) = next else {
                continue;
            };
            let Some(frame) = next else {
                return Ok(());
            };
            source.hear(self.core.now());
            if let Err(cause) = self.core.view.take(frame?) {
                warn!("view: starts anew: {cause}");
                return Ok(());
            }
            self.publish();
        }
    }

    fn publish(&self) {
        let Some(view) = self.core.view.latest() else {
            return;
        };
        self.core.limiter.apply_view(&view);
        self.core.router.apply_view(&view);
        self.core.endpoints.apply_view(self.core.now(), &view);
        let controls = view.controls().map(|member| address::Peer {
            instance: member.instance.clone(),
            address: member.address,
        });
        self.core.peers.set_seen(controls.collect());
    }
}
