//! Evidence of an endpoint's death.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_policy::quarantine::suspects;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time;

use crate::core;
use crate::dial;
use crate::reach;

use super::Place;

/// Longest wait for one connection; endpoints are some milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Connections that are tried. One that gets no answer proves nothing, since a link may lose
/// packets.
const MAX_ATTEMPTS: u32 = 3;

/// Time between two attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(250);

/// Checks in progress, one for each boot of an endpoint; all requests that broke there wait for
/// the same one.
#[derive(Debug, Default)]
pub(super) struct Checks {
    running: Mutex<BTreeMap<suspects::Incarnation, watch::Receiver<Option<bool>>>>,
}

/// Checks in the background whether an endpoint is dead; its requests are reported then.
pub(super) fn check(core: &Arc<core::Core>, place: &Place) {
    let is_dead = core.quarantine.tracker.lock().is_dead(&place.incarnation());
    if is_dead {
        record_death(core, &place.incarnation());
    } else {
        drop(join(core, place));
    }
}

/// Checks whether an endpoint is dead; its requests are reported then.
pub(super) async fn check_and_wait(core: &Arc<core::Core>, place: &Place) -> bool {
    let incarnation = place.incarnation();
    if core.quarantine.tracker.lock().is_dead(&incarnation) {
        record_death(core, &incarnation);
        return true;
    }
    let mut result = join(core, place);
    match result.wait_for(Option::is_some).await {
        Ok(is_dead) => *is_dead == Some(true),
        // The check ended without a result, as when the process stops.
        Err(_closed) => false,
    }
}

/// Starts a check, or joins the one in progress.
fn join(core: &Arc<core::Core>, place: &Place) -> watch::Receiver<Option<bool>> {
    let mut running = core.quarantine.checks.running.lock();
    let incarnation = place.incarnation();
    if let Some(result) = running.get(&incarnation) {
        return result.clone();
    }
    let (sender, result) = watch::channel(None);
    running.insert(incarnation.clone(), result.clone());
    let (core, address) = (Arc::clone(core), place.address.0);
    tokio::spawn(async move {
        // A refusal proves nothing while this entry reaches no endpoint at all.
        let is_dead = refuses_connections(&*core.dialer, address).await
            && reach::reaches_others(&core, &incarnation.endpoint).await;
        if is_dead {
            record_death(&core, &incarnation);
        }
        core.quarantine.checks.running.lock().remove(&incarnation);
        sender.send_replace(Some(is_dead));
    });
    result
}

/// Whether nothing listens at an address. An endpoint with too many connections, or behind a
/// cut link, does not refuse them.
async fn refuses_connections(dialer: &dyn dial::Dial, address: SocketAddr) -> bool {
    for attempt in 1..=MAX_ATTEMPTS {
        match time::timeout(CONNECT_TIMEOUT, dialer.connect(address)).await {
            Ok(Ok(_connection)) => return false,
            Ok(Err(cause)) if cause.kind() == std::io::ErrorKind::ConnectionRefused => return true,
            Ok(Err(cause)) => {
                spdlog::debug!("quarantine: connecting to {address} failed: {cause}");
            }
            Err(_elapsed) => {}
        }
        if attempt < MAX_ATTEMPTS {
            time::sleep(ATTEMPT_INTERVAL).await;
        }
    }
    false
}

fn record_death(core: &core::Core, incarnation: &suspects::Incarnation) {
    let crash = core
        .quarantine
        .tracker
        .lock()
        .record_death(core.now(), incarnation);
    if let Some(crash) = crash {
        super::report_crash(core, crash);
    }
}
