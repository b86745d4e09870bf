//! Communication of this entry with the control processes.

mod demand;
mod heartbeat;
mod peers;
mod session;
mod subscription;

pub(crate) use demand::{Demand, Use};
pub(crate) use heartbeat::Heartbeat;
pub(crate) use peers::Peers;
pub(crate) use session::Session;
pub(crate) use subscription::Subscription;
