//! Which workspace a request runs for.

use cranberrygap_model::id;
use salvo::http::{Request, header};

use crate::refusal::Refusal;
use crate::view;

const SCHEME: &str = "Bearer ";

/// Shortest part of a body that is compared with a secret; secrets are longer.
const SHORTEST_SECRET: usize = 8;

/// The workspace of the request's key, with the secret for [`check_hidden`].
pub(crate) fn workspace(
    request: &Request,
    view: &view::Snapshot,
) -> Result<(id::Workspace, String), Refusal> {
    let header = request
        .headers()
        .get(header::AUTHORIZATION)
        .ok_or(Refusal::KeyUnknown)?;
    let text = header.to_str().map_err(|_cause| Refusal::KeyUnknown)?;
    let secret = text.strip_prefix(SCHEME).ok_or(Refusal::KeyUnknown)?.trim();
    let hash = cranberrygap_state::key::hash(secret);
    let key = view.key(&hash).ok_or(Refusal::KeyUnknown)?;
    Ok((key.workspace.clone(), secret.to_owned()))
}

/// Refuses a request whose passed-on parts contain its own key.
///
/// A client library that is set up wrongly may put the key into the body or the
/// path. The endpoint would then see and perhaps log it; nobody would notice
/// until it is misused.
pub(crate) fn check_hidden(secret: &str, passed_on: &[&[u8]]) -> Result<(), Refusal> {
    let needle = secret.as_bytes();
    if needle.len() < SHORTEST_SECRET {
        return Ok(());
    }
    let shown = passed_on
        .iter()
        .any(|part| part.windows(needle.len()).any(|at| at == needle));
    if shown {
        Err(Refusal::KeyExposed)
    } else {
        Ok(())
    }
}
