//! Heads of HTTP responses: which of them can be trusted, and what ends their bodies.
//!
//! HTTP libraries are lenient: they read a body whose end they do not understand until its
//! connection ends, and prefer one of two statements that contradict each other. A caller could not
//! tell such a body from a good one.

pub mod defect;
pub mod head;
