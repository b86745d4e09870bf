//! `cranberrygap key list`: the keys that work.

use clap::Args;
use cranberrygap_wire::{method, view};
use futures_util::future::BoxFuture;

use crate::command::failure::Failure;
use crate::command::{Ask, session};

/// Lists the keys that work.
#[derive(Debug, Args)]
pub struct Arguments {}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let keys: Vec<view::Key> = session.ask(method::KEY_LIST, &()).await?;
            session.print(&keys, |keys| {
                let lines = keys
                    .iter()
                    .map(|key| format!("{} {}", key.key, key.workspace));
                lines.collect::<Vec<_>>().join("\n")
            });
            Ok(())
        })
    }
}
