//! An entry that may take a request.

use cranberrygap_model::{address, id};

/// Another entry that may take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'view> {
    /// Address at which it takes requests.
    pub address: address::Socket,
    /// Failure domain of the entry.
    pub domain: &'view id::Domain,
    /// Requests of this entry that it has now.
    pub in_use: usize,
}
