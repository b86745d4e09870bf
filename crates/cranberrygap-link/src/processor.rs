//! Processor time that was used.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Processor time of the calling thread so far.
#[must_use]
pub fn thread() -> Duration {
    read(ClockId::ThreadCPUTime)
}

/// Processor time of the whole process so far.
#[must_use]
pub fn process() -> Duration {
    read(ClockId::ProcessCPUTime)
}

/// Runs `work` to its end; gives its output and the processor time of its steps.
pub async fn of<F: Future>(work: F) -> (F::Output, Duration) {
    let mut work = std::pin::pin!(work);
    let mut spent = Duration::ZERO;
    let output = std::future::poll_fn(|context| {
        let begin = thread();
        let polled = work.as_mut().poll(context);
        spent += thread().saturating_sub(begin);
        polled
    });
    let output = output.await;
    (output, spent)
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
