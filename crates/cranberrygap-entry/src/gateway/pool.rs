//! Connections to endpoints that wait for their next request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cranberrygap_model::address;
use parking_lot::Mutex;

use super::line;

/// Time that a connection waits for a request that may run once only. Something on
/// the way, or the endpoint, may close or forget an idle connection; a request that
/// meets such a one is lost, and nobody can tell whether it ran.
const CAREFUL: Duration = Duration::from_millis(1_500);

/// Time that a connection waits for any other request.
const IDLE: Duration = Duration::from_secs(4);

/// Connections that wait for one endpoint.
const MOST_IDLE: usize = 16;

/// Idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<address::Socket, Vec<Waiting>>>,
}

#[derive(Debug)]
struct Waiting {
    line: line::Line,
    since: Instant,
}

impl Waiting {
    fn is_usable(&self) -> bool {
        let longest = IDLE.min(self.line.idle_time());
        self.line.is_usable() && self.since.elapsed() < longest
    }
}

impl Pool {
    /// The connection that was used last, or a new one.
    ///
    /// # Errors
    ///
    /// When no connection can be opened; nothing was sent then.
    pub(crate) async fn take(
        &self,
        address: address::Socket,
        careful: bool,
    ) -> std::io::Result<line::Line> {
        if let Some(line) = self.take_idle(address, careful) {
            return Ok(line);
        }
        line::Line::open(address).await
    }

    fn take_idle(&self, address: address::Socket, careful: bool) -> Option<line::Line> {
        let longest = if careful { CAREFUL } else { IDLE };
        let mut idle = self.idle.lock();
        let waiting = idle.get_mut(&address)?;
        waiting.retain(Waiting::is_usable);
        let fresh = waiting.last()?.since.elapsed() < longest;
        let mut line = waiting.pop_if(|_| fresh)?.line;
        line.reuse();
        Some(line)
    }

    /// Keeps a connection whose last answer is whole.
    pub(crate) fn put(&self, line: line::Line) {
        if !line.is_usable() {
            return;
        }
        let mut idle = self.idle.lock();
        let waiting = idle.entry(line.address()).or_default();
        if waiting.len() >= MOST_IDLE {
            waiting.remove(0);
        }
        let since = Instant::now();
        waiting.push(Waiting { line, since });
    }

    /// Closes what has waited too long.
    pub(crate) fn sweep(&self) {
        self.idle.lock().retain(|_, waiting| {
            waiting.retain(Waiting::is_usable);
            !waiting.is_empty()
        });
    }
}
