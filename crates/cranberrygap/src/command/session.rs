//! Asks the control processes until the leader answers.

use std::io::Write as _;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use clap::Args;
use cranberrygap_link::{client, credential, error};
use cranberrygap_model::{address, duration, id, number};
use cranberrygap_wire::{method, operator};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::failure::Failure;

/// Longest wait for one answer.
const CALL: duration::Span = duration::Span::from_secs(12);

/// Time for which a command tries again. Three times a long election.
const PATIENCE: Duration = Duration::from_secs(6);

/// Pause after all control processes were asked in vain.
const PAUSE: Duration = Duration::from_millis(200);

/// Time for a revision to come into force everywhere. Leases run out in 1.5 s.
const FORCE: Duration = Duration::from_secs(14);

/// Pause between two looks whether a revision is in force.
const LOOK: Duration = Duration::from_millis(100);

/// Whom to ask, and as whom.
#[derive(Debug, Clone, Args)]
#[group(skip)]
pub struct Arguments {
    /// Operators' addresses of the control processes.
    #[arg(
        long,
        global = true,
        value_delimiter = ',',
        value_name = "IP:PORT",
        default_value = "127.0.0.1:9100"
    )]
    control: Vec<address::Socket>,
    /// File with the operators' token; needed unless control listens on loopback.
    #[arg(long, global = true, value_name = "FILE")]
    token: Option<PathBuf>,
    /// Print answers as JSON.
    #[arg(long, global = true)]
    json: bool,
}

/// Who asks for a change and why.
#[derive(Debug, Clone, Args)]
pub struct Author {
    /// Why; it is kept with the change.
    #[arg(long, default_value = "")]
    why: String,
    /// Who asks; the name of the user of this instance when left out.
    #[arg(long)]
    by: Option<String>,
    /// Id of a change that was sent before and whose answer was lost.
    #[arg(long, value_name = "ID")]
    change: Option<id::Change>,
}

/// Whom to ask, and as whom.
#[derive(Debug)]
pub struct Session {
    control: Vec<address::Socket>,
    secret: credential::Secret,
    json: bool,
    /// Position of the process that answered last; it likely leads still.
    position: AtomicUsize,
}

/// What is known after a try that brought no answer.
enum Next {
    /// It surely changed nothing; another process may be asked.
    Elsewhere(error::Error),
    /// It may have changed something.
    Unknown(error::Error),
}

impl Session {
    /// A session as the arguments want it.
    ///
    /// # Errors
    ///
    /// When the token cannot be used.
    pub fn new(arguments: &Arguments) -> Result<Self, Failure> {
        let secret = match &arguments.token {
            Some(path) => credential::Secret::read(path)?,
            None => credential::Secret::loopback(),
        };
        Ok(Self {
            control: arguments.control.clone(),
            secret,
            json: arguments.json,
            position: AtomicUsize::new(0),
        })
    }

    /// Whether answers are printed as JSON.
    #[must_use]
    pub const fn is_json(&self) -> bool {
        self.json
    }

    /// Addresses that may be asked.
    #[must_use]
    pub fn control(&self) -> &[address::Socket] {
        &self.control
    }

