//! Routing decisions without I/O: load, prefix affinity, latency targets.
