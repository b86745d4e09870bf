//! `cranberrygap release`: ends the quarantine of a request.

use clap::Args;
use cranberrygap_wire::{method, operator};
use futures_util::future::BoxFuture;

use super::failure::Failure;
use super::{Ask, session};

/// Ends the quarantine or probation of a request, which then runs like any other.
///
/// If it crashes endpoints again, it is quarantined again.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Fingerprint of the request, or its beginning, as logs and `show quarantines` name it.
    fingerprint: String,
    #[command(flatten)]
    author: session::Author,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let release = operator::Release {
                author: self.author.sign()?,
                fingerprint: self.fingerprint.as_str().into(),
            };
            let released: operator::Released = session
                .change(method::RELEASE, &release.author, &release)
                .await?;
            session.wait_in_force(released.revision).await?;
            session.print(&released, |released| {
                format!(
                    "{} is not restricted since revision {}",
                    released.fingerprint, released.revision
                )
            });
            Ok(())
        })
    }
}
