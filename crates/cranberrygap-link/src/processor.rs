//! Processor time of threads, the process and futures.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the processor time that the calling thread has used.
#[must_use]
pub fn thread_time() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Returns the processor time that the whole process has used.
#[must_use]
pub fn process_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

/// Awaits `work` and returns its output with the processor time of its polls.
pub async fn measure<F: Future>(work: F) -> (F::Output, Duration) {
    let mut work = std::pin::pin!(work);
    let mut spent = Duration::ZERO;
    let output = std::future::poll_fn(|context| {
        let start = thread_time();
        let polled = work.as_mut().poll(context);
        spent += thread_time().saturating_sub(start);
        polled
    });
    let output = output.await;
    (output, spent)
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
