//! Hashes that identify a request by its parts.

use smol_str::SmolStr;

/// Returns the BLAKE3 hash of the parts.
///
/// The length of each part is hashed before it, so that the same bytes split into other parts
/// have another hash.
pub(crate) fn hash<const PARTS: usize>(parts: [&[u8]; PARTS]) -> [u8; blake3::OUT_LEN] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// Returns the BLAKE3 hash of the parts in hex.
pub(crate) fn hash_parts(parts: [&[u8]; 3]) -> SmolStr {
    blake3::Hash::from_bytes(hash(parts))
        .to_hex()
        .as_str()
        .into()
}
