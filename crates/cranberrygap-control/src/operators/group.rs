//! Operators' methods for the members of the fleet and of the replicated group.

use std::time::Duration;

use cranberrygap_link::server;
use cranberrygap_model::{address, id};
use cranberrygap_state::{command, group};
use cranberrygap_wire::{method, operator};
use serde::Deserialize;
use spdlog::info;

use crate::process;
use crate::replica;

/// Time that a learner has to catch up before it can vote.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two attempts to promote a learner.
const PROMOTE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Member of the group as the replica's dump shows it.
#[derive(Debug, Deserialize)]
struct Member {
    peer: address::Peer,
    voter: bool,
}

pub(super) async fn list(
    shared: &process::Shared,
    (): (),
) -> Result<operator::Group, server::Fault> {
    let status = shared.context.proposer.check_leads()?;
    let dump = shared.replica.dump().await;
    let members: Vec<Member> =
        serde_json::from_value(dump["state"]["members"].clone()).unwrap_or_default();
    let (voters, learners): (Vec<Member>, Vec<Member>) =
        members.into_iter().partition(|member| member.voter);
    let names = |members: Vec<Member>| {
        members
            .into_iter()
            .map(|member| member.peer.instance)
            .collect()
    };
    let members = shared
        .context
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

/// Adds a control process as a learner and promotes it once it has caught up. Both steps may be
/// repeated, so an operator whose answer was lost can ask again.
pub(super) async fn add(
    shared: &process::Shared,
    join: operator::Join,
) -> Result<operator::Group, server::Fault> {
    let group = list(shared, ()).await?;
    let instance = &join.peer.instance;
    if group.voters.contains(instance) {
        return record_change(shared, join.author, instance, group::Change::Added).await;
    }
    if !group.learners.contains(instance) {
        shared
            .replica
            .add_learner(instance)
            .await
            .map_err(|cause| to_fault(&cause))?;
        info!(
            "group: added {instance} as a learner, asked by {}",
            join.author.by
        );
    }
    promote(shared, instance).await?;
    info!(
        "group: promoted {instance} to a voter, asked by {}",
        join.author.by
    );
    record_change(shared, join.author, instance, group::Change::Added).await
}

async fn promote(shared: &process::Shared, instance: &id::Instance) -> Result<(), server::Fault> {
    let deadline = tokio::time::Instant::now() + CATCH_UP_TIMEOUT;
    loop {
        match shared.replica.promote(instance).await {
            Ok(()) => return Ok(()),
            Err(replica::Error::Refused(_)) if tokio::time::Instant::now() < deadline => {
                tokio::time::sleep(PROMOTE_RETRY_DELAY).await;
            }
            Err(cause) => return Err(to_fault(&cause)),
        }
    }
}

pub(super) async fn remove(
    shared: &process::Shared,
    leave: operator::Leave,
) -> Result<operator::Group, server::Fault> {
    let group = list(shared, ()).await?;
    let instance = &leave.instance;
    if !group.voters.contains(instance) && !group.learners.contains(instance) {
        return record_change(shared, leave.author, instance, group::Change::Removed).await;
    }
    if group.leader.as_ref() == Some(instance) {
        let message = "it is the leader; stop it with SIGTERM first, which transfers leadership";
        return Err(server::Fault::new(method::REFUSED, message));
    }
    shared
        .replica
        .remove_member(instance)
        .await
        .map_err(|cause| to_fault(&cause))?;
    info!(
        "group: {instance} was removed, asked by {}",
        leave.author.by
    );
    record_change(shared, leave.author, instance, group::Change::Removed).await
}

/// Records a change of the group for the history and the audit trail.
///
/// A leader may fail between the change and its record. The repeated request then finds the change
/// done and records it; a change that is already recorded is not recorded twice, since its change
/// id is known.
async fn record_change(
    shared: &process::Shared,
    author: operator::Author,
    instance: &id::Instance,
    change: group::Change,
) -> Result<operator::Group, server::Fault> {
    let step = group::Step {
        author,
        instance: instance.clone(),
        change,
    };
    let proposer = &shared.context.proposer;
    proposer.propose(command::Command::Group(step)).await?;
    list(shared, ()).await
}

fn to_fault(cause: &replica::Error) -> server::Fault {
    let message = cause.to_string();
    match cause {
        replica::Error::NotLeader { leader } => {
            server::Fault::new(method::NOT_LEADER, message).with_data(serde_json::json!(leader))
        }
        replica::Error::Unknown => server::Fault::new(method::UNKNOWN_OUTCOME, message),
        replica::Error::Stopping => server::Fault::new(method::NO_QUORUM, message),
        _ => server::Fault::new(method::REFUSED, message),
    }
}
