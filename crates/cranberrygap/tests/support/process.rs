//! One of our daemons as a child process.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::support::wait;

/// Lines of a log that are printed when a test fails.
const TAIL: usize = 40;

/// A running daemon; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    binary: PathBuf,
    folder: PathBuf,
    child: Child,
}

impl Process {
    /// Starts the binary with the settings file `NAME.ini` in the folder.
    pub fn start(name: &str, binary: impl AsRef<Path>, folder: &Path) -> Self {
        let (folder, binary) = (folder.to_owned(), binary.as_ref().to_owned());
        let child = spawn(name, &binary, &folder);
        Self {
            name: name.to_owned(),
            binary,
            folder,
            child,
        }
    }

    /// Starts it again with the same settings after it has ended.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.name, &self.binary, &self.folder);
    }

    /// Ends it at once, as a power cut would.
    pub fn kill(&mut self) {
        // An error means that it has ended already.
        let _ended = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Stops it from running without ending it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it run again.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks it to read its settings again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Asks for a dump on standard output.
    pub fn ask_dump(&self) {
        self.signal(Signal::USR1);
    }

    /// The number of its process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it has ended by itself.
    pub async fn ended(&mut self) -> ExitStatus {
        let what = format!("{} ends", self.name);
        wait::some(&what, async || self.child.try_wait().unwrap()).await
    }

    /// What it has logged so far.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.name))).unwrap_or_default()
    }

    /// What it has written to standard output so far.
    #[must_use]
    pub fn output(&self) -> String {
        fs::read_to_string(self.folder.join(format!("{}.out", self.name))).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(TAIL)..];
            eprintln!("--- last lines of {} ---\n{}", self.name, tail.join("\n"));
        }
    }
}

fn spawn(name: &str, binary: &Path, folder: &Path) -> Child {
    let append = |kind: &str| {
        let path = folder.join(format!("{name}.{kind}"));
        File::options()
            .create(true)
            .append(true)
            .open(path)
            .unwrap()
    };
    Command::new(binary)
        .arg("--settings")
        .arg(folder.join(format!("{name}.ini")))
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(append("out"))
        .stderr(append("log"))
        .spawn()
        .unwrap()
}
