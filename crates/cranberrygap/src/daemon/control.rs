//! Runs a control process until a signal stops it.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use cranberrygap_control::process;
use cranberrygap_link::credential;
use cranberrygap_model::address;
use cranberrygap_wire::settings;
use eyre::WrapErr;

use super::{WRONG_SETTINGS, log, settings as file, signal};

/// Time between two looks at the files with secrets, and at the replica.
const LOOK: Duration = Duration::from_secs(1);

/// Checks the settings in `path`, and unless `check` is set runs the process.
///
/// # Errors
///
/// When the process cannot start, or its replica stopped taking part.
pub fn run(path: &Path, check: bool) -> eyre::Result<ExitCode> {
    let prepared = file::read::<settings::Control>(path, "Control").map_err(eyre::Report::from);
    let prepared = prepared.and_then(|settings| {
        check_settings(&settings)?;
        let secrets = secrets(&settings)?;
        Ok((settings, secrets))
    });
    let (settings, secrets) = match prepared {
        Ok(prepared) => prepared,
        Err(cause) => {
            eprintln!("cranberrygap-control: {cause:#}");
            return Ok(ExitCode::from(WRONG_SETTINGS));
        }
    };
    if check {
        println!("{} is right", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    log::install(&settings.log.clone().unwrap_or_default())?;
    tokio::runtime::Runtime::new()?.block_on(serve(settings, secrets))
}

async fn serve(settings: settings::Control, mut held: process::Secrets) -> eyre::Result<ExitCode> {
    let mut signals = signal::Listener::new()?;
    let control = process::Process::start(settings.clone(), held.clone()).await?;
    loop {
        let wish = tokio::time::timeout(LOOK, signals.next()).await;
        match wish {
            Ok(signal::Wish::Stop) => break,
            Ok(signal::Wish::Dump) => println!("{}", control.dump().await),
            Err(_elapsed) => refresh(&settings, &control, &mut held),
        }
        if let Some(failure) = control.failure() {
            // It takes no part any more; as long as the process lives on, nobody
            // would notice that the group has one voter less.
            control.stop().await;
            eyre::bail!("the replica stopped: {failure}");
        }
    }
    control.stop().await;
    Ok(ExitCode::SUCCESS)
}

/// Takes changed secrets; a file that cannot be used changes nothing.
fn refresh(settings: &settings::Control, control: &process::Process, held: &mut process::Secrets) {
    match secrets(settings) {
        Ok(found) => {
            if found.fleet != held.fleet || found.operators != held.operators {
                spdlog::info!("control: takes changed secrets");
                control.replace_secrets(found.clone());
                *held = found;
            }
        }
        Err(cause) => spdlog::warn!("control: keeps the secrets as they were: {cause:#}"),
    }
}

/// Checks what the schema cannot say.
fn check_settings(settings: &settings::Control) -> eyre::Result<()> {
    let voters = &settings.group.voters;
    let own = &settings.control.instance;
    let joins = settings.group.join;
    let listed = voters.iter().any(|voter| voter.instance == *own);
    if joins && listed {
        eyre::bail!(
            "[group] join: {own} is among the voters; write false, or leave it out of them"
        );
    }
    if !joins && !listed {
        eyre::bail!("[group] voters: {own} is not among them; add it, or write join = true");
    }
    if !joins && !matches!(voters.len(), 1 | 3 | 5 | 7) {
        eyre::bail!(
            "[group] voters: found {}; write 1 (for trying it out), 3, 5 or 7",
            voters.len()
        );
    }
    Ok(())
}

/// Reads the files that the settings name and checks who may reach operators' methods.
fn secrets(settings: &settings::Control) -> eyre::Result<process::Secrets> {
    let named = &settings.secrets;
    let fleet = credential::Secret::read_all(named.fleet.as_str()).wrap_err("[secrets] fleet")?;
    let operators = match &named.operator {
        Some(path) => credential::Secret::read_all(path.as_str()).wrap_err("[secrets] operator")?,
        None => vec![loopback(settings.listen.admin)?],
    };
    Ok(process::Secrets { fleet, operators })
}

/// Without a token only loopback is safe to listen on for operators.
fn loopback(admin: address::Socket) -> eyre::Result<credential::Secret> {
    if !admin.0.ip().is_loopback() {
        eyre::bail!(
            "[listen] admin: {admin} is not on loopback, and [secrets] operator is not set; \
             set it to a file with a token"
        );
    }
    Ok(credential::Secret::loopback())
}
