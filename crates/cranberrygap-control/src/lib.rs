//! The control process: replicated state served to entries and operators.

pub mod lines;
pub mod log;
pub mod machine;
pub mod office;
pub mod process;
pub mod proposer;
pub mod public;
pub mod replica;
pub mod replicated;
pub mod residency;
pub mod transport;

mod keeper;
mod leaves;
mod operators;
mod orders;
mod peers;
mod shares;
mod steward;
mod store;
mod subscription;
