//! Time without a leader after the leader was killed.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::group;

/// Time for a killed process to catch up before the next kill.
const SETTLE: Duration = Duration::from_millis(700);

/// Kills leaders one after the other.
pub(super) async fn run(controls: usize, kills: usize) -> eyre::Result<Value> {
    let mut group = group::Group::start(controls).await?;
    let mut histogram = super::histogram();
    for _ in 0..kills {
        let leader = group.leader().await?;
        group.kill(leader);
        let begin = Instant::now();
        group.leader().await?;
        super::note(&mut histogram, begin.elapsed());
        group.restart(leader).await?;
        tokio::time::sleep(SETTLE).await;
    }
    for place in 0..group.len() {
        group.kill(place);
    }
    Ok(super::millis(&histogram))
}
