//! Commits a second and their latency, with the disk's sync.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrygap_control::{log::Log as _, replica};
use serde_json::{Value, json};

use super::replicas;

/// Proposals that wait at once.
const AT_ONCE: [usize; 3] = [1, 16, 128];

/// Bytes of a proposal, as large as an announcement.
const PAYLOAD: usize = 300;

/// Measures with real folders and without a network between the replicas.
pub(super) async fn run(count: usize, time: Duration) -> eyre::Result<Value> {
    let root = tempfile::tempdir()?;
    let group = replicas::start(root.path(), count, u64::MAX)?;
    let leader = replicas::leader(&group).await;
    let mut rows = Vec::new();
    for at_once in AT_ONCE {
        rows.push(row(&leader, at_once, time).await?);
    }
    for (replica, _) in &group {
        replica.stop().await;
    }
    Ok(json!({ "payload_bytes": PAYLOAD, "network": "none", "rows": rows }))
}

async fn row(
    leader: &Arc<replica::Replica>,
    at_once: usize,
    time: Duration,
) -> eyre::Result<Value> {
    let begin = Instant::now();
    let workers: Vec<_> = (0..at_once)
        .map(|_| {
            let leader = Arc::clone(leader);
            tokio::spawn(async move {
                let mut times = Vec::new();
                while begin.elapsed() < time {
                    let sent = Instant::now();
                    leader.propose(Bytes::from(vec![b'x'; PAYLOAD])).await?;
                    times.push(sent.elapsed());
                }
                Ok::<_, cranberrygap_control::log::Error>(times)
            })
        })
        .collect();
    let mut histogram = super::histogram();
    for worker in workers {
        for time in worker.await?? {
            super::note(&mut histogram, time);
        }
    }
    let rate = histogram.len() as f64 / begin.elapsed().as_secs_f64();
    Ok(json!({
        "at_once": at_once,
        "commits_per_second": rate,
        "latency_millis": super::millis(&histogram),
    }))
}
