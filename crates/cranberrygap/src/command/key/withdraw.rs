//! `cranberrygap key withdraw`: ends a key.

use clap::Args;
use cranberrygap_model::id;
use cranberrygap_wire::{method, operator};
use futures_util::future::BoxFuture;

use crate::command::failure::Failure;
use crate::command::{Ask, session};

/// Withdraws a key, and waits until it works nowhere.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The key's public id, not its secret.
    key: id::Key,
    #[command(flatten)]
    author: session::Author,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(self.withdraw(session))
    }
}

impl Arguments {
    async fn withdraw(&self, session: &session::Session) -> Result<(), Failure> {
        let withdraw = operator::Withdraw {
            author: self.author.sign()?,
            key: self.key.clone(),
        };
        let withdrawn: operator::Withdrawn = session
            .change(method::KEY_WITHDRAW, &withdraw.author, &withdraw)
            .await?;
        session.wait_in_force(withdrawn.revision).await?;
        session.print(&withdrawn, |withdrawn| {
            let revision = withdrawn.revision;
            format!("key {} works nowhere since revision {revision}", self.key)
        });
        Ok(())
    }
}
