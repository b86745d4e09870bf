//! JSON of the replica's state, for dumps.

use cranberrygap_agreement::{node, progress};
use cranberrygap_model::duration;
use serde_json::{Value, json};

/// Returns the state of a running node.
pub(super) fn dump_node(node: &node::Node, now: duration::Instant) -> Value {
    let followers: serde_json::Map<String, Value> = node
        .progress()
        .iter()
        .map(|(id, progress)| (id.to_string(), dump_progress(progress, now)))
        .collect();
    json!({
        "replica": node.id().to_string(),
        "role": node.role().name(),
        "term": node.hard().term,
        "vote": node.hard().vote.map(|id| id.to_string()),
        "leader": node.leader().map(|id| id.to_string()),
        "lease_left_us": node.lease_end().map(|end| end.since(now).0),
        "may_grant": node.may_grant(now),
        "last": node.log().last(),
        "durable": node.durable(),
        "committed": node.committed(),
        "applied": node.applied(),
        "snapshot": node.snapshot_position(),
        "members": dump_members(node),
        "followers": followers,
    })
}

fn dump_members(node: &node::Node) -> Value {
    let members = &node.members().0;
    let list = members.iter().map(|(id, member)| {
        json!({
            "replica": id.to_string(),
            "peer": member.peer,
            "voter": member.voter,
        })
    });
    list.collect()
}

fn dump_progress(progress: &progress::Progress, now: duration::Instant) -> Value {
    json!({
        "matched": progress.matched,
        "next": progress.next,
        "mode": mode_name(&progress.mode),
        "silent_us": progress.acknowledged.map(|sent| now.since(sent).0),
    })
}

fn mode_name(mode: &progress::Mode) -> &'static str {
    match mode {
        progress::Mode::Probe { .. } => "probe",
        progress::Mode::Replicate { .. } => "replicate",
        progress::Mode::Snapshot { .. } => "snapshot",
    }
}
