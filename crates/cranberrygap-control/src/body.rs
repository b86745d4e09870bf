//! Reads the bodies of responses.

use cranberrygap_response::defect::Defect;
use cranberrygap_response::head;

/// Reads the body of a successful response whose head is sound; `None` if it has more than `max_bytes`.
///
/// # Errors
///
/// A defect of the head, another status than one of success, or a connection that broke.
pub(crate) async fn read<E>(
    response: reqwest::Response,
    max_bytes: usize,
) -> Result<Option<Vec<u8>>, E>
where
    E: From<reqwest::Error> + From<Defect>,
{
    head::Head::check(
        response.status(),
        response.headers(),
        response.content_length(),
    )?;
    let mut response = response.error_for_status()?;
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        body.extend_from_slice(&chunk);
        if body.len() > max_bytes {
            return Ok(None);
        }
    }
    Ok(Some(body))
}
