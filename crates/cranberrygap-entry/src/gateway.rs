//! Serves the routes of the traffic plan: any method, path and body.
//!
//! A request is read whole, checked against the plan in force, sent to one
//! endpoint at a time over connections that this entry owns, and its answer is
//! passed on as it comes. How callers and endpoints word the facts of a request is
//! a [`dialect::Dialect`]'s business.

mod answer;
mod connection;
mod delivery;
pub mod dialect;
mod endpoints;
mod failure;
mod flight;
mod gossip;
mod head;
mod line;
mod listener;
mod pool;
mod request;
mod story;
mod stream;
mod volume;

pub(crate) use endpoints::Endpoints;
pub(crate) use gossip::Gossip;
pub(crate) use listener::Listener;

use std::sync::Arc;

use cranberrygap_policy::resend;
use parking_lot::Mutex;

use crate::core;

/// The parts of a gateway that all its requests share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) core: Arc<core::Core>,
    pub(crate) dialect: Arc<dyn dialect::Dialect>,
    pub(crate) pool: pool::Pool,
    pub(crate) reserve: Mutex<resend::Budget>,
    pub(crate) volume: volume::Volume,
}

impl Gateway {
    pub(crate) fn new(core: Arc<core::Core>, dialect: Arc<dyn dialect::Dialect>) -> Arc<Self> {
        Arc::new(Self {
            core,
            dialect,
            pool: pool::Pool::default(),
            reserve: Mutex::default(),
            volume: volume::Volume::default(),
        })
    }
}
