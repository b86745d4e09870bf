//! How far a revision is in force.

use cranberrygap_model::number;
use cranberrygap_wire::{method, operator};

use super::failure::Failure;
use super::session;

/// Shows how far a revision is in force.
///
/// # Errors
///
/// When no leader answers, or the revision is not in force everywhere.
pub async fn show(session: &session::Session, revision: number::Revision) -> Result<(), Failure> {
    let force: operator::Force = session.ask(method::FORCE, &revision).await?;
    if !force.in_force {
        let waiting: Vec<String> = force.waiting.iter().map(ToString::to_string).collect();
        let waiting = waiting.join(", ");
        return Err(Failure::NotInForce { revision, waiting });
    }
    session.print(&force, |_| {
        format!("revision {revision} is in force everywhere")
    });
    Ok(())
}
