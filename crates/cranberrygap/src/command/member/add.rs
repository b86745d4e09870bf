//! `cranberrygap member add`: a further control process.

use clap::Args;
use cranberrygap_model::{address, id};
use cranberrygap_wire::{method, operator};
use futures_util::future::BoxFuture;

use crate::command::failure::Failure;
use crate::command::{Ask, member, session};

/// Adds a control process: it learns, and votes once it has caught up.
///
/// A control process that lost its disk is first removed and then added again.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Name and peers' address, such as control-4@10.0.0.9:9000.
    peer: address::Peer,
    /// Its failure domain.
    #[arg(long)]
    domain: id::Domain,
    #[command(flatten)]
    author: session::Author,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let join = operator::Join {
                author: self.author.sign()?,
                peer: self.peer.clone(),
                domain: self.domain.clone(),
            };
            let group: operator::Group = session
                .change(method::MEMBER_ADD, &join.author, &join)
                .await?;
            session.print(&group, member::text);
            Ok(())
        })
    }
}
