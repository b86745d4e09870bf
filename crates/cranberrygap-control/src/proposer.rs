//! Proposes commands to the log and decodes their answers.

use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_link::server;
use cranberrygap_model::address;
use cranberrygap_state::{answer, command};
use cranberrygap_wire::method;

use crate::log;
use crate::replicated;

/// Proposer of commands by this process.
#[derive(Debug, Clone)]
pub struct Proposer {
    log: Arc<dyn log::Log>,
}

impl Proposer {
    /// Creates a proposer for `log`.
    #[must_use]
    pub fn new(log: Arc<dyn log::Log>) -> Self {
        Self { log }
    }

    /// Returns the group's status as this process knows it.
    #[must_use]
    pub fn status(&self) -> log::Status {
        self.log.status()
    }

    /// Fails unless this process leads at this moment.
    ///
    /// # Errors
    ///
    /// A fault that names the leader.
    pub fn check_leads(&self) -> Result<log::Status, server::Fault> {
        let status = self.log.status();
        if status.leads {
            return Ok(status);
        }
        Err(not_leader(status.leader.as_ref()))
    }

    /// Commits a command and returns the state's answer.
    ///
    /// # Errors
    ///
    /// A fault that tells whether the command may still be committed.
    ///
    /// # Panics
    ///
    /// Never; commands have text keys only.
    pub async fn propose(
        &self,
        command: command::Command,
    ) -> Result<answer::Answer, server::Fault> {
        self.check_leads()?;
        let at = clock::unix_millis();
        let payload = replicated::encode(&command::Proposal { at, command });
        let committed = self.log.propose(payload).await;
        let committed = committed.map_err(|cause| to_fault(&cause))?;
        match replicated::decode_answer(&committed.answer) {
            answer::Answer::Refused(reason) => Err(server::Fault::new(method::REFUSED, reason)),
            answer => Ok(answer),
        }
    }
}

fn to_fault(cause: &log::Error) -> server::Fault {
    let message = cause.to_string();
    match cause {
        log::Error::NotLeader { leader } => not_leader(leader.as_ref()),
        log::Error::Unknown => server::Fault::new(method::UNKNOWN_OUTCOME, message),
        log::Error::TooLarge { .. } => server::Fault::new(method::REFUSED, message),
        log::Error::Full | log::Error::Stopping => server::Fault::new(method::NO_QUORUM, message),
    }
}

fn not_leader(leader: Option<&address::Peer>) -> server::Fault {
    let message = match leader {
        Some(leader) => format!(
            "this control process is not the leader; {} is",
            leader.instance
        ),
        None => "there is no leader now; ask again in a second".to_owned(),
    };
    let data = serde_json::json!(leader);
    server::Fault::new(method::NOT_LEADER, message).with_data(data)
}

/// Returns the fault for an answer that does not belong to its command.
#[must_use]
pub fn unexpected_answer_fault(answer: &answer::Answer) -> server::Fault {
    let message = format!("the state returned an unexpected answer: {answer:?}");
    server::Fault::new(method::REFUSED, message)
}
