//! `cranberrygap evacuation`: failure domains whose endpoints get no requests.

use clap::Subcommand;
use cranberrygap_model::id;
use cranberrygap_wire::{method, operator};

use super::failure::Failure;
use super::{Ask, session};

pub mod finish;
pub mod list;
pub mod start;

/// What to do with evacuations.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Send nothing more to the endpoints of a failure domain.
    Start(start::Arguments),
    /// Let the endpoints of a failure domain get requests again.
    Finish(finish::Arguments),
    /// List the failure domains that are evacuated.
    List(list::Arguments),
}

impl Command {
    pub(super) fn chosen(&self) -> &dyn Ask {
        match self {
            Self::Start(wanted) => wanted,
            Self::Finish(wanted) => wanted,
            Self::List(wanted) => wanted,
        }
    }
}

/// Gives an order, and waits until all entries act on it.
async fn order(
    session: &session::Session,
    author: &session::Author,
    domain: &id::Domain,
    active: bool,
) -> Result<(), Failure> {
    let evacuate = operator::Evacuate {
        author: author.sign()?,
        domain: domain.clone(),
        active,
    };
    let evacuation: operator::Evacuation = session
        .change(method::EVACUATE, &evacuate.author, &evacuate)
        .await?;
    session.wait_in_force(evacuation.revision).await?;
    session.print(&evacuation, text);
    Ok(())
}

fn text(evacuation: &operator::Evacuation) -> String {
    let (domain, revision) = (&evacuation.domain, evacuation.revision);
    match (evacuation.active, evacuation.changed) {
        (true, true) => format!("{domain} is evacuated since revision {revision}"),
        (true, false) => format!("{domain} was evacuated before; nothing changed"),
        (false, true) => format!("{domain} gets requests again since revision {revision}"),
        (false, false) => format!("{domain} was not evacuated; nothing changed"),
    }
}
