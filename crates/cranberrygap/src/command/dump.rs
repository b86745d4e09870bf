//! `cranberrygap dump`: the whole state of a process.

use clap::Args;
use cranberrygap_model::address;
use cranberrygap_wire::method;
use futures_util::future::BoxFuture;

use super::failure::Failure;
use super::{Ask, session};

/// Prints the whole state of a process as JSON.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Operators' address of any entry or control process; the first of
    /// --control when left out.
    address: Option<address::Socket>,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let first = session.control().first().copied();
            let address = self.address.or(first);
            let none = || Failure::Usage("name an address".to_owned());
            let address = address.ok_or_else(none)?;
            let dump: serde_json::Value = session
                .once(address, method::DUMP, &())
                .await
                .map_err(|last| Failure::Unreachable { last })?;
            session::write(&dump.to_string());
            Ok(())
        })
    }
}
