//! Admission to engines whose slots are scarce.
//!
//! Slots of a model run short for seconds at a time while other requests have seconds to spare.
//! [`patience`] tells how long a request with a long objective leaves free slots to urgent ones.

pub mod patience;
