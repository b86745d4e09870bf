//! `cranberrygap evacuation finish`: withdraws an evacuation.

use clap::Args;
use cranberrygap_model::id;
use futures_util::future::BoxFuture;

use crate::command::failure::Failure;
use crate::command::{Ask, session};

/// Lets the endpoints of a failure domain get requests again.
///
/// Endpoints that have become cold get fewer requests at first.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Failure domain, as `show` lists it.
    domain: id::Domain,
    #[command(flatten)]
    author: session::Author,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(super::order(session, &self.author, &self.domain, false))
    }
}
