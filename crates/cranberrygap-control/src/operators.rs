//! What operators ask of a control process.

use std::sync::Arc;

use cranberrygap_link::{credential, server};
use cranberrygap_model::number;
use cranberrygap_state::{answer, command, configuration, key};
use cranberrygap_wire::{audit, ini, method, operator, view};

use crate::peers;
use crate::process;
use crate::proposer;

mod group;

/// Longest name of an author and longest reason, in bytes.
const LONGEST_WORDS: usize = 1_024;

/// Registers one method whose handler is a function of the desk.
macro_rules! offer {
    ($builder:expr, $desk:expr, $method:expr, $params:ty, $handler:path) => {{
        let desk = Arc::clone($desk);
        let role = credential::Role::Operator;
        $builder.method($method, role, move |params: $params| {
            let desk = Arc::clone(&desk);
            async move { $handler(&desk, params).await }
        })
    }};
}

/// Offers the operators' methods.
pub(crate) fn offer(builder: server::Builder, parts: &Arc<process::Parts>) -> server::Builder {
    let desk = &parts.desk;
    let builder = offer!(builder, desk, method::APPLY, operator::Apply, apply);
    let builder = offer!(builder, desk, method::FORCE, number::Revision, force);
    let builder = offer!(builder, desk, method::KEY_ISSUE, operator::Issue, issue);
    let builder = offer!(
        builder,
        desk,
        method::KEY_WITHDRAW,
        operator::Withdraw,
        withdraw
    );
    let builder = offer!(builder, desk, method::KEY_LIST, (), list_keys);
    let builder = offer!(builder, desk, method::SHOW, (), show);
    let builder = offer!(builder, desk, method::HISTORY, (), history);
    let builder = offer!(builder, desk, method::CONFIGURATION, operator::Read, page);
    let builder = offer!(builder, desk, method::AUDIT, audit::Read, trail);
    let builder = offer!(builder, desk, method::DRAIN, operator::Drain, drain);
    let builder = offer!(builder, parts, method::MEMBER_LIST, (), group::list);
    let builder = offer!(
        builder,
        parts,
        method::MEMBER_ADD,
        operator::Join,
        group::add
    );
    let builder = offer!(
        builder,
        parts,
        method::MEMBER_REMOVE,
        operator::Leave,
        group::remove
    );
    offer!(builder, parts, method::DUMP, (), dump)
}

async fn apply(
    desk: &peers::Desk,
    apply: operator::Apply,
) -> Result<operator::Applied, server::Fault> {
    desk.proposer.check_leads()?;
    check_author(&apply.author)?;
    // A resend must get its first answer, also when the fleet has changed so
    // that the text would be refused today.
    let facts = desk.state.read(|fleet| {
        let known = fleet.changes.contains(&apply.author.change);
        (!known).then(|| fleet.facts())
    });
    let read = configuration::read(&apply.text, &facts.unwrap_or_default());
    let configuration = match read {
        Ok(configuration) => configuration,
        Err(ini::Mistakes(mistakes)) => return Ok(operator::Applied::Refused { mistakes }),
    };
    let step = configuration::Step {
        author: apply.author,
        expect: apply.expect,
        text: apply.text,
        configuration,
    };
    match desk
        .proposer
        .propose(command::Command::Configuration(step))
        .await?
    {
        answer::Answer::Applied(applied) => Ok(applied),
        other => Err(proposer::unexpected(&other)),
    }
}

async fn force(
    desk: &peers::Desk,
    revision: number::Revision,
) -> Result<operator::Force, server::Fault> {
    desk.proposer.check_leads()?;
    let waiting = desk.detector.with_office(|now, leadership| {
        desk.state
            .read(|fleet| leadership.waiting(now, revision, fleet))
    });
    let Some(waiting) = waiting else {
        return Err(server::Fault::new(
            method::NO_QUORUM,
            "the leader's lease ran out",
        ));
    };
    let committed = desk.state.read(|fleet| fleet.revision >= revision);
    Ok(operator::Force {
        revision,
        in_force: committed && waiting.is_empty(),
        waiting,
    })
}

