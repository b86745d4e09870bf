//! Signals that steer a daemon.

use tokio::signal::unix;

/// SIGTERM and SIGINT ask for a planned stop, SIGUSR1 for a dump.
#[derive(Debug)]
pub struct Listener {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    dump: unix::Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wish {
    /// Finish what runs, then exit 0.
    Stop,
    /// Print the whole state as one JSON line on standard output.
    Dump,
}

impl Listener {
    /// Takes over the signals of this process.
    ///
    /// # Errors
    ///
    /// When the operating system refuses a handler.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            dump: unix::signal(unix::SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Wish {
        tokio::select! {
            _ = self.terminate.recv() => Wish::Stop,
            _ = self.interrupt.recv() => Wish::Stop,
            _ = self.dump.recv() => Wish::Dump,
        }
    }
}
