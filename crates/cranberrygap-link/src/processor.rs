//! Processor time that was used.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Processor time of the calling thread so far.
#[must_use]
pub fn thread_time() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Processor time of the whole process so far.
#[must_use]
pub fn process_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

/// Runs `work` to its end; gives its output and the processor time of its steps.
pub async fn measure<F: Future>(work: F) -> (F::Output, Duration) {
    let mut work = std::pin::pin!(work);
    let mut spent = Duration::ZERO;
    let output = std::future::poll_fn(|context| {
        let begin = thread_time();
        let polled = work.as_mut().poll(context);
        spent += thread_time().saturating_sub(begin);
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
