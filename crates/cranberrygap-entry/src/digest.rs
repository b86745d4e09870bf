//! Hashes that name a request by its parts.

use smol_str::SmolStr;

/// BLAKE3 over the parts in hex. Each part goes in with its length, so that parts
/// cannot be cut in another way and give the same hash.
pub(crate) fn of(parts: [&[u8]; 3]) -> SmolStr {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().as_str().into()
}
