//! The other gateways: short datagrams, late or never.

use std::net::SocketAddr;

use damsonbeam::interface::GatewayId;
use socket2::{Domain, Socket, Type};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::log::log;
use crate::messages::{ToDispatcher, ToPeers};
use crate::sizes::DATAGRAM;

/// The actor that exchanges datagrams with the other gateways.
pub struct Peers {
    /// Where they call.
    pub socket: UdpSocket,
    /// The gateways, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Where all others are reached at once.
    pub all: Option<SocketAddr>,
    /// Where their messages go.
    pub dispatcher: mpsc::Sender<ToDispatcher>,
    /// What is to be sent.
    pub mailbox: mpsc::Receiver<ToPeers>,
}

impl Peers {
    /// Two processes of one gateway may listen at a time, while the one follows the other.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub fn bind(at: SocketAddr) -> std::io::Result<UdpSocket> {
        let socket = Socket::new(Domain::for_address(at), Type::DGRAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        UdpSocket::from_std(socket.into())
    }

    /// Runs until nobody sends any more.
    pub async fn run(mut self) {
        let mut bytes = [0; DATAGRAM + 1];
        loop {
            tokio::select! {
                message = self.mailbox.recv() => {
                    let Some(ToPeers { to, bytes }) = message else { return };
                    let at = match to {
                        Some(g) => self.peers.get(g.0 as usize).copied(),
                        None => self.all,
                    };
                    if bytes.len() > DATAGRAM {
                        log!(warn, "peer-message-too-long", "{} bytes, not sent", bytes.len());
                    } else if let Some(at) = at {
                        self.socket.send_to(&bytes, at).await.ok();
                    }
                }
                Ok((n, sender)) = self.socket.recv_from(&mut bytes) => {
                    let from = self.peers.iter().position(|p| *p == sender);
                    if let Some(from) = from.filter(|_| n <= DATAGRAM) {
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
