//! Statements of endpoints of the product's own API that they did not run a request.

/// Whether the body of a refusal states that the endpoint did not run the request.
///
/// A status alone proves nothing: an endpoint may fail after a run with any of them, and a proxy in
/// between may have set it.
pub(crate) fn is_stated(body: &[u8]) -> bool {
    let parsed = serde_json::from_slice::<serde_json::Value>(body);
    parsed.is_ok_and(|parsed| parsed["outcome"] == "not_run")
}
