//! The command line; one file a command.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use futures_util::future::BoxFuture;

pub mod apply;
pub mod audit;
pub mod completions;
pub mod diff;
pub mod drain;
pub mod dump;
pub mod evacuation;
pub mod explain;
pub mod failure;
pub mod force;
pub mod history;
pub mod key;
pub mod local;
pub mod logs;
pub mod member;
pub mod release;
pub mod session;
pub mod show;
pub mod storage;
pub mod time;
pub mod trail;

/// Serves many models from fewer accelerators.
///
/// Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 another change won,
/// 4 it is not known whether the change was made.
#[derive(Debug, Parser)]
#[command(name = "cranberrygap", version)]
pub struct Arguments {
    #[command(flatten)]
    reach: session::Arguments,
    #[command(subcommand)]
    command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
enum Command {
    /// Put a new configuration in force.
    Apply(apply::Arguments),
    /// Show the fleet, or an accepted configuration.
    Show(show::Arguments),
    /// Issue, withdraw or list callers' keys.
    #[command(subcommand)]
    Key(key::Command),
    /// List accepted changes: who, when and why.
    History(history::Arguments),
    /// Compare two accepted configurations.
    Diff(diff::Arguments),
    /// Print the whole state of a process as JSON.
    Dump(dump::Arguments),
    /// Take an entry or endpoint out of service without cutting a request.
    Drain(drain::Arguments),
    /// Evacuate a failure domain, let it get requests again, or list those evacuated.
    #[command(subcommand)]
    Evacuation(evacuation::Command),
    /// End the quarantine of a request that endpoints crashed under.
    Release(release::Arguments),
    /// Add, remove or list control processes and entries.
    #[command(subcommand)]
    Member(member::Command),
    /// Tell what was decided about a request, model, workspace or endpoint.
    Explain(explain::Arguments),
    /// Print what shows that promises were kept, for a regulator.
    Audit(audit::Arguments),
    /// Look into the data folder of a control process.
    #[command(subcommand)]
    Storage(storage::Command),
    /// Print the completion script of a shell.
    Completions(completions::Arguments),
    /// Run a whole fleet in this process, to try it out.
    Local(local::Arguments),
}

/// A command that asks control processes.
pub trait Ask {
    /// Asks and prints what came back.
    ///
    /// # Errors
    ///
    /// See [`failure::Failure`].
    fn run<'a>(
        &'a self,
        session: &'a session::Session,
    ) -> BoxFuture<'a, Result<(), failure::Failure>>;
}

/// Runs the command that the arguments name.
///
/// # Errors
///
/// Whatever kept the command from its end, except what its exit code tells.
pub fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let asked: &dyn Ask = match &arguments.command {
        Command::Apply(wanted) => wanted,
        Command::Show(wanted) => wanted,
        Command::Key(wanted) => wanted.chosen(),
        Command::History(wanted) => wanted,
        Command::Diff(wanted) => wanted,
        Command::Dump(wanted) => wanted,
        Command::Drain(wanted) => wanted,
        Command::Evacuation(wanted) => wanted.chosen(),
        Command::Release(wanted) => wanted,
        Command::Member(wanted) => wanted.chosen(),
        Command::Explain(wanted) => wanted,
        Command::Audit(wanted) => wanted,
        Command::Storage(wanted) => return Ok(storage::run(wanted)),
        Command::Completions(wanted) => return Ok(completions::run(wanted)),
        Command::Local(wanted) => return local::run(wanted),
    };
    ask(&arguments.reach, asked)
}

fn ask(reach: &session::Arguments, asked: &dyn Ask) -> eyre::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    let outcome = runtime.block_on(async {
        let session = session::Session::new(reach)?;
        asked.run(&session).await
    });
    let Err(failure) = outcome else {
        return Ok(ExitCode::SUCCESS);
    };
    eprintln!("cranberrygap: {failure}");
    if let Some(help) = failure.help() {
        eprintln!("help: {help}");
    }
    Ok(failure.code())
}
