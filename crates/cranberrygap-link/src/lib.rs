//! Authenticated connections between the processes over jsonrpsee.
//!
//! Both ends prove that they hold the secret of a [`credential::Role`] without
//! sending it: each answers the other's nonce with a keyed hash. The proof
//! yields a key for the session, and every later message in either direction
//! carries a counter and a keyed hash under it. So whoever relays a handshake
//! can neither add, change nor repeat a message. The content is not encrypted.

pub mod client;
pub mod clock;
pub mod credential;
pub mod error;
pub mod handshake;
pub mod processor;
pub mod server;
pub mod session;

mod message;
