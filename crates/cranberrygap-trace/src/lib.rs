//! Ring buffers of recent decisions, from which operators can query why a process
//! took an action.

pub mod metric;
pub mod note;
pub mod ring;

mod subject;
