//! `cranberrygap member remove`: takes a control process out of the group.

use clap::Args;
use cranberrygap_model::id;
use cranberrygap_wire::{method, operator};
use futures_util::future::BoxFuture;

use crate::command::failure::Failure;
use crate::command::{Ask, member, session};

/// Removes a control process from the group, also one that is lost.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Its name.
    instance: id::Instance,
    #[command(flatten)]
    author: session::Author,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let leave = operator::Leave {
                author: self.author.sign()?,
                instance: self.instance.clone(),
            };
            let group: operator::Group = session
                .change(method::MEMBER_REMOVE, &leave.author, &leave)
                .await?;
            session.print(&group, member::text);
            Ok(())
        })
    }
}
