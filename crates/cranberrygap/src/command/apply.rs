//! `cranberrygap apply`: puts a new configuration in force.

use std::path::PathBuf;

use clap::Args;
use cranberrygap_model::number;
use cranberrygap_wire::{method, operator, view};
use futures_util::future::BoxFuture;

use super::failure::Failure;
use super::{Ask, session};

/// Puts a new configuration in force.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The INI file with `[defaults]` and `[exception ...]` sections.
    file: PathBuf,
    /// Revision that it replaces; refused when another one is in force. The
    /// revision that is in force now when left out.
    #[arg(long, value_name = "REVISION")]
    expect: Option<number::Revision>,
    /// Wait until every live entry uses it.
    #[arg(long)]
    wait: bool,
    #[command(flatten)]
    author: session::Author,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(self.apply(session))
    }
}

impl Arguments {
    async fn apply(&self, session: &session::Session) -> Result<(), Failure> {
        let text = self.read()?;
        let apply = operator::Apply {
            author: self.author.sign()?,
            expect: self.expected(session).await?,
            text: text.into(),
        };
        let applied: operator::Applied =
            session.change(method::APPLY, &apply.author, &apply).await?;
        match &applied {
            operator::Applied::Accepted { revision } => {
                if self.wait {
                    session.wait_in_force(*revision).await?;
                }
                let word = if self.wait { "in force" } else { "accepted" };
                session.print(&applied, |_| format!("revision {revision} is {word}"));
                Ok(())
            }
            operator::Applied::Conflict {
                current,
                by,
                change,
            } => Err(Failure::Conflict {
                current: *current,
                by: by.to_string(),
                winner: change.clone(),
            }),
            operator::Applied::Refused { mistakes } => Err(Failure::Mistakes {
                file: self.file.display().to_string(),
                mistakes: mistakes.clone(),
            }),
        }
    }

    fn read(&self) -> Result<String, Failure> {
        std::fs::read_to_string(&self.file).map_err(|cause| Failure::File {
            path: self.file.display().to_string(),
            cause,
        })
    }

    /// A resend must be the same change in every part, the expected revision
    /// included, which by now is another one.
    async fn expected(&self, session: &session::Session) -> Result<number::Revision, Failure> {
        if let Some(expect) = self.expect {
            return Ok(expect);
        }
        if self.author.resent().is_some() {
            let sentence = "--change needs the --expect of the first time";
            return Err(Failure::Usage(sentence.to_owned()));
        }
        let shown: view::State = session.ask(method::SHOW, &()).await?;
        let revision = shown.configuration.revision;
        eprintln!("replaces revision {revision}");
        Ok(revision)
    }
}
