//! Counters that order events: revisions, terms, boots, sequences, fencing.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse()
                    .map(Self)
                    .map_err(|_cause| ParseError::new(text, "a whole number from 0"))
            }
        }
    };
}

number_type! {
    /// Position of a committed change in the replicated state.
    Revision
}
number_type! {
    /// Position of an entry in the replicated log.
    Index
}
number_type! {
    /// A leader's period of office.
    Term
}
number_type! {
    /// Drawn anew each time an endpoint's or entry's process starts.
    Boot
}
number_type! {
    /// Rises by one with each event of one source.
    Sequence
}
number_type! {
    /// Rises with each leader; an endpoint that checks it refuses older orders.
    Fence
}
