//! Stand-ins for tests: model engine, booking service, weight store, fault-injecting proxy.
//!
//! Each stand-in is started with its settings, binds an address and is steered
//! at run time through its handle.

pub mod announcer;
pub mod booking;
pub mod engine;
pub mod listener;
pub mod loopback;
pub mod proxy;
pub mod record;
pub mod store;
