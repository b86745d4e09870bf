//! Origins of streams: the software version that wrote a stream's first event.
//!
//! What endpoints of two versions write does not fit together, and endpoints do not check it. A
//! stream therefore goes on only at the version that began it, over all attempts of its caller and
//! at every entry.
//!
//! The entry that forwards the first event of a stream keeps its origin, and tells it to the
//! [homes](homes()) of the attempt that brought the event while several versions serve, or its route
//! leads or led to several services. It tells one control process as well, since all entries may
//! die together. An entry that a caller comes back to asks these homes, then
//! the control processes and then all entries. What nobody knows is refused, unless one version of one service alone can have begun
//! the stream.

mod book;
pub mod datagram;
mod digest;
mod home;
mod keeper;
mod key;
mod record;
mod requirement;
mod routes;
mod versions;

use cranberrygap_model::{id, software};
use serde::{Deserialize, Serialize};

pub use book::{Book, Insertion};
pub use digest::Digest;
pub use home::{Entry, HOMES, control_home, homes};
pub use keeper::Keeper;
pub use key::Key;
pub use record::Record;
pub use requirement::Requirement;
pub use routes::{contested, has_moved, prove};
pub use versions::sole_origin;

/// What wrote the first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the endpoint.
    pub service: id::Service,
    /// Version of the endpoint's software; absent if it names none.
    pub software: Option<software::Version>,
}
