//! Patterns in the configuration that list the idempotent calls of a service.

/// Whether a call matches `pattern`, such as `GET /lookup/*`.
///
/// A star at the end matches any rest of the path. A path with `..` matches no pattern.
#[must_use]
pub fn matches(pattern: &str, method: &str, path: &str) -> bool {
    let Some((pattern_method, pattern_path)) = pattern.split_once(' ') else {
        return false;
    };
    if pattern_method != method || path.contains("..") {
        return false;
    }
    match pattern_path.trim().strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => path == pattern_path.trim(),
    }
}
