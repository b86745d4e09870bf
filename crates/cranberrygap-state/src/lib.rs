//! Replicated state: configuration, keys, endpoints, shares, claims, orders.
