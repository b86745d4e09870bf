//! Network addresses by IP number; names are never resolved.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ParseError;
use crate::id;

/// An IP number and a port, such as `10.0.0.7:8080` or `[fd00::7]:8080`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Socket(pub SocketAddr);

/// A named instance and where it listens, such as `control-1@10.0.0.7:9000`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Peer {
    /// The instance's name.
    pub instance: id::Instance,
    /// Where the instance listens for the system's other processes.
    pub address: Socket,
}

const SOCKET_FORM: &str = "an IP number and port such as 10.0.0.7:8080";
const PEER_FORM: &str = "a name, @, IP number and port such as control-1@10.0.0.7:9000";

impl fmt::Display for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0.to_string())
    }
}

impl FromStr for Socket {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse()
            .map(Self)
            .map_err(|_cause| ParseError::new(text, SOCKET_FORM))
    }
}

impl TryFrom<SmolStr> for Socket {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Socket> for SmolStr {
    fn from(socket: Socket) -> Self {
        SmolStr::new(socket.to_string())
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.instance, self.address)
    }
}

impl FromStr for Peer {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new(text, PEER_FORM);
        let (name, address) = text.split_once('@').ok_or_else(wrong)?;
        let instance = name.parse().map_err(|_cause| wrong())?;
        let address = address.parse().map_err(|_cause| wrong())?;
        Ok(Self { instance, address })
    }
}

impl TryFrom<SmolStr> for Peer {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Peer> for SmolStr {
    fn from(peer: Peer) -> Self {
        SmolStr::new(peer.to_string())
    }
}
