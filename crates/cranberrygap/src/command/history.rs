//! `cranberrygap history`: who changed what, when and why.

use clap::Args;
use cranberrygap_wire::{method, operator};
use futures_util::future::BoxFuture;

use super::failure::Failure;
use super::{Ask, session};

/// Lists accepted changes, latest first.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Most changes that are listed.
    #[arg(long, default_value_t = 50)]
    limit: usize,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let records: Vec<operator::Record> = session.ask(method::HISTORY, &()).await?;
            let latest: Vec<operator::Record> =
                records.into_iter().rev().take(self.limit).collect();
            session.print(&latest, |latest| {
                latest.iter().map(line).collect::<Vec<_>>().join("\n")
            });
            Ok(())
        })
    }
}

fn line(record: &operator::Record) -> String {
    format!(
        "revision {} at {} (Unix ms) by {}: {} [{}] {}",
        record.revision,
        record.at,
        record.author.by,
        record.subject,
        record.author.change,
        record.author.why
    )
}
