//! The stored and sent form of addresses: IPv4 only, in four bytes.

use std::net::{IpAddr, SocketAddr};

use bitcode::{Decode, Encode};

/// The wire form of an IPv4 address. Core machines are identified by their addresses.
pub type Ip = [u8; 4];

/// Returns the wire form of an address. No deployment uses IPv6; an IPv6 address becomes `0.0.0.0`.
pub fn ip_octets(address: IpAddr) -> Ip {
    match address {
        IpAddr::V4(v4) => v4.octets(),
        IpAddr::V6(_) => [0; 4],
    }
}

/// Returns the address for a wire form.
pub fn ip_addr(ip: Ip) -> IpAddr {
    IpAddr::V4(ip.into())
}

/// Returns addresses in dotted decimal notation.
pub fn ip_strings(ips: impl IntoIterator<Item = Ip>) -> Vec<String> {
    let ips = ips.into_iter();
    ips.map(|ip| ip_addr(ip).to_string()).collect()
}

/// The wire form of an IP address and port.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Endpoint {
    /// The IP address of the machine.
    pub ip: Ip,
    /// The TCP port.
    pub port: u16,
}

impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Endpoint {
            ip: ip_octets(address.ip()),
            port: address.port(),
        }
    }
}

impl From<Endpoint> for SocketAddr {
    fn from(endpoint: Endpoint) -> Self {
        SocketAddr::new(ip_addr(endpoint.ip), endpoint.port)
    }
}
