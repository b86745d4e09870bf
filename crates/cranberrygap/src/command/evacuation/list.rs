//! `cranberrygap evacuation list`: the failure domains that are evacuated.

use clap::Args;
use cranberrygap_wire::{method, view};
use futures_util::future::BoxFuture;

use crate::command::failure::Failure;
use crate::command::{Ask, session};

/// Lists the failure domains that are evacuated.
#[derive(Debug, Args)]
pub struct Arguments {}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let state: view::State = session.ask(method::SHOW, &()).await?;
            session.print(&state.evacuated, |domains| {
                let names = domains.iter().map(ToString::to_string);
                names.collect::<Vec<_>>().join("\n")
            });
            Ok(())
        })
    }
}
