//! The connections of a store: connections opened by other processes, and one connection to each desired peer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_addr};
use damsonbeam_control::link::{self, MessageReader, MessageSender};
use damsonbeam_control::messages::Message;
use damsonbeam_control::settings::{InternalPort, Settings};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long a connection may be silent before it is closed. The comparisons of the repair reach each peer within this
/// time, even if nothing else is sent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum LinkId {
    /// A connection opened by another process, numbered in the order of acceptance.
    Accepted(u64),
    /// The connection that this process opened to a peer.
    Peer(Ip),
}

/// An event on a connection.
pub(super) enum LinkEvent {
    /// A connection of another process was accepted.
    Accepted {
        link: LinkId,
        from: Ip,
        sender: MessageSender,
    },
    /// A connection opened by another process has ended.
    Closed { link: LinkId },
    /// The connection to a peer is up.
    PeerUp { peer: Ip, sender: MessageSender },
    /// The connection to a peer has ended.
    PeerDown { peer: Ip },
    /// A message was received.
    Received { link: LinkId, message: Message },
}

type EventSender = mpsc::Sender<LinkEvent>;

/// Accepts the connections of other processes.
pub(super) async fn accept(listener: TcpListener, events: EventSender) {
    for number in 1u64.. {
        let Ok((stream, address)) = listener.accept().await else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let IpAddr::V4(from) = address.ip() else {
            continue;
        };
        let link = LinkId::Accepted(number);
        let from = from.octets();
        link::configure(&stream);
        let (reader, sender) = link::into_reader_and_sender(stream);
        let events = events.clone();
        tokio::task::spawn_local(async move {
            let accepted = LinkEvent::Accepted { link, from, sender };
            events.send(accepted).await.ok();
            receive_all(reader, link, &events).await;
            events.send(LinkEvent::Closed { link }).await.ok();
        });
    }
}

async fn receive_all(mut reader: MessageReader, link: LinkId, events: &EventSender) {
    while let Ok(message) = reader.next::<Message>(SILENCE_TIMEOUT).await {
        if events
            .send(LinkEvent::Received { link, message })
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Keeps a connection to each desired peer.
pub(super) struct PeerLinks {
    settings: Rc<Settings>,
    events: EventSender,
    desired_peers: Rc<RefCell<Vec<Ip>>>,
    tasks: HashMap<Ip, JoinHandle<()>>,
}

impl PeerLinks {
    pub(super) fn new(settings: Rc<Settings>, events: EventSender) -> Self {
        PeerLinks {
            settings,
            events,
            desired_peers: Rc::default(),
            tasks: HashMap::new(),
        }
    }

    /// Sets the desired peers. The connection to a peer that is no longer desired stays open until it breaks, and is
    /// not reopened.
    pub(super) fn connect_to(&mut self, peers: Vec<Ip>) {
        self.tasks.retain(|_, task| !task.is_finished());
        for peer in &peers {
            let start = || {
                let settings = self.settings.clone();
                let desired_peers = self.desired_peers.clone();
                tokio::task::spawn_local(keep_connected(
                    *peer,
                    settings,
                    desired_peers,
                    self.events.clone(),
                ))
            };
            self.tasks.entry(*peer).or_insert_with(start);
        }
        *self.desired_peers.borrow_mut() = peers;
    }
}

/// Keeps connecting to a peer for as long as the peer is desired.
async fn keep_connected(
    peer: Ip,
    settings: Rc<Settings>,
    desired_peers: Rc<RefCell<Vec<Ip>>>,
    events: EventSender,
) {
    let address = settings.internal_address(ip_addr(peer), InternalPort::Store);
    while desired_peers.borrow().contains(&peer) {
        // Bind to the machine's own address, by which the peer identifies this store.
        let connected = link::connect_from(settings.ip_address, address, CONNECT_TIMEOUT).await;
        if let Ok(stream) = connected {
            let (reader, sender) = link::into_reader_and_sender(stream);
            events.send(LinkEvent::PeerUp { peer, sender }).await.ok();
            receive_all(reader, LinkId::Peer(peer), &events).await;
            events.send(LinkEvent::PeerDown { peer }).await.ok();
        }
        sleep(RETRY_INTERVAL).await;
    }
}
