//! Audit events of commands.

use cranberrygap_wire::{claim as wire, view};
use smol_str::SmolStr;

use crate::{answer, audit, claim, command};

/// Returns the audit event of an accepted command.
///
/// `None` for commands that promise nothing to anybody, such as heartbeats.
pub(crate) fn for_command(
    command: &command::Command,
    answer: &answer::Answer,
    changes: &[view::Change],
) -> Option<audit::Event> {
    let (subject, by, detail) = match command {
        command::Command::Configuration(step) => (
            "configuration",
            step.author.by.clone(),
            serde_json::json!({
                "change": step.author.change, "why": step.author.why,
                "text": full_hash(&step.text),
            }),
        ),
        command::Command::Key(step) => (
            "key",
            step.author().by.clone(),
            serde_json::json!({
                "change": step.author().change, "why": step.author().why, "what": step.summary(),
            }),
        ),
        command::Command::Group(step) => (
            "member",
            step.author.by.clone(),
            serde_json::json!({
                "change": step.author.change, "why": step.author.why, "what": command.summary(),
            }),
        ),
        command::Command::Drain(drain) => (
            "member",
            drain.author.by.clone(),
            serde_json::json!({
                "change": drain.author.change, "why": drain.author.why, "drained": drain.name,
            }),
        ),
        command::Command::Evacuation(step) if !changes.is_empty() => {
            let author = step.author.as_ref();
            (
                "evacuation",
                author.map_or_else(|| "operator".into(), |author| author.by.clone()),
                serde_json::json!({
                    "change": author.map(|author| &author.change),
                    "why": author.map(|author| &author.why), "what": step.summary(),
                }),
            )
        }
        command::Command::Release(release) => (
            "quarantine",
            release.author.by.clone(),
            serde_json::json!({
                "change": release.author.change, "why": release.author.why, "changes": changes,
            }),
        ),
        command::Command::Member(_) if !changes.is_empty() => (
            "member",
            SmolStr::new_static("leader"),
            serde_json::json!(changes),
        ),
        command::Command::Quarantine(step) if !changes.is_empty() => (
            "quarantine",
            step.crash.instance.to_string().into(),
            serde_json::json!({
                "endpoint": step.crash.endpoint, "changes": changes,
            }),
        ),
        command::Command::Traffic(step) if !changes.is_empty() => (
            "configuration",
            SmolStr::new_static("operator"),
            serde_json::json!({
                "traffic": step.plan.version, "text": full_hash(&step.source),
            }),
        ),
        command::Command::TrafficAdoption(adoption) if !changes.is_empty() => (
            "configuration",
            SmolStr::new_static("operator"),
            serde_json::json!({
                "traffic": adoption.version, "text": adoption.text_hash,
            }),
        ),
        command::Command::Order(record) => (
            "order",
            SmolStr::new_static("leader"),
            serde_json::json!(record),
        ),
        command::Command::Claim(step) => claim_event(step, answer),
        command::Command::Evacuation(_)
        | command::Command::Lender(_)
        | command::Command::Member(_)
        | command::Command::Quarantine(_)
        | command::Command::Share(_)
        | command::Command::Traffic(_)
        | command::Command::TrafficPart(_)
        | command::Command::TrafficAdoption(_)
        | command::Command::FormerRoutes(_)
        | command::Command::Residency(_)
        | command::Command::Catalogue(_)
        | command::Command::Endpoint(_) => return None,
    };
    Some(audit::Event {
        subject,
        by,
        detail,
    })
}

fn claim_event(
    step: &claim::Step,
    answer: &answer::Answer,
) -> (&'static str, SmolStr, serde_json::Value) {
    match step {
        claim::Step::Open(open) => (
            "claim",
            open.instance.to_string().into(),
            serde_json::json!({
                "workspace": open.workspace, "key": short_hash(&open.key),
                "request": open.request, "verdict": verdict(answer),
            }),
        ),
        claim::Step::Close(close) => (
            "claim",
            SmolStr::default(),
            serde_json::json!({
                "workspace": close.workspace, "key": short_hash(&close.key),
                "claim": close.claim, "outcome": outcome_kind(close),
            }),
        ),
    }
}

fn verdict(answer: &answer::Answer) -> serde_json::Value {
    match answer {
        answer::Answer::Claimed(verdict) => {
            let mut verdict = serde_json::json!(verdict);
            // The stored answer is the caller's content.
            if let Some(verdict) = verdict.as_object_mut() {
                verdict.remove("outcome");
            }
            verdict
        }
        _ => serde_json::Value::Null,
    }
}

fn outcome_kind(close: &wire::Close) -> &'static str {
    match close.outcome {
        wire::Outcome::Answered(_) => "answered",
        wire::Outcome::NotRun => "not_run",
        wire::Outcome::Unknown => "unknown",
    }
}

/// Returns the hash of a configuration's text; the text itself is read by its revision.
fn full_hash(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Returns a short hash of an idempotency key, which stays out of the trail itself.
fn short_hash(text: &str) -> String {
    let hash = blake3::hash(text.as_bytes()).to_hex();
    hash.chars().take(16).collect()
}
