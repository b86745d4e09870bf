//! Authenticated connections between the processes over jsonrpsee.
//!
//! Both ends prove that they hold the secret of a [`credential::Role`] without
//! sending it: each answers the other's nonce with a keyed hash. The handshake
//! yields the session keys, and every later message in either direction carries
//! a counter and a keyed hash. A relay between the ends can therefore neither
//! add, change nor replay a message. The content is not encrypted.

pub mod client;
pub mod clock;
pub mod compression;
pub mod credential;
pub mod error;
pub mod handshake;
pub mod processor;
pub mod server;
pub mod session;
pub mod traffic;

mod message;
