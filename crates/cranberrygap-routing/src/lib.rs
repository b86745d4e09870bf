//! Routing decisions without I/O: load, prefix affinity, latency targets.
//!
//! Each entry has one [`router::Router`]. It chooses among the endpoints that have the
//! model by corrected load ([`load`]), the batch size that keeps the latency targets
//! ([`batch`]) and the expected prefix hit ([`prefix`]). Requests without a free slot
//! wait in [`pending`], at the entry rather than the engine, where they can still be
//! reordered or sent elsewhere.
//!
//! [`admission`] decides which requests get the scarce slots of an engine.
//!
//! [`brittle`] spares endpoints that fall over when they turn away requests, [`cold`] those that
//! bear few requests after their start, and [`evacuation`] tells which failure domains get none.
//!
//! [`gate`] closes processes that asked for rest or drain.
//!
//! [`limit`] keeps the limits that endpoints in need name, and [`path`] tells whether an entry
//! reaches the endpoints at all; [`peers`] chooses the entry that sends requests for one that
//! does not.
//!
//! [`origin`] keeps streams at the software version that began them.
//!
//! [`prompt`] chooses among the engines of a service by the predicted time to the first
//! event.

pub mod admission;
pub mod batch;
pub mod brittle;
pub mod cold;
pub mod evacuation;
pub mod gate;
pub mod limit;
pub mod load;
pub mod origin;
pub mod path;
pub mod peers;
pub mod pending;
pub mod prefix;
pub mod prompt;
pub mod router;
