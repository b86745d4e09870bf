//! The start that both daemons share: arguments, settings, logs, runtime.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use cranberrygap_wire::settings;
use serde::de::DeserializeOwned;

use super::{log, settings as file};

/// Exit code of a process that refuses its settings or arguments.
pub const WRONG_SETTINGS: u8 = 2;

/// Arguments of a daemon.
#[derive(Debug, Parser)]
#[command(version, about = "A process of cranberrygap; see docs/OPERATIONS.md.")]
struct Arguments {
    /// Settings file, see docs/CONFIGURATION.md.
    #[arg(long)]
    settings: PathBuf,
    /// Only check the settings and the files they name.
    #[arg(long)]
    check: bool,
}

/// One of the daemons.
pub trait Daemon {
    /// Its settings.
    type Settings: DeserializeOwned;
    /// What it reads from files that the settings name.
    type Secrets;

    /// Name of the program.
    const NAME: &'static str;
    /// Definition of its settings in `schema/settings.json`.
    const DEFINITION: &'static str;

    /// Checks what the schema cannot say, and reads the files that are named.
    ///
    /// # Errors
    ///
    /// What is wrong, with section and key.
    fn prepare(settings: &Self::Settings) -> eyre::Result<Self::Secrets>;

    /// How it logs.
    fn log(settings: &Self::Settings) -> Option<settings::Log>;

    /// Runs until a signal stops it.
    fn serve(
        settings: Self::Settings,
        secrets: Self::Secrets,
        file: &Path,
    ) -> impl Future<Output = eyre::Result<()>>;
}

/// The whole of a daemon's `main`.
#[must_use]
pub fn main<D: Daemon>() -> ExitCode {
    let arguments = Arguments::parse();
    let prepared = prepare::<D>(&arguments);
    let (settings, secrets) = match prepared {
        Ok(prepared) => prepared,
        Err(cause) => return fail::<D>(&cause, ExitCode::from(WRONG_SETTINGS)),
    };
    if arguments.check {
        println!("{} is right", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match run::<D>(settings, secrets, &arguments.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => fail::<D>(&cause, ExitCode::FAILURE),
    }
}

fn prepare<D: Daemon>(arguments: &Arguments) -> eyre::Result<(D::Settings, D::Secrets)> {
    let settings = file::read(&arguments.settings, D::DEFINITION)?;
    let secrets = D::prepare(&settings)?;
    Ok((settings, secrets))
}

fn run<D: Daemon>(settings: D::Settings, secrets: D::Secrets, file: &Path) -> eyre::Result<()> {
    log::install(&D::log(&settings).unwrap_or_default())?;
    runtime()?.block_on(D::serve(settings, secrets, file))
}

/// A runtime with a thread for each core. On an instance with one core a second
/// thread would only cost switches between the two.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    let mut builder = if cores > 1 {
        tokio::runtime::Builder::new_multi_thread()
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    builder.enable_all().build()
}

fn fail<D: Daemon>(cause: &eyre::Report, code: ExitCode) -> ExitCode {
    eprintln!("{}: {cause:#}", D::NAME);
    code
}
