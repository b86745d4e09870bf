//! Why a command did not do what was asked, and its exit code.

use std::process::ExitCode;

use cranberrygap_link::{credential, error};
use cranberrygap_model::{id, number};
use cranberrygap_wire::{ini, method, operator};

const FAILED: u8 = 1;
const WRONG_USAGE: u8 = 2;
const CONFLICT: u8 = 3;
const UNKNOWN: u8 = 4;

/// Why a command did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No control process could be asked; nothing was changed.
    #[error("nothing was changed: no control process answered as leader ({last})")]
    Unreachable {
        /// What the last one said.
        last: error::Error,
    },
    /// The change was sent; whether it was made is not known.
    #[error("it is not known whether change {change} was made ({last})")]
    Unknown {
        /// The change's id.
        change: id::Change,
        /// What the last control process said.
        last: error::Error,
    },
    /// The key was sent; whether it was issued is not known.
    #[error("it is not known whether key {key} was issued ({last}); its secret is lost")]
    UnknownKey {
        /// The key's public id.
        key: id::Key,
        /// What the last control process said.
        last: error::Error,
    },
    /// The fleet refuses it.
    #[error("refused: {0}")]
    Refused(String),
    /// Another change won.
    #[error("revision {current} by {by} (change {winner}) came first; nothing was changed")]
    Conflict {
        /// Revision in force.
        current: number::Revision,
        /// Who applied it.
        by: String,
        /// The change that won.
        winner: id::Change,
    },
    /// The text has mistakes; all of them are listed.
    #[error("{file} has mistakes, nothing was changed:\n{listed}", listed = listing(.mistakes))]
    Mistakes {
        /// The file.
        file: String,
        /// Each with line, section, key and the expected form.
        mistakes: Vec<operator::Mistake>,
    },
    /// The change is accepted and not yet in force everywhere.
    #[error("revision {revision} is accepted, but not yet in force at: {waiting}")]
    NotInForce {
        /// The revision.
        revision: number::Revision,
        /// Entries that have not confirmed it.
        waiting: String,
    },
    /// The answer does not have the expected form.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
    /// A file on this instance cannot be used.
    #[error("{path}: {cause}")]
    File {
        /// The file.
        path: String,
        /// Why.
        cause: std::io::Error,
    },
    /// The token cannot be used.
    #[error("{0}")]
    Token(#[from] credential::Error),
    /// This instance gave no random numbers.
    #[error("no random numbers: {0}")]
    Random(String),
    /// The words of the command do not fit together.
    #[error("{0}")]
    Usage(String),
}

impl Failure {
    /// What to do next.
    #[must_use]
    pub fn help(&self) -> Option<String> {
        let help = match self {
            Self::Unreachable { last } => unreachable_help(last),
            Self::Unknown { change, .. } => {
                format!("send it again with --change {change}; it then gets its first answer")
            }
            Self::UnknownKey { key, .. } => {
                format!("look for {key} with `key list`, withdraw it if it is there, issue another")
            }
            Self::Conflict { current, .. } => format!(
                "look at `cranberrygap show --revision {current}`, then apply with --expect {current}"
            ),
            Self::NotInForce { revision, .. } => {
                format!("ask again with `cranberrygap show --force {revision}`")
            }
            Self::Token(_) => "give the operators' token with --token FILE".to_owned(),
            _ => return None,
        };
        Some(help)
    }

    /// The exit code.
    #[must_use]
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Conflict { .. } => CONFLICT,
            Self::Unknown { .. } | Self::UnknownKey { .. } => UNKNOWN,
            Self::Usage(_) => WRONG_USAGE,
            _ => FAILED,
        })
    }
}

fn unreachable_help(last: &error::Error) -> String {
    match last {
        error::Error::NotAuthentic => "give the operators' token with --token FILE".to_owned(),
        error::Error::Refused {
            code: method::NOT_LEADER,
            data,
            ..
        } => match data.get("instance").or(data.as_str().map(|_| data)) {
            Some(leader) => format!("name the operators' address of {leader} with --control too"),
            None => "there is no leader; are more than half of the voters running?".to_owned(),
        },
        _ => "give the operators' addresses of all control processes with --control".to_owned(),
    }
}

fn listing(mistakes: &[operator::Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ini::sentence).collect();
    lines.join("\n")
}
