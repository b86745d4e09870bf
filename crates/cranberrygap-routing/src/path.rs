//! Whether an entry reaches the endpoints at all.
//!
//! One endpoint that takes no connection says something of itself; several say something of the
//! entry's own path. A round of probes to others decides before the path counts as cut, and two
//! good rounds in a row before it counts as direct again.

use cranberrygap_model::id;
use smallvec::SmallVec;

/// Endpoints that took no connection since one did, after which the path is checked.
const FAILED_BEFORE_CHECK: usize = 2;

/// Good rounds of probes in a row after which a cut path counts as direct again. Hysteresis
/// keeps a path that loses packets from changing with each round.
const GOOD_ROUNDS: u32 = 2;

/// What is known of the path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum State {
    /// Endpoints can be reached.
    #[default]
    Direct,
    /// Several could not; probes are under way.
    Checked,
    /// None can be reached.
    Cut {
        /// Good rounds of probes in a row.
        good_rounds: u32,
    },
}

/// An entry's path to its endpoints.
#[derive(Debug, Clone, Default)]
pub struct Path {
    state: State,
    /// Endpoints that took no connection since one did.
    failed: SmallVec<[id::Endpoint; FAILED_BEFORE_CHECK]>,
}

impl Path {
    /// What is known of the path.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether no endpoint can be reached.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        matches!(self.state, State::Cut { .. })
    }

    /// Endpoints that took no connection since one did.
    #[must_use]
    pub fn failed(&self) -> &[id::Endpoint] {
        &self.failed
    }

    /// Records that an endpoint took a connection. While the path counts as cut, only rounds of
    /// probes decide.
    pub fn record_success(&mut self) {
        if !self.is_cut() {
            self.failed.clear();
        }
    }

    /// Records that an endpoint took no connection; true if rounds of probes have to begin.
    pub fn record_failure(&mut self, endpoint: &id::Endpoint) -> bool {
        if self.state != State::Direct {
            return false;
        }
        if !self.failed.contains(endpoint) {
            self.failed.push(endpoint.clone());
        }
        if self.failed.len() < FAILED_BEFORE_CHECK {
            return false;
        }
        self.state = State::Checked;
        true
    }

    /// Records a round of probes, of which some reached their endpoints; true if another round
    /// is needed.
    pub fn record_round(&mut self, probed: usize, reached: usize) -> bool {
        let is_good = reached * 2 > probed;
        self.state = match self.state {
            State::Cut { good_rounds } if is_good && good_rounds + 1 < GOOD_ROUNDS => State::Cut {
                good_rounds: good_rounds + 1,
            },
            State::Cut { .. } if !is_good => State::Cut { good_rounds: 0 },
            State::Checked if reached == 0 => State::Cut { good_rounds: 0 },
            _ => State::Direct,
        };
        if self.state == State::Direct {
            self.failed.clear();
        }
        self.is_cut()
    }
}
