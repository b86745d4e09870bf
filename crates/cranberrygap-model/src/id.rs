//! Names of the things that the system speaks of.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ParseError;

/// Longest name that is taken, in bytes. Bounds what a caller can make us store.
pub const LONGEST_NAME: usize = 128;

const NAME_FORM: &str = "a name of 1 to 128 letters, digits or any of - _ . : / @";

fn is_name(text: &str) -> bool {
    let fits = (1..=LONGEST_NAME).contains(&text.len());
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/@".contains(c);
    fits && text.chars().all(plain)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// The name that the code itself gives; it has the form of all names.
            #[must_use]
            pub const fn from_static(text: &'static str) -> Self {
                Self(SmolStr::new_static(text))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if !is_name(text) {
                    return Err(ParseError::new(text, NAME_FORM));
                }
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = ParseError;

            fn try_from(text: SmolStr) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type! {
    /// An instance that runs an entry or a control process.
    Instance
}
name_type! {
    /// A failure domain: instances and endpoints that may go together.
    Domain
}
name_type! {
    /// A workspace: one customer with its keys, rate and burst.
    Workspace
}
name_type! {
    /// An endpoint: one model runner or one plain service process.
    Endpoint
}
name_type! {
    /// A model, adapter or version by the name that callers use.
    Model
}
name_type! {
    /// A plain service behind `/services/{name}/`.
    Service
}
name_type! {
    /// A key's public id. It is not the secret.
    Key
}
name_type! {
    /// One request of a caller, over all its attempts.
    Request
}
name_type! {
    /// One dispatch of a request to one endpoint.
    Attempt
}
name_type! {
    /// One change asked for by an operator; a resend carries the same id.
    Change
}
name_type! {
    /// A load or unload order; a resend carries the same id.
    Order
}
