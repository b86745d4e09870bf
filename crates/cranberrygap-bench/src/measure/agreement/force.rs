//! Time from an accepted change until it is in force on all entries.

use std::time::{Duration, Instant};

use cranberrygap_model::number;
use cranberrygap_state::key;
use cranberrygap_wire::{method, operator};
use serde_json::{Value, json};

use super::group;

/// Time between two looks, and so the error of the result.
const LOOK: Duration = Duration::from_millis(1);

/// Issues keys one after the other and waits for each.
pub(super) async fn run(controls: usize, entries: usize, changes: usize) -> eyre::Result<Value> {
    let mut group = group::Group::start(controls).await?;
    let mut running = Vec::new();
    for number in 1..=entries {
        running.push(group::start_entry(number, &group.listening()).await?);
    }
    let mut accepted = super::histogram();
    let mut in_force = super::histogram();
    for change in 0..changes {
        let issue = issue(change)?;
        let leader = group.leader().await?;
        let begin = Instant::now();
        let issued: operator::Issued = group.ask(leader, method::KEY_ISSUE, &issue).await?;
        super::note(&mut accepted, begin.elapsed());
        let begin = Instant::now();
        while !is_in_force(&group, leader, issued.revision).await? {
            tokio::time::sleep(LOOK).await;
        }
        super::note(&mut in_force, begin.elapsed());
    }
    for entry in running {
        entry.stop().await;
    }
    for place in 0..group.len() {
        group.kill(place);
    }
    Ok(json!({
        "entries": entries,
        "asked_to_accepted": super::millis(&accepted),
        "accepted_to_in_force": super::millis(&in_force),
    }))
}

async fn is_in_force(
    group: &group::Group,
    leader: usize,
    revision: number::Revision,
) -> eyre::Result<bool> {
    let force: operator::Force = group.ask(leader, method::FORCE, &revision).await?;
    Ok(force.in_force)
}

/// A key that is told from all others of the run by its number.
fn issue(number: usize) -> eyre::Result<operator::Issue> {
    let mut random = [0; key::RANDOM_BYTES];
    random[..8].copy_from_slice(&(number as u64).to_le_bytes());
    let secret = key::Secret::new(random);
    Ok(operator::Issue {
        author: operator::Author {
            change: format!("measured-{number}").parse()?,
            by: "measure".into(),
            why: "a measurement".into(),
        },
        hash: secret.hash(),
        key: secret.key().clone(),
        workspace: "measured".parse()?,
    })
}
