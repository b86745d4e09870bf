//! Replicated log: elections, membership and snapshots without I/O.
