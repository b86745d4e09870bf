//! Runs a control process until a signal stops it.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cadence::Gauged as _;
use cranberrygap_control::{metric, process, public, residency};
use cranberrygap_link::credential;
use cranberrygap_model::address;
use cranberrygap_wire::settings;
use eyre::WrapErr;

use super::secret::fleet_secrets;
use super::{launch, metrics, signal};

/// Time between two looks at the files with secrets, and at the replica.
const LOOK: Duration = Duration::from_secs(1);

/// The daemon's start, see [`launch::main`].
#[derive(Debug)]
pub struct Daemon;

impl launch::Daemon for Daemon {
    type Settings = settings::Control;
    type Secrets = process::Secrets;

    const NAME: &'static str = "cranberrygap-control";
    const DEFINITION: &'static str = "Control";

    fn prepare(settings: &settings::Control) -> eyre::Result<process::Secrets> {
        prepare(settings)
    }

    fn log(settings: &settings::Control) -> Option<settings::Log> {
        settings.log.clone()
    }

    async fn serve(
        settings: settings::Control,
        secrets: process::Secrets,
        _file: &Path,
    ) -> eyre::Result<()> {
        serve(settings, secrets, None).await
    }
}

/// A form in which operators and endpoints speak beside the product's own.
pub trait Form: std::fmt::Debug {
    /// How runners take orders.
    fn runners(&self) -> Arc<dyn residency::RunnerClient>;

    /// Opens the listeners of this form; they serve until the process ends.
    ///
    /// # Errors
    ///
    /// An address that cannot be listened on.
    fn listen(&self, settings: &settings::Control, public: public::Api) -> eyre::Result<()>;
}

/// Runs a control process until a signal stops it.
///
/// # Errors
///
/// What keeps it from starting, or the replica's failure.
pub async fn serve(
    settings: settings::Control,
    mut held: process::Secrets,
    form: Option<&dyn Form>,
) -> eyre::Result<()> {
    let mut signals = signal::Listener::new()?;
    let prefix = format!("cranberrygap.control.{}", settings.control.instance);
    let sent = metrics::client(&settings.metrics.clone().unwrap_or_default(), &prefix)?;
    let runners = form.map_or_else(residency::no_runners, Form::runners);
    let recorder = metric::Recorder::new(Arc::clone(&sent));
    let starting = process::Process::start_with(settings.clone(), held.clone(), runners, recorder);
    let control = starting.await?;
    if let Some(form) = form {
        form.listen(&settings, control.public_api())?;
    }
    loop {
        let wish = tokio::time::timeout(LOOK, signals.next()).await;
        match wish {
            Ok(signal::Wish::Stop) => break,
            Ok(signal::Wish::Dump) => println!("{}", control.dump().await),
            // The group's members come from its log; secrets are read each second.
            Ok(signal::Wish::Reload) => refresh(&settings, &control, &mut held),
            Err(_elapsed) => {
                refresh(&settings, &control, &mut held);
                // A metric that cannot be sent is lost.
                let _lost = sent.gauge(metric::LEADS, u64::from(control.leads()));
                metrics::flush(&sent);
            }
        }
        if let Some(failure) = control.failure() {
            // It takes no part any more; as long as the process lives on, nobody
            // would notice that the group has one voter less.
            control.stop().await;
            eyre::bail!("the replica stopped: {failure}");
        }
    }
    control.stop().await;
    Ok(())
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

/// Checks settings and reads the files that they name.
///
/// # Errors
///
/// What is wrong, with section and key.
pub fn prepare(settings: &settings::Control) -> eyre::Result<process::Secrets> {
    check_settings(settings)?;
    secrets(settings)
}

/// Checks what the schema cannot say.
fn check_settings(settings: &settings::Control) -> eyre::Result<()> {
    let voters = &settings.group.voters;
    let own = &settings.control.instance;
    // A group that is tended takes in by itself who is not among its founders.
    let joins = settings.group.join || settings.group.tend;
    let listed = voters.iter().any(|voter| voter.instance == *own);
    if settings.group.join && listed {
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
    let fleet = fleet_secrets(named)?;
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