async fn issue(
    desk: &peers::Desk,
    issue: operator::Issue,
) -> Result<operator::Issued, server::Fault> {
    check_author(&issue.author)?;
    let command = command::Command::Key(key::Step::Issue(issue));
    match desk.proposer.propose(command).await? {
        answer::Answer::Issued(issued) => Ok(issued),
        other => Err(proposer::unexpected(&other)),
    }
}

async fn withdraw(
    desk: &peers::Desk,
    withdraw: operator::Withdraw,
) -> Result<operator::Withdrawn, server::Fault> {
    check_author(&withdraw.author)?;
    let command = command::Command::Key(key::Step::Withdraw(withdraw));
    match desk.proposer.propose(command).await? {
        answer::Answer::Withdrawn(withdrawn) => Ok(withdrawn),
        other => Err(proposer::unexpected(&other)),
    }
}

async fn drain(
    desk: &peers::Desk,
    drain: operator::Drain,
) -> Result<operator::Drained, server::Fault> {
    check_author(&drain.author)?;
    match desk
        .proposer
        .propose(command::Command::Drain(drain))
        .await?
    {
        answer::Answer::Drained(drained) => Ok(drained),
        other => Err(proposer::unexpected(&other)),
    }
}

/// Reads go to the leader too: a process that was cut off would show what was
/// changed long ago.
async fn list_keys(desk: &peers::Desk, (): ()) -> Result<Vec<view::Key>, server::Fault> {
    desk.proposer.check_leads()?;
    Ok(desk.state.read(|fleet| fleet.redacted_view().keys))
}

async fn show(desk: &peers::Desk, (): ()) -> Result<view::State, server::Fault> {
    desk.proposer.check_leads()?;
    Ok(desk
        .state
        .read(cranberrygap_state::fleet::Fleet::redacted_view))
}

async fn history(desk: &peers::Desk, (): ()) -> Result<Vec<operator::Record>, server::Fault> {
    desk.proposer.check_leads()?;
    Ok(desk
        .state
        .read(|fleet| fleet.history.records().cloned().collect()))
}

async fn page(desk: &peers::Desk, read: operator::Read) -> Result<operator::Page, server::Fault> {
    desk.proposer.check_leads()?;
    let page = desk
        .state
        .read(|fleet| fleet.configuration.page(read.revision).cloned());
    page.ok_or_else(|| {
        let kept = desk.state.read(|fleet| {
            let kept = fleet
                .configuration
                .revisions()
                .map(|revision| revision.to_string());
            kept.collect::<Vec<_>>().join(", ")
        });
        let sentence = match read.revision {
            Some(revision) => {
                format!("revision {revision} is not a kept configuration; kept are: {kept}")
            }
            None => "no configuration was applied yet; the defaults are in force".to_owned(),
        };
        server::Fault::new(method::REFUSED, sentence)
    })
}

async fn trail(desk: &peers::Desk, read: audit::Read) -> Result<audit::Trail, server::Fault> {
    desk.proposer.check_leads()?;
    Ok(desk.state.read(|fleet| fleet.audit.read(&read)))
}

async fn dump(parts: &process::Parts, (): ()) -> Result<serde_json::Value, server::Fault> {
    Ok(parts.dump().await)
}

fn check_author(author: &operator::Author) -> Result<(), server::Fault> {
    if author.by.is_empty() || author.by.len() > LONGEST_WORDS {
        let sentence = "say who asks, in 1 to 1024 bytes";
        return Err(server::Fault::new(method::REFUSED, sentence));
    }
    if author.why.len() > LONGEST_WORDS {
        let sentence = "the reason is longer than 1024 bytes";
        return Err(server::Fault::new(method::REFUSED, sentence));
    }
    Ok(())
}
