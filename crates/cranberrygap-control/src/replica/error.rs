//! Errors of a replica.

use cranberrygap_agreement::output;
use cranberrygap_model::{address, id};
use cranberrygap_storage::error;

/// Reason why a replica did not start or refused a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] error::Error),
    /// The state machine rejects the snapshot in the folder.
    #[error("the snapshot in the folder cannot be restored: {0}")]
    Restore(String),
    /// The operating system returned no random number.
    #[error("no random number: {0}")]
    Random(String),
    /// The thread for disk writes could not be started.
    #[error("no thread for the disk: {0}")]
    Thread(#[source] std::io::Error),
    /// Another control process leads, or none.
    #[error("this control process is not the leader")]
    NotLeader {
        /// Leader, if known.
        leader: Option<address::Peer>,
    },
    /// The group refuses the change at present.
    #[error("{0}")]
    Refused(output::Refusal),
    /// No replica of this instance has presented itself.
    #[error("{0} has not presented itself; start it with these voters in its settings")]
    NotHeard(id::Instance),
    /// It is not known whether the change commits.
    #[error("no quorum answered in time; whether the change commits is not known")]
    Unknown,
    /// The process is stopping.
    #[error("this control process is stopping")]
    Stopping,
}
