//! Secret files, and that secrets are not printed.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::fs;
use std::os::unix::fs::PermissionsExt as _;
use std::path::PathBuf;

use cranberrygap_link::credential;

fn write_secret_file(folder: &tempfile::TempDir, mode: u32, content: &str) -> PathBuf {
    let path = folder.path().join("secret");
    fs::write(&path, content).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(mode)).unwrap();
    path
}

#[test]
fn surrounding_space_does_not_count() {
    let folder = tempfile::tempdir().unwrap();
    let path = write_secret_file(&folder, 0o600, "0123456789abcdef\n");

    let secret = credential::Secret::read(&path).unwrap();

    assert_eq!(Some(secret), credential::Secret::new(b"0123456789abcdef"));
}

// Other users of the instance could read the secret and connect as part of the fleet.
#[test]
fn file_that_others_may_read_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = write_secret_file(&folder, 0o640, "0123456789abcdef");

    let error = credential::Secret::read(&path).unwrap_err();

    assert!(error.to_string().contains("chmod 0600"));
}

#[test]
fn short_secret_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = write_secret_file(&folder, 0o400, "0123456789abcde\n\n");

    let error = credential::Secret::read(&path).unwrap_err();

    assert!(matches!(error, credential::Error::TooShort { .. }));
}

#[test]
fn secret_is_not_printed() {
    let secret = credential::Secret::new(b"0123456789abcdef").unwrap();

    assert_eq!(format!("{secret:?}"), "Secret(..)");
}

// During a rotation, the file holds the old and the new secret.
#[test]
fn file_may_hold_several_secrets() {
    let folder = tempfile::tempdir().unwrap();
    let path = write_secret_file(&folder, 0o600, "0123456789abcdef\n\nfedcba9876543210\n");

    let first = credential::Secret::read(&path).unwrap();
    let all = credential::Secret::read_all(&path).unwrap();

    assert_eq!(all.len(), 2);
    assert_eq!(all[0], first);
}
