//! Operators' methods of a control process.

use std::sync::Arc;

use cranberrygap_link::{credential, server};
use cranberrygap_model::number;
use cranberrygap_state::{answer, command, configuration, evacuation, key};
use cranberrygap_wire::{audit, ini, method, operator, view};

use crate::peers;
use crate::process;
use crate::proposer;

mod group;

/// Longest author name and longest reason, in bytes.
const MAX_AUTHOR_FIELD_BYTES: usize = 1_024;

/// Registers one method for operators with its handler.
macro_rules! register_method {
    ($builder:expr, $context:expr, $method:expr, $params:ty, $handler:path) => {{
        let context = Arc::clone($context);
        let role = credential::Role::Operator;
        $builder.method($method, role, move |params: $params| {
            let context = Arc::clone(&context);
            async move { $handler(&context, params).await }
        })
    }};
}

/// Registers the operators' methods.
pub(crate) fn register(builder: server::Builder, shared: &Arc<process::Shared>) -> server::Builder {
    let context = &shared.context;
    let builder = register_method!(builder, context, method::APPLY, operator::Apply, apply);
    let builder = register_method!(builder, context, method::FORCE, number::Revision, in_force);
    let builder = register_method!(
        builder,
        context,
        method::KEY_ISSUE,
        operator::Issue,
        issue_key
    );
    let builder = register_method!(
        builder,
        context,
        method::KEY_WITHDRAW,
        operator::Withdraw,
        withdraw_key
    );
    let builder = register_method!(builder, context, method::KEY_LIST, (), list_keys);
    let builder = register_method!(builder, context, method::SHOW, (), show);
    let builder = register_method!(builder, context, method::HISTORY, (), history);
    let builder = register_method!(
        builder,
        context,
        method::CONFIGURATION,
        operator::Read,
        read_configuration
    );
    let builder = register_method!(builder, context, method::AUDIT, audit::Read, read_audit);
    let builder = register_method!(builder, context, method::DRAIN, operator::Drain, drain);
    let builder = register_method!(
        builder,
        shared,
        method::EVACUATE,
        operator::Evacuate,
        evacuate
    );
    let builder = register_method!(
        builder,
        context,
        method::RELEASE,
        operator::Release,
        release
    );
    let builder = register_method!(builder, shared, method::MEMBER_LIST, (), group::list);
    let builder = register_method!(
        builder,
        shared,
        method::MEMBER_ADD,
        operator::Join,
        group::add
    );
    let builder = register_method!(
        builder,
        shared,
        method::MEMBER_REMOVE,
        operator::Leave,
        group::remove
    );
    register_method!(builder, shared, method::DUMP, (), dump)
}

