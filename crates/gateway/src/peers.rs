//! Exchange of short datagrams with the other gateways. Datagrams may be late or lost.

use std::net::SocketAddr;

use damsonbeam::interface::GatewayId;
use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::log::log;
use crate::messages::{PeerDatagram, ToDispatcher};
use crate::sizes::MAX_DATAGRAM;

/// Actor that exchanges datagrams with the other gateways.
pub struct Peers {
    /// Socket on which this gateway sends and receives datagrams.
    pub socket: UdpSocket,
    /// Addresses of the gateways, indexed by gateway number.
    pub peers: Vec<SocketAddr>,
    /// Address at which a datagram reaches all other gateways, if there is one.
    pub broadcast_address: Option<SocketAddr>,
    /// Receives the messages of the other gateways.
    pub dispatcher: mpsc::Sender<ToDispatcher>,
    /// Datagrams to send.
    pub mailbox: mpsc::Receiver<PeerDatagram>,
}

impl Peers {
    /// Binds the socket with `SO_REUSEADDR`, because during a handover two processes of a gateway use the same address.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
        let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        UdpSocket::from_std(socket.into())
    }

    /// Runs until the mailbox is closed or the dispatcher has ended.
    pub async fn run(mut self) {
        let mut bytes = [0; MAX_DATAGRAM + 1];
        loop {
            tokio::select! {
                message = self.mailbox.recv() => {
                    let Some(PeerDatagram { to, bytes }) = message else { return };
                    let address = match to {
                        Some(gateway) => self.peers.get(gateway.0 as usize).copied(),
                        None => self.broadcast_address,
                    };
                    if bytes.len() > MAX_DATAGRAM {
                        log!(warn, "peer-message-too-long", "datagram of {} bytes exceeds the limit and was not sent", bytes.len());
                    } else if let Some(address) = address {
                        self.socket.send_to(&bytes, address).await.ok();
                    }
                }
                Ok((n, sender)) = self.socket.recv_from(&mut bytes) => {
                    let from = self.peers.iter().position(|peer| *peer == sender);
                    if let Some(from) = from.filter(|_| n <= MAX_DATAGRAM) {
                        let (from, bytes) = (GatewayId(from as u32), bytes[..n].to_vec());
                        if self.dispatcher.send(ToDispatcher::PeerMessage { from, bytes }).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
    }
}
