//! Who belongs to the fleet and to the replicated group.

use std::time::Duration;

use cranberrygap_link::server;
use cranberrygap_model::{address, id};
use cranberrygap_state::{command, group};
use cranberrygap_wire::{method, operator};
use serde::Deserialize;
use spdlog::info;

use crate::process;
use crate::replica;

/// Time for a learner to catch up before it votes.
const CATCH_UP: Duration = Duration::from_secs(30);

/// Time between two tries to let it vote.
const PAUSE: Duration = Duration::from_millis(200);

/// A member of the group as the replica shows it.
#[derive(Debug, Deserialize)]
struct Shown {
    peer: address::Peer,
    voter: bool,
}

pub(super) async fn list(parts: &process::Parts, (): ()) -> Result<operator::Group, server::Fault> {
    let status = parts.desk.proposer.check_leads()?;
    let dump = parts.replica.dump().await;
    let shown: Vec<Shown> =
        serde_json::from_value(dump["state"]["members"].clone()).unwrap_or_default();
    let (voters, learners): (Vec<Shown>, Vec<Shown>) =
        shown.into_iter().partition(|member| member.voter);
    let names = |members: Vec<Shown>| {
        members
            .into_iter()
            .map(|member| member.peer.instance)
            .collect()
    };
    let members = parts
        .desk
        .state
        .read(|fleet| fleet.members.iter().cloned().collect());
    Ok(operator::Group {
        members,
        voters: names(voters),
        learners: names(learners),
        leader: status.leader.map(|leader| leader.instance),
        term: status.term,
    })
}

/// Adds a control process as a learner, and lets it vote once it has caught up.
/// Both steps may be repeated, so an operator whose answer was lost asks again.
pub(super) async fn add(
    parts: &process::Parts,
    join: operator::Join,
) -> Result<operator::Group, server::Fault> {
    let group = list(parts, ()).await?;
    let instance = &join.peer.instance;
    if group.voters.contains(instance) {
        return note(parts, join.author, instance, group::Change::Added).await;
    }
    if !group.learners.contains(instance) {
        parts
            .replica
            .add_learner(instance)
            .await
            .map_err(|cause| fault(&cause))?;
        info!("group: {instance} learns, asked by {}", join.author.by);
    }
    promote(parts, instance).await?;
    info!("group: {instance} votes, asked by {}", join.author.by);
    note(parts, join.author, instance, group::Change::Added).await
}

async fn promote(parts: &process::Parts, instance: &id::Instance) -> Result<(), server::Fault> {
    let deadline = tokio::time::Instant::now() + CATCH_UP;
    loop {
        match parts.replica.promote(instance).await {
            Ok(()) => return Ok(()),
            Err(replica::Error::Refused(_)) if tokio::time::Instant::now() < deadline => {
                tokio::time::sleep(PAUSE).await;
            }
            Err(cause) => return Err(fault(&cause)),
        }
    }
}

pub(super) async fn remove(
    parts: &process::Parts,
    leave: operator::Leave,
) -> Result<operator::Group, server::Fault> {
    let group = list(parts, ()).await?;
    let instance = &leave.instance;
    if !group.voters.contains(instance) && !group.learners.contains(instance) {
        return note(parts, leave.author, instance, group::Change::Removed).await;
    }
    if group.leader.as_ref() == Some(instance) {
        let sentence = "it leads; stop it with SIGTERM first, it then hands over leadership";
        return Err(server::Fault::new(method::REFUSED, sentence));
    }
    parts
        .replica
        .remove(instance)
        .await
        .map_err(|cause| fault(&cause))?;
    info!(
        "group: {instance} was removed, asked by {}",
        leave.author.by
    );
    note(parts, leave.author, instance, group::Change::Removed).await
}

/// Notes a change of the group for history and trail.
///
/// A leader may fail between the change and its note. The request that is sent again finds
/// the work done, and is noted then; one that was noted already is not noted twice, since
/// its change id is known.
async fn note(
    parts: &process::Parts,
    author: operator::Author,
    instance: &id::Instance,
    change: group::Change,
) -> Result<operator::Group, server::Fault> {
    let step = group::Step {
        author,
        instance: instance.clone(),
        change,
    };
    let proposer = &parts.desk.proposer;
    proposer.propose(command::Command::Group(step)).await?;
    list(parts, ()).await
}

fn fault(cause: &replica::Error) -> server::Fault {
    let sentence = cause.to_string();
    match cause {
        replica::Error::NotLeader { leader } => {
            server::Fault::new(method::NOT_LEADER, sentence).with_data(serde_json::json!(leader))
        }
        replica::Error::Unknown => server::Fault::new(method::UNKNOWN_OUTCOME, sentence),
        replica::Error::Stopping => server::Fault::new(method::NO_QUORUM, sentence),
        _ => server::Fault::new(method::REFUSED, sentence),
    }
}
