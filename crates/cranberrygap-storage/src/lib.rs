//! Data folder: checksummed log segments and snapshots, synced.
