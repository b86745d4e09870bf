//! Signals that steer a daemon.

use tokio::signal::unix;

/// SIGTERM and SIGINT ask for a planned stop, SIGUSR1 for a dump, SIGHUP for a
/// reading of changed settings.
#[derive(Debug)]
pub struct Listener {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    dump: unix::Signal,
    reload: unix::Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wish {
    /// Finish what runs, then exit 0.
    Stop,
    /// Print the whole state as one JSON line on standard output.
    Dump,
    /// Read the settings file again.
    Reload,
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
            reload: unix::signal(unix::SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Wish {
        tokio::select! {
            _ = self.terminate.recv() => Wish::Stop,
            _ = self.interrupt.recv() => Wish::Stop,
            _ = self.dump.recv() => Wish::Dump,
            _ = self.reload.recv() => Wish::Reload,
        }
    }
}
