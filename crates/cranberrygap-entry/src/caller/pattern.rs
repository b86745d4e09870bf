//! Which calls of a service may be repeated, as the configuration lists them.

/// Whether `pattern`, such as `GET /lookup/*`, covers a call.
///
/// A star at the end stands for any rest of the path without `..`.
#[must_use]
pub fn matches(pattern: &str, method: &str, path: &str) -> bool {
    let Some((wanted_method, wanted_path)) = pattern.split_once(' ') else {
        return false;
    };
    if wanted_method != method || path.contains("..") {
        return false;
    }
    match wanted_path.trim().strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => path == wanted_path.trim(),
    }
}
