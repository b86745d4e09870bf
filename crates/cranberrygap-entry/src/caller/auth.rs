//! Authentication: finds the workspace of a request's key.

use cranberrygap_model::id;
use salvo::http::{Request, header};

use crate::refusal::Refusal;
use crate::view;

const BEARER_PREFIX: &str = "Bearer ";

/// Shortest secret that is searched for in a request, in bytes. Issued secrets are longer.
const MIN_SECRET_BYTES: usize = 8;

/// Returns the workspace of the request's key, and the secret for [`check_key_exposure`].
pub(crate) fn authenticate(
    request: &Request,
    view: &view::Snapshot,
) -> Result<(id::Workspace, String), Refusal> {
    let header = request
        .headers()
        .get(header::AUTHORIZATION)
        .ok_or(Refusal::KeyUnknown)?;
    let text = header.to_str().map_err(|_cause| Refusal::KeyUnknown)?;
    let secret = text
        .strip_prefix(BEARER_PREFIX)
        .ok_or(Refusal::KeyUnknown)?
        .trim();
    let hash = cranberrygap_state::key::hash(secret);
    let key = view.key(&hash).ok_or(Refusal::KeyUnknown)?;
    Ok((key.workspace.clone(), secret.to_owned()))
}

/// Refuses a request if a part that is forwarded to an endpoint contains the key.
///
/// A misconfigured client library may put the key into the body or the path. The endpoint
/// would then see the key and might log it, and nobody would notice before it is misused.
pub(crate) fn check_key_exposure(secret: &str, forwarded: &[&[u8]]) -> Result<(), Refusal> {
    let needle = secret.as_bytes();
    if needle.len() < MIN_SECRET_BYTES {
        return Ok(());
    }
    let is_exposed = forwarded
        .iter()
        .any(|part| part.windows(needle.len()).any(|window| window == needle));
    if is_exposed {
        Err(Refusal::KeyExposed)
    } else {
        Ok(())
    }
}
