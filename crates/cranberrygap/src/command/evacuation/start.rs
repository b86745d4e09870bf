//! `cranberrygap evacuation start`: evacuates a failure domain.

use clap::Args;
use cranberrygap_model::id;
use futures_util::future::BoxFuture;

use crate::command::failure::Failure;
use crate::command::{Ask, session};

/// Sends nothing more to the endpoints of a failure domain.
///
/// What runs there ends by itself. Models that are nowhere else are loaded elsewhere.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Failure domain, as `show` lists it.
    domain: id::Domain,
    #[command(flatten)]
    author: session::Author,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(super::order(session, &self.author, &self.domain, true))
    }
}
