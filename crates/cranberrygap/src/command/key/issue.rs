//! `cranberrygap key issue`: a new key for a workspace.

use clap::Args;
use cranberrygap_model::{id, number};
use cranberrygap_state::key;
use cranberrygap_wire::{method, operator};
use futures_util::future::BoxFuture;
use serde::Serialize;

use crate::command::failure::Failure;
use crate::command::{Ask, session};

/// Issues a key for a workspace; its secret is shown once.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The workspace; it exists from its first key on.
    workspace: id::Workspace,
    /// Wait until every live entry takes it.
    #[arg(long)]
    wait: bool,
    #[command(flatten)]
    author: session::Author,
}

/// What is printed: the only time that the secret is shown.
#[derive(Debug, Serialize)]
struct Shown {
    key: id::Key,
    workspace: id::Workspace,
    revision: number::Revision,
    secret: String,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(self.issue(session))
    }
}

impl Arguments {
    async fn issue(&self, session: &session::Session) -> Result<(), Failure> {
        if self.author.resent().is_some() {
            let sentence = "a key's secret is not kept, so its issue cannot be sent again; \
                            issue another key and withdraw this one";
            return Err(Failure::Usage(sentence.to_owned()));
        }
        let secret = draw()?;
        let issue = operator::Issue {
            author: self.author.sign()?,
            workspace: self.workspace.clone(),
            key: secret.key().clone(),
            hash: secret.hash(),
        };
        let issued = session.change(method::KEY_ISSUE, &issue.author, &issue);
        let issued: operator::Issued = issued.await.map_err(|failure| match failure {
            Failure::Unknown { last, .. } => Failure::UnknownKey {
                key: issue.key.clone(),
                last,
            },
            other => other,
        })?;
        if self.wait {
            session.wait_in_force(issued.revision).await?;
        }
        let shown = Shown {
            key: issued.key,
            workspace: issued.workspace,
            revision: issued.revision,
            secret: secret.reveal().to_owned(),
        };
        session.print(&shown, |shown| {
            format!(
                "key {} for {} since revision {}\nsecret, shown this once: {}",
                shown.key, shown.workspace, shown.revision, shown.secret
            )
        });
        Ok(())
    }
}

fn draw() -> Result<key::Secret, Failure> {
    let mut random = [0; key::RANDOM_BYTES];
    getrandom::fill(&mut random).map_err(|cause| Failure::Random(cause.to_string()))?;
    Ok(key::Secret::new(random))
}
