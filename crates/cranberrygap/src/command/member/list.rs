//! `cranberrygap member list`: entries, control processes and the group.

use clap::Args;
use cranberrygap_wire::{method, operator};
use futures_util::future::BoxFuture;

use crate::command::failure::Failure;
use crate::command::{Ask, member, session};

/// Lists entries, control processes and the group.
#[derive(Debug, Args)]
pub struct Arguments {}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let group: operator::Group = session.ask(method::MEMBER_LIST, &()).await?;
            session.print(&group, member::text);
            Ok(())
        })
    }
}
