//! The control process: replicated state served to entries and operators.

pub mod log;
pub mod machine;
pub mod replica;
pub mod transport;
