//! Addresses as they are stored and sent: IPv4 only, in four bytes.

use std::net::{IpAddr, SocketAddr};

use bitcode::{Decode, Encode};

/// An IPv4 address as it goes over the wire. The core machines are identified by theirs.
pub type Ip = [u8; 4];

/// The wire form of an address; IPv6, which no deployment uses, becomes 0.0.0.0.
pub fn octets(address: IpAddr) -> Ip {
    match address {
        IpAddr::V4(v4) => v4.octets(),
        IpAddr::V6(_) => [0; 4],
    }
}

/// The address of a wire form.
pub fn ip_addr(ip: Ip) -> IpAddr {
    IpAddr::V4(ip.into())
}

/// Wire forms as they are printed.
pub fn ip_texts(ips: impl IntoIterator<Item = Ip>) -> Vec<String> {
    let ips = ips.into_iter();
    ips.map(|ip| ip_addr(ip).to_string()).collect()
}

/// An address and port as they go over the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Endpoint {
    /// The machine.
    pub ip: Ip,
    /// The TCP port.
    pub port: u16,
}

impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Endpoint {
            ip: octets(address.ip()),
            port: address.port(),
        }
    }
}

impl From<Endpoint> for SocketAddr {
    fn from(endpoint: Endpoint) -> Self {
        SocketAddr::new(ip_addr(endpoint.ip), endpoint.port)
    }
}