async fn apply(
    context: &peers::Context,
    apply: operator::Apply,
) -> Result<operator::Applied, server::Fault> {
    context.proposer.check_leads()?;
    check_author(&apply.author)?;
    // A repeated request must get its first answer, even if the fleet has changed so that the text
    // would be refused today.
    let facts = context.state.read(|fleet| {
        let is_known = fleet.changes.contains(&apply.author.change);
        (!is_known).then(|| fleet.facts())
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
    match context
        .proposer
        .propose(command::Command::Configuration(step))
        .await?
    {
        answer::Answer::Applied(applied) => Ok(applied),
        other => Err(proposer::unexpected_answer_fault(&other)),
    }
}

async fn in_force(
    context: &peers::Context,
    revision: number::Revision,
) -> Result<operator::Force, server::Fault> {
    context.proposer.check_leads()?;
    let waiting = context.detector.with_leadership(|now, leadership| {
        context
            .state
            .read(|fleet| leadership.entries_behind(now, revision, fleet))
    });
    let Some(waiting) = waiting else {
        return Err(server::Fault::new(
            method::NO_QUORUM,
            "the leader's lease expired",
        ));
    };
    let committed = context.state.read(|fleet| fleet.revision >= revision);
    Ok(operator::Force {
        revision,
        in_force: committed && waiting.is_empty(),
        waiting,
    })
}

async fn issue_key(
    context: &peers::Context,
    issue: operator::Issue,
) -> Result<operator::Issued, server::Fault> {
    check_author(&issue.author)?;
    let command = command::Command::Key(key::Step::Issue(issue));
    match context.proposer.propose(command).await? {
        answer::Answer::Issued(issued) => Ok(issued),
        other => Err(proposer::unexpected_answer_fault(&other)),
    }
}

async fn withdraw_key(
    context: &peers::Context,
    withdraw: operator::Withdraw,
) -> Result<operator::Withdrawn, server::Fault> {
    check_author(&withdraw.author)?;
    let command = command::Command::Key(key::Step::Withdraw(withdraw));
    match context.proposer.propose(command).await? {
        answer::Answer::Withdrawn(withdrawn) => Ok(withdrawn),
        other => Err(proposer::unexpected_answer_fault(&other)),
    }
}

async fn drain(
    context: &peers::Context,
    drain: operator::Drain,
) -> Result<operator::Drained, server::Fault> {
    check_author(&drain.author)?;
    match context
        .proposer
        .propose(command::Command::Drain(drain))
        .await?
    {
        answer::Answer::Drained(drained) => Ok(drained),
        other => Err(proposer::unexpected_answer_fault(&other)),
    }
}

async fn evacuate(
    shared: &process::Shared,
    evacuate: operator::Evacuate,
) -> Result<operator::Evacuation, server::Fault> {
    check_author(&evacuate.author)?;
    let step = evacuation::Step {
        domain: evacuate.domain,
        active: evacuate.active,
        author: Some(evacuate.author),
    };
    shared.context.evacuation_handler.order(step).await
}

async fn release(
    context: &peers::Context,
    release: operator::Release,
) -> Result<operator::Released, server::Fault> {
    check_author(&release.author)?;
    match context
        .proposer
        .propose(command::Command::Release(release))
        .await?
    {
        answer::Answer::Released(released) => Ok(released),
        other => Err(proposer::unexpected_answer_fault(&other)),
    }
}

/// Reads need the leader too, since a process that is cut off would show an old state.
async fn list_keys(context: &peers::Context, (): ()) -> Result<Vec<view::Key>, server::Fault> {
    context.proposer.check_leads()?;
    Ok(context.state.read(|fleet| fleet.redacted_view().keys))
}

async fn show(context: &peers::Context, (): ()) -> Result<view::State, server::Fault> {
    context.proposer.check_leads()?;
    Ok(context
        .state
        .read(cranberrygap_state::fleet::Fleet::redacted_view))
}

async fn history(context: &peers::Context, (): ()) -> Result<Vec<operator::Record>, server::Fault> {
    context.proposer.check_leads()?;
    Ok(context
        .state
        .read(|fleet| fleet.history.records().cloned().collect()))
}

async fn read_configuration(
    context: &peers::Context,
    read: operator::Read,
) -> Result<operator::Page, server::Fault> {
    context.proposer.check_leads()?;
    let page = context
        .state
        .read(|fleet| fleet.configuration.page(read.revision).cloned());
    page.ok_or_else(|| {
        let kept_revisions = context.state.read(|fleet| {
            let kept_revisions = fleet
                .configuration
                .revisions()
                .map(|revision| revision.to_string());
            kept_revisions.collect::<Vec<_>>().join(", ")
        });
        let message = match read.revision {
            Some(revision) => {
                format!(
                    "revision {revision} is not a kept configuration; kept are: {kept_revisions}"
                )
            }
            None => "no configuration was applied yet; the defaults are in force".to_owned(),
        };
        server::Fault::new(method::REFUSED, message)
    })
}

async fn read_audit(
    context: &peers::Context,
    read: audit::Read,
) -> Result<audit::Trail, server::Fault> {
    context.proposer.check_leads()?;
    Ok(context.state.read(|fleet| fleet.audit.read(&read)))
}

async fn dump(shared: &process::Shared, (): ()) -> Result<serde_json::Value, server::Fault> {
    Ok(shared.dump().await)
}

fn check_author(author: &operator::Author) -> Result<(), server::Fault> {
    if author.by.is_empty() || author.by.len() > MAX_AUTHOR_FIELD_BYTES {
        let message = "the author's name must have 1 to 1024 bytes";
        return Err(server::Fault::new(method::REFUSED, message));
    }
    if author.why.len() > MAX_AUTHOR_FIELD_BYTES {
        let message = "the reason is longer than 1024 bytes";
        return Err(server::Fault::new(method::REFUSED, message));
    }
    Ok(())
}
