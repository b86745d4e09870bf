//! Processor time of the threads of this process, by their names.

use std::fs;
use std::time::Duration;

const TASKS: &str = "/proc/self/task";

/// Time that all threads with this name have run so far.
///
/// A thread's name is cut at 15 bytes by the system. Threads that have ended
/// are not counted.
#[must_use]
pub fn time_of(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir(TASKS) else {
        return Duration::ZERO;
    };
    let times = tasks.filter_map(|task| {
        let path = task.ok()?.path();
        let comm = fs::read_to_string(path.join("comm")).ok()?;
        if comm.trim_end() != name {
            return None;
        }
        let schedule = fs::read_to_string(path.join("schedstat")).ok()?;
        let nanos: u64 = schedule.split_whitespace().next()?.parse().ok()?;
        Some(Duration::from_nanos(nanos))
    });
    times.sum()
}