    /// Asks something that changes nothing.
    ///
    /// # Errors
    ///
    /// When no leader answers, or it refuses.
    pub async fn ask<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: &'static str,
        params: &P,
    ) -> Result<R, Failure> {
        let outcome = self.try_all(method, params).await?;
        outcome.map_err(|next| match next {
            Next::Elsewhere(last) | Next::Unknown(last) => Failure::Unreachable { last },
        })
    }

    /// Asks for a change. After a lost answer it is sent again under the same
    /// change id, so it is made once.
    ///
    /// # Errors
    ///
    /// When it is refused, or was not sent, or its outcome is not known.
    pub async fn change<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: &'static str,
        author: &operator::Author,
        params: &P,
    ) -> Result<R, Failure> {
        let outcome = self.try_all(method, params).await?;
        outcome.map_err(|next| match next {
            Next::Elsewhere(last) => Failure::Unreachable { last },
            Next::Unknown(last) => Failure::Unknown {
                change: author.change.clone(),
                last,
            },
        })
    }

    async fn try_all<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        method: &'static str,
        params: &P,
    ) -> Result<Result<R, Next>, Failure> {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        // Once a try may have changed something, later ones that surely did not
        // must not hide it.
        let mut unknown = None;
        let first = self.position.load(Ordering::Relaxed);
        let addresses = self.control.iter().enumerate().cycle().skip(first);
        for (position, address) in addresses {
            let last = match self.once(*address, method, params).await {
                Ok(answer) => {
                    self.position.store(position, Ordering::Relaxed);
                    return Ok(Ok(answer));
                }
                Err(error) => sort(error)?,
            };
            let last = match last {
                Next::Unknown(error) => {
                    unknown = Some(error.clone());
                    error
                }
                Next::Elsewhere(error) => error,
            };
            let hopeless = matches!(last, error::Error::NotAuthentic) && self.control.len() == 1;
            if hopeless || tokio::time::Instant::now() >= deadline {
                return Ok(Err(unknown.map_or(Next::Elsewhere(last), Next::Unknown)));
            }
            if position + 1 == self.control.len() {
                tokio::time::sleep(PAUSE).await;
            }
        }
        Err(Failure::Usage("--control names no address".to_owned()))
    }

    /// Asks one process, whether it leads or not.
    ///
    /// # Errors
    ///
    /// See [`error::Error`].
    pub async fn once<P: Serialize + Sync, R: DeserializeOwned>(
        &self,
        address: address::Socket,
        method: &'static str,
        params: &P,
    ) -> Result<R, error::Error> {
        let role = credential::Role::Operator;
        let client = client::Client::connect(address, role, &self.secret).await?;
        client.call(method, params, CALL).await
    }

    /// Waits until every live entry has `revision`, or lost its lease.
    ///
    /// # Errors
    ///
    /// When that takes too long, with the entries that it waits for.
    pub async fn wait_in_force(&self, revision: number::Revision) -> Result<(), Failure> {
        let deadline = tokio::time::Instant::now() + FORCE;
        loop {
            let force: operator::Force = self.ask(method::FORCE, &revision).await?;
            if force.in_force {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                let waiting: Vec<String> = force.waiting.iter().map(ToString::to_string).collect();
                let waiting = waiting.join(", ");
                return Err(Failure::NotInForce { revision, waiting });
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Prints an answer, as JSON if that is wanted.
    pub fn print<T: Serialize>(&self, answer: &T, text: impl FnOnce(&T) -> String) {
        if self.json {
            write(&serde_json::json!(answer).to_string());
        } else {
            write(text(answer).trim_end());
        }
    }
}

impl Author {
    /// Who asks and why, under a new change id unless one was given.
    ///
    /// # Errors
    ///
    /// When this instance gives no random numbers.
    pub fn sign(&self) -> Result<operator::Author, Failure> {
        let change = match &self.change {
            Some(change) => change.clone(),
            None => draw_change()?,
        };
        let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
        let by = self.by.clone().or_else(user);
        Ok(operator::Author {
            change,
            by: by.unwrap_or_else(|| "operator".to_owned()).into(),
            why: self.why.as_str().into(),
        })
    }

    /// The id of a change that was sent before.
    #[must_use]
    pub const fn resent(&self) -> Option<&id::Change> {
        self.change.as_ref()
    }
}

/// Writes to standard output. A reader that has gone, such as `head`, is no
/// failure.
pub(super) fn write(text: &str) {
    let _reader_gone = writeln!(std::io::stdout(), "{text}");
}

fn draw_change() -> Result<id::Change, Failure> {
    let number = getrandom::u64().map_err(|cause| Failure::Random(cause.to_string()))?;
    let text = format!("c-{number:016x}");
    text.parse()
        .map_err(|cause: cranberrygap_model::ParseError| Failure::Usage(cause.to_string()))
}

/// Tells errors that end a command from those after which it goes on.
fn sort(error: error::Error) -> Result<Next, Failure> {
    match error {
        error::Error::Refused { code, .. }
            if code == method::NOT_LEADER || code == method::NO_QUORUM =>
        {
            Ok(Next::Elsewhere(error))
        }
        error::Error::Refused { code, .. } if code == method::UNKNOWN_OUTCOME => {
            Ok(Next::Unknown(error))
        }
        error::Error::Refused { message, .. } => Err(Failure::Refused(message.to_string())),
        error::Error::Malformed { reason } => Err(Failure::Malformed(reason.to_string())),
        error::Error::TooLarge { .. } => Err(Failure::Refused(error.to_string())),
        error if error.not_sent() => Ok(Next::Elsewhere(error)),
        error => Ok(Next::Unknown(error)),
    }
}
