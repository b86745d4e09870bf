//! Requests from the handle to the protocol's task.

use bytes::Bytes;
use cranberrygap_agreement::change;
use cranberrygap_model::{address, id};
use tokio::sync::oneshot;

use super::Error;
use crate::log;

/// Reply channel of a proposal.
pub(super) type ProposalReply = oneshot::Sender<Result<log::Committed, log::Error>>;

/// Reply channel of any other request that may be refused.
pub(super) type Reply = oneshot::Sender<Result<(), Error>>;

/// Membership change by instance name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    AddLearner,
    Promote,
    Remove,
}

/// Request to the task.
#[derive(Debug)]
pub(super) enum Request {
    Deliver {
        from: address::Peer,
        message: Bytes,
    },
    Propose {
        payload: Bytes,
        reply: ProposalReply,
    },
    ChangeByInstance {
        change: Change,
        instance: id::Instance,
        reply: Reply,
    },
    ChangeById(change::Change, Reply),
    GroupStatus(oneshot::Sender<Option<super::GroupStatus>>),
    Transfer(Reply),
    Dump(oneshot::Sender<serde_json::Value>),
    Stop(oneshot::Sender<()>),
}
