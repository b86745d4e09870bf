//! The control process: replicated state served to entries and operators.

pub mod lines;
pub mod log;
pub mod machine;
pub mod office;
pub mod process;
pub mod proposer;
pub mod replica;
pub mod replicated;
pub mod transport;

mod clock;
mod keeper;
mod leaves;
mod operators;
mod orders;
mod peers;
mod shares;
mod store;
mod subscription;
