//! `cranberrygap drain`: takes something out of service.

use clap::Args;
use cranberrygap_wire::{method, operator};
use futures_util::future::BoxFuture;

use super::failure::Failure;
use super::{Ask, session};

/// Takes an entry or endpoint out of service without cutting a request.
///
/// It stays out of service until its process is started anew.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Name of the entry's instance, or of the endpoint.
    name: String,
    #[command(flatten)]
    author: session::Author,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let drain = operator::Drain {
                author: self.author.sign()?,
                name: self.name.as_str().into(),
            };
            let drained: operator::Drained =
                session.change(method::DRAIN, &drain.author, &drain).await?;
            session.wait_in_force(drained.revision).await?;
            session.print(&drained, |drained| {
                let (subject, name) = (&drained.subject, &drained.name);
                format!(
                    "{subject} {name} gets no new work since revision {}",
                    drained.revision
                )
            });
            Ok(())
        })
    }
}
