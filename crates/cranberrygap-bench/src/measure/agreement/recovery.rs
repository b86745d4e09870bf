//! Time of a restart against the length of the log.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use cranberrygap_control::log::Log as _;
use futures_util::StreamExt as _;
use serde_json::{Value, json};

use super::replicas;

/// Proposals at once while the log is filled.
const AT_ONCE: usize = 512;

/// Bytes of a proposal.
const PAYLOAD: usize = 300;

/// Entries after which a snapshot is taken, as the daemon has it.
const SNAPSHOT_AFTER: u64 = 5_000;

/// Times restarts with logs of a hundredth, a tenth and all of `longest`.
pub(super) async fn run(longest: u64) -> eyre::Result<Value> {
    let mut rows = Vec::new();
    for part in [100, 10, 1] {
        let entries = longest / part;
        rows.push(row(entries, u64::MAX).await?);
        rows.push(row(entries, SNAPSHOT_AFTER).await?);
    }
    Ok(Value::Array(rows))
}

async fn row(entries: u64, snapshot_after: u64) -> eyre::Result<Value> {
    let root = tempfile::tempdir()?;
    fill(root.path(), entries, snapshot_after).await?;
    let begin = Instant::now();
    let group = replicas::start(root.path(), 1, snapshot_after)?;
    let opened = begin.elapsed();
    let (replica, counter) = &group[0];
    while counter.0.load(Ordering::Relaxed) < entries {
        tokio::time::sleep(std::time::Duration::from_micros(200)).await;
    }
    let applied = begin.elapsed();
    replica.stop().await;
    Ok(json!({
        "entries": entries,
        "snapshots": snapshot_after != u64::MAX,
        "opened_millis": opened.as_secs_f64() * 1_000.0,
        "applied_millis": applied.as_secs_f64() * 1_000.0,
    }))
}

/// Writes a log and waits until its folder is free again.
async fn fill(root: &std::path::Path, entries: u64, snapshot_after: u64) -> eyre::Result<()> {
    let group = replicas::start(root, 1, snapshot_after)?;
    let leader = replicas::leader(&group).await;
    let proposals = futures_util::stream::iter(0..entries).map(|_| {
        let leader = Arc::clone(&leader);
        async move { leader.propose(Bytes::from(vec![b'x'; PAYLOAD])).await }
    });
    let mut proposals = proposals.buffer_unordered(AT_ONCE);
    while let Some(outcome) = proposals.next().await {
        outcome?;
    }
    drop(proposals);
    leader.stop().await;
    let folder = root.join("control-1");
    while cranberrygap_storage::disk::Disk::lock(&folder).is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    Ok(())
}
