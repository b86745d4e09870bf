//! The secret by which the system's processes know each other.

use cranberrygap_link::credential;
use cranberrygap_wire::settings;
use eyre::WrapErr as _;

/// The fleet's secrets by the settings.
///
/// # Errors
///
/// A file that cannot be used, or settings that neither name one nor say that the
/// network is trusted. Without that word a forgotten line would open the fleet to
/// whoever reaches its ports.
pub(super) fn fleet_secrets(named: &settings::Secrets) -> eyre::Result<Vec<credential::Secret>> {
    match (&named.fleet, named.trusted_network) {
        (Some(path), false) => {
            credential::Secret::read_all(path.as_str()).wrap_err("[secrets] fleet")
        }
        (None, true) => {
            warn_once();
            Ok(vec![credential::Secret::trusted_network()])
        }
        (Some(_), true) => eyre::bail!("[secrets] fleet: leave it out, or trusted_network"),
        (None, false) => eyre::bail!(
            "[secrets] fleet: must be given; write trusted_network = true if the network itself \
             keeps strangers out"
        ),
    }
}

/// Says at the start, and not at each later reading, that there is no secret.
fn warn_once() {
    static SAID: std::sync::Once = std::sync::Once::new();
    SAID.call_once(|| {
        spdlog::warn!("link: the network is trusted; whoever reaches it may join the fleet");
    });
}
