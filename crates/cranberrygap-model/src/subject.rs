//! Names of what is suspected to crash endpoints.
//!
//! A subject is a whole request, named by its fingerprint, or a part of prompts, which many
//! different requests may hold.

use smol_str::{SmolStr, format_smolstr};

/// Beginning of the name of a part; fingerprints are hexadecimal.
const PART: &str = "part:";

/// Name of the part of prompts with this id.
#[must_use]
pub fn part(id: u64) -> SmolStr {
    format_smolstr!("{PART}{id:x}")
}

/// Whether a subject is a part of prompts.
#[must_use]
pub fn is_part(subject: &str) -> bool {
    subject.starts_with(PART)
}
