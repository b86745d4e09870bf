//! Runs an entry until a signal stops it.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_entry::gateway::{self, dialect};
use cranberrygap_entry::{discovery, process};
use cranberrygap_link::credential;
use cranberrygap_wire::settings;
use eyre::WrapErr;

use super::launch::Daemon as _;
use super::secret::fleet_secrets;
use super::{launch, metrics, signal, watch};

/// Time between two looks at the files with secrets.
const LOOK: Duration = Duration::from_secs(1);

/// The daemon's start, see [`launch::main`].
#[derive(Debug)]
pub struct Daemon;

impl launch::Daemon for Daemon {
    type Settings = settings::Entry;
    type Secrets = process::Secrets;

    const NAME: &'static str = "cranberrygap-entry";
    const DEFINITION: &'static str = "Entry";

    fn prepare(settings: &settings::Entry) -> eyre::Result<process::Secrets> {
        secrets(settings)
    }

    fn log(settings: &settings::Entry) -> Option<settings::Log> {
        settings.log.clone()
    }

    async fn serve(
        settings: settings::Entry,
        secrets: process::Secrets,
        file: &Path,
    ) -> eyre::Result<()> {
        serve(settings, secrets, file, None).await
    }
}

/// A form in which callers and endpoints speak beside the product's own.
pub trait Form: std::fmt::Debug {
    /// How requests of routes are worded.
    fn dialect(&self) -> Arc<dyn dialect::Dialect>;

    /// Opens the listeners of this form; they serve until the process ends.
    ///
    /// # Errors
    ///
    /// An address that cannot be listened on.
    fn listen(
        &self,
        settings: &settings::Entry,
        discovery: discovery::Discovery,
    ) -> eyre::Result<()>;
}

/// Runs an entry until a signal stops it.
///
/// # Errors
///
/// What keeps it from starting.
pub async fn serve(
    mut settings: settings::Entry,
    mut held: process::Secrets,
    file: &Path,
    form: Option<&dyn Form>,
) -> eyre::Result<()> {
    let mut signals = signal::Listener::new()?;
    let prefix = format!("cranberrygap.entry.{}", settings.entry.instance);
    let metrics = metrics::client(&settings.metrics.clone().unwrap_or_default(), &prefix)?;
    let sent = Arc::clone(&metrics);
    let dialect = form.map(Form::dialect);
    let starting =
        process::Process::start_with_dialect(settings.clone(), held.clone(), metrics, dialect);
    let entry = starting.await?;
    if let Some(form) = form {
        form.listen(&settings, entry.discovery())?;
    }
    let mut watch = watch::Watch::new(file);
    loop {
        match tokio::time::timeout(LOOK, signals.next()).await {
            Ok(signal::Wish::Stop) => break,
            Ok(signal::Wish::Dump) => println!("{}", entry.dump()),
            Ok(signal::Wish::Reload) => reload(&mut settings, &entry, file),
            Err(_elapsed) => {
                refresh(&settings, &entry, &mut held);
                if watch.has_changed() {
                    reload(&mut settings, &entry, file);
                }
                metrics::flush(&sent);
            }
        }
    }
    entry.stop().await;
    Ok(())
}

/// Takes changed settings; a file that cannot be used changes nothing.
fn reload(held: &mut settings::Entry, entry: &process::Process, file: &Path) {
    match super::settings::read::<settings::Entry>(file, Daemon::DEFINITION) {
        Ok(found) => {
            spdlog::info!("entry: takes changed settings");
            entry.reload(&found);
            held.secrets = found.secrets;
        }
        Err(cause) => spdlog::warn!("entry: keeps the settings as they were: {cause}"),
    }
}

/// Takes changed secrets; a file that cannot be used changes nothing.
fn refresh(settings: &settings::Entry, entry: &process::Process, held: &mut process::Secrets) {
    match secrets(settings) {
        Ok(found) if found.fleet != held.fleet || found.operators != held.operators => {
            spdlog::info!("entry: takes changed secrets");
            entry.replace_secrets(&found);
            *held = found;
        }
        Ok(_unchanged) => {}
        Err(cause) => spdlog::warn!("entry: keeps the secrets as they were: {cause:#}"),
    }
}

/// Reads the files that the settings name and checks who may reach operators' methods, and the
/// memory for callers.
///
/// # Errors
///
/// A file or value that cannot be used, with section and key.
pub fn secrets(settings: &settings::Entry) -> eyre::Result<process::Secrets> {
    check_memory(settings)?;
    let named = &settings.secrets;
    let fleet = fleet_secrets(named)?;
    let fleet = fleet.into_iter().next();
    let fleet = fleet.ok_or_else(|| eyre::eyre!("[secrets] fleet: it holds no secret"))?;
    let mut operators = Vec::new();
    if let Some(path) = &named.operator {
        operators = credential::Secret::read_all(path.as_str()).wrap_err("[secrets] operator")?;
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

fn check_memory(settings: &settings::Entry) -> eyre::Result<()> {
    let limits = settings.limits.as_ref();
    let memory = limits.and_then(|limits| limits.memory);
    if let Some(memory) = memory.filter(|memory| *memory < gateway::MIN_MEMORY) {
        eyre::bail!(
            "[limits] memory: {memory} is too little, as a third of it must hold a response; \
             set it to {} or more, or leave it out",
            gateway::MIN_MEMORY
        );
    }
    Ok(())
}

fn token(path: &str) -> eyre::Result<String> {
    credential::Secret::read(path).wrap_err("[secrets] endpoint")?;
    let text = std::fs::read_to_string(path).wrap_err("[secrets] endpoint")?;
    Ok(text.trim().to_owned())
}
