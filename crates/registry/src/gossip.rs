//! The UDP socket for gossip between registries.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use damsonbeam_control::address::ip_addr;
use damsonbeam_control::messages::{Datagram, decode};
use damsonbeam_control::settings::{InternalPort, Settings};
use tokio::net::UdpSocket;

use crate::registry::{OutgoingDatagram, SharedRegistry};

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Sends and receives gossip datagrams. All registries use the same port.
#[derive(Clone)]
pub(crate) struct GossipSocket {
    socket: Rc<UdpSocket>,
    port: u16,
}

impl GossipSocket {
    pub(crate) async fn bind(settings: &Settings) -> io::Result<Self> {
        let address = settings.internal_address(settings.ip_address, InternalPort::Gossip);
        let socket = UdpSocket::bind(address).await?;
        Ok(GossipSocket {
            socket: Rc::new(socket),
            port: address.port(),
        })
    }

    pub(crate) async fn send(&self, datagrams: Vec<OutgoingDatagram>) {
        for (to, bytes) in datagrams {
            let address = SocketAddr::new(ip_addr(to), self.port);
            self.socket.send_to(&bytes, address).await.ok();
        }
    }

    /// Passes received datagrams to the registry and sends its answers, for as long as the process runs.
    pub(crate) async fn receive_all(self, registry: SharedRegistry) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Ok(datagram) = decode::<Datagram>(&buffer[..length]) else {
                continue;
            };
            if from.ip() == ip_addr(datagram.from) {
                let answers = registry.borrow_mut().receive_datagram(&datagram);
                self.send(answers).await;
            }
        }
    }
}
