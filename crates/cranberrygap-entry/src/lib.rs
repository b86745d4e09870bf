//! The entry process: callers, keys, limits, routing and streams.
