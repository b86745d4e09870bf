//! Waits on conditions with generous limits; the machine may be busy.

use std::time::Duration;

/// Longest wait for anything. A test that takes this long has failed.
pub const LIMIT: Duration = Duration::from_secs(40);
/// Time between looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// Waits until the condition holds.
///
/// # Panics
///
/// When it does not hold within the limit.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    };
    let outcome = tokio::time::timeout(LIMIT, waiting).await;
    assert!(outcome.is_ok(), "never happened: {what}");
}

/// Waits until there is a value and returns it.
///
/// # Panics
///
/// When there is none within the limit.
pub async fn some<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let mut found = None;
    until(what, async || {
        found = look().await;
        found.is_some()
    })
    .await;
    found.unwrap()
}
