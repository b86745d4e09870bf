//! The time that an idempotency key carries.

/// Returns the Unix time in milliseconds that a UUID of version 7 carries; `None` for other keys.
pub(super) fn timestamp_millis(key: &str) -> Option<u64> {
    let groups: Vec<&str> = key.split('-').collect();
    let lengths: Vec<usize> = groups.iter().map(|group| group.len()).collect();
    if lengths != [8, 4, 4, 4, 12] || !groups[2].starts_with('7') {
        return None;
    }
    let is_hex = |group: &&str| group.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !groups.iter().all(is_hex) {
        return None;
    }
    let digits = format!("{}{}", groups[0], groups[1]);
    u64::from_str_radix(&digits, 16).ok()
}
