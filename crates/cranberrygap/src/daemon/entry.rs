//! Runs an entry until a signal stops it.

use std::path::Path;
use std::process::ExitCode;

use cranberrygap_entry::process;
use cranberrygap_link::credential;
use cranberrygap_wire::settings;
use eyre::WrapErr;

use super::{WRONG_SETTINGS, log, metrics, settings as file, signal};

/// Checks the settings in `path`, and unless `check` is set runs the entry.
///
/// # Errors
///
/// When the entry cannot start.
pub fn run(path: &Path, check: bool) -> eyre::Result<ExitCode> {
    let prepared = file::read::<settings::Entry>(path, "Entry").map_err(eyre::Report::from);
    let prepared = prepared.and_then(|settings| {
        let secrets = secrets(&settings)?;
        Ok((settings, secrets))
    });
    let (settings, secrets) = match prepared {
        Ok(prepared) => prepared,
        Err(cause) => {
            eprintln!("cranberrygap-entry: {cause:#}");
            return Ok(ExitCode::from(WRONG_SETTINGS));
        }
    };
    if check {
        println!("{} is right", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    log::install(&settings.log.clone().unwrap_or_default())?;
    tokio::runtime::Runtime::new()?.block_on(serve(settings, secrets))?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: settings::Entry, secrets: process::Secrets) -> eyre::Result<()> {
    let mut signals = signal::Listener::new()?;
    let prefix = format!("cranberrygap.entry.{}", settings.entry.instance);
    let metrics = metrics::client(&settings.metrics.clone().unwrap_or_default(), &prefix)?;
    let entry = process::Process::start(settings, secrets, metrics).await?;
    while signals.next().await == signal::Wish::Dump {
        println!("{}", entry.dump());
    }
    entry.stop().await;
    Ok(())
}

/// Reads the files that the settings name and checks who may reach operators' methods.
fn secrets(settings: &settings::Entry) -> eyre::Result<process::Secrets> {
    let named = &settings.secrets;
    let fleet = credential::Secret::read(named.fleet.as_str()).wrap_err("[secrets] fleet")?;
    let mut operators = Vec::new();
    if let Some(path) = &named.operator {
        operators.push(credential::Secret::read(path.as_str()).wrap_err("[secrets] operator")?);
    } else if !settings.listen.admin.0.ip().is_loopback() {
        eyre::bail!(
            "[listen] admin: {} is not on loopback, and [secrets] operator is not set; \
             set it to a file with a token",
            settings.listen.admin
        );
    }
    let endpoint = named
        .endpoint
        .as_ref()
        .map(|path| token(path.as_str()))
        .transpose()?;
    Ok(process::Secrets {
        fleet,
        operators,
        endpoint,
    })
}

fn token(path: &str) -> eyre::Result<String> {
    credential::Secret::read(path).wrap_err("[secrets] endpoint")?;
    let text = std::fs::read_to_string(path).wrap_err("[secrets] endpoint")?;
    Ok(text.trim().to_owned())
}
