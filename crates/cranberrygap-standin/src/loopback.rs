//! Loopback addresses that no other test process uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use cranberrygap_model::address;

/// First port given out; below the range from which outgoing connections draw.
const FIRST_PORT: u32 = 20_000;
/// Last bytes of an address that are used, 1 to this.
const HOSTS: u32 = 250;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address in 127.0.0.0/8 that this process has not given out before.
///
/// The second and third byte come from the process id, so that tests that run
/// at the same time do not meet.
#[must_use]
pub fn unique() -> address::Socket {
    let process = std::process::id();
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    let second = u8::try_from((process >> 8) & 0x7f).unwrap_or_default();
    let third = u8::try_from(process & 0xff).unwrap_or_default();
    let fourth = u8::try_from(count % HOSTS + 1).unwrap_or(1);
    let port = FIRST_PORT + count / HOSTS + ((process >> 15) & 0x7f) * 64;
    let port = u16::try_from(port).unwrap_or(u16::MAX);
    let ip = IpAddr::V4(Ipv4Addr::new(127, second, third, fourth));
    address::Socket(SocketAddr::new(ip, port))
}
