//! Fleet decisions without I/O: memory ledger, orders, placement, forecasts.
