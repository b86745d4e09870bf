//! Decisions kept in bounded rings, so that people can ask a process why.

pub mod metric;
pub mod note;
pub mod ring;

mod subject;
