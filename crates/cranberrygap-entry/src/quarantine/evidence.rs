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

/// Time after a response that ended with its connection in which other responses may show that
/// the endpoint is alive.
const CONFIRMATION_TIME: Duration = Duration::from_millis(200);

/// What a check found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// The endpoint refuses connections, and others can be reached.
    Dead,
    /// It takes connections.
    Alive,
    /// Neither is certain.
    Unknown,
}

/// Checks in progress, one for each boot of an endpoint; all requests that broke there wait for
/// the same one.
#[derive(Debug, Default)]
pub(super) struct Checks {
    running: Mutex<BTreeMap<suspects::Incarnation, watch::Receiver<Option<Finding>>>>,
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
    find(core, place).await == Finding::Dead
}

/// Checks an endpoint, or waits for the check in progress.
async fn find(core: &Arc<core::Core>, place: &Place) -> Finding {
    let mut result = join(core, place);
    let found = result.wait_for(Option::is_some).await;
    // A check ends without a result when the process stops.
    found
        .ok()
        .and_then(|found| *found)
        .unwrap_or(Finding::Unknown)
}

/// Finds out whether an endpoint was alive after a response that ended with its connection.
pub(super) async fn confirm(core: &Arc<core::Core>, place: &Place, number: u64) -> bool {
    let incarnation = place.incarnation();
    let is_unconfirmed = || {
        let tracker = core.quarantine.tracker.lock();
        tracker.is_unconfirmed(&incarnation, number)
    };
    time::sleep(CONFIRMATION_TIME).await;
    if !is_unconfirmed() {
        // Another response has shown that it was alive, or it is dead.
        return !core.quarantine.tracker.lock().is_dead(&incarnation);
    }
    let since = core.now();
    match find(core, place).await {
        Finding::Alive => {
            super::record_alive(core, &incarnation, since);
            true
        }
        Finding::Dead => false,
        Finding::Unknown => {
            let mut tracker = core.quarantine.tracker.lock();
            let ending = suspects::Ending::Incomplete;
            tracker.finish_request(core.now(), &incarnation, number, ending);
            false
        }
    }
}

/// Starts a check, or joins the one in progress.
fn join(core: &Arc<core::Core>, place: &Place) -> watch::Receiver<Option<Finding>> {
    let mut running = core.quarantine.checks.running.lock();
    let incarnation = place.incarnation();
    if let Some(result) = running.get(&incarnation) {
        return result.clone();
    }
    let (sender, result) = watch::channel(None);
    running.insert(incarnation.clone(), result.clone());
    let (core, address) = (Arc::clone(core), place.address.0);
    tokio::spawn(async move {
        let mut found = try_connecting(&*core.dialer, address).await;
        // A refusal proves nothing while this entry reaches no endpoint at all.
        if found == Finding::Dead && !reach::reaches_others(&core, &incarnation.endpoint).await {
            found = Finding::Unknown;
        }
        if found == Finding::Dead {
            record_death(&core, &incarnation);
        }
        core.quarantine.checks.running.lock().remove(&incarnation);
        sender.send_replace(Some(found));
    });
    result
}

/// Finds out whether something listens at an address. An endpoint with too many connections, or
/// behind a cut link, does not refuse them.
async fn try_connecting(dialer: &dyn dial::Dial, address: SocketAddr) -> Finding {
    for attempt in 1..=MAX_ATTEMPTS {
        match time::timeout(CONNECT_TIMEOUT, dialer.connect(address)).await {
            Ok(Ok(_connection)) => return Finding::Alive,
            Ok(Err(cause)) if cause.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Finding::Dead;
            }
            Ok(Err(cause)) => {
                spdlog::debug!("quarantine: connecting to {address} failed: {cause}");
            }
            Err(_elapsed) => {}
        }
        if attempt < MAX_ATTEMPTS {
            time::sleep(ATTEMPT_INTERVAL).await;
        }
    }
    Finding::Unknown
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
