//! The connections of a store: those that other processes open, and one to each peer that is wanted.

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
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Nothing need be sent on a connection between stores for long: the repair reaches each peer in this time.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Names a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum LinkId {
    /// Opened by another process; numbered in order.
    Accepted(u64),
    /// Opened by this one, to a peer.
    Peer(Ip),
}

/// What happens on the connections.
pub(super) enum LinkEvent {
    /// Another process has connected.
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
    /// A message came.
    Received { link: LinkId, message: Message },
}

type EventSender = mpsc::Sender<LinkEvent>;

/// Accepts the connections of other processes.
pub(super) async fn accept(listener: TcpListener, events: EventSender) {
    for number in 1u64.. {
        let Ok((stream, address)) = listener.accept().await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let IpAddr::V4(from) = address.ip() else {
            continue;
        };
        let link = LinkId::Accepted(number);
        let from = from.octets();
        link::configure(&stream);
        let (reader, sender) = link::split(stream);
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

/// A connection to each peer that is wanted.
pub(super) struct PeerLinks {
    settings: Rc<Settings>,
    events: EventSender,
    wanted: Rc<RefCell<Vec<Ip>>>,
    tasks: HashMap<Ip, JoinHandle<()>>,
}

impl PeerLinks {
    pub(super) fn new(settings: Rc<Settings>, events: EventSender) -> Self {
        PeerLinks {
            settings,
            events,
            wanted: Rc::default(),
            tasks: HashMap::new(),
        }
    }

    /// Sets the peers that are wanted. The connection to one that is not wanted any more ends when it breaks.
    pub(super) fn connect_to(&mut self, peers: Vec<Ip>) {
        self.tasks.retain(|_, task| !task.is_finished());
        for peer in &peers {
            let start = || {
                let settings = self.settings.clone();
                let wanted = self.wanted.clone();
                tokio::task::spawn_local(keep_connected(
                    *peer,
                    settings,
                    wanted,
                    self.events.clone(),
                ))
            };
            self.tasks.entry(*peer).or_insert_with(start);
        }
        *self.wanted.borrow_mut() = peers;
    }
}

/// Connects to one peer, again and again while it is wanted.
async fn keep_connected(
    peer: Ip,
    settings: Rc<Settings>,
    wanted: Rc<RefCell<Vec<Ip>>>,
    events: EventSender,
) {
    let address = settings.internal_address(ip_addr(peer), InternalPort::Store);
    while wanted.borrow().contains(&peer) {
        // From the machine's own address, by which the peer identifies this store.
        let connected = link::connect_from(settings.ip_address, address, CONNECT_TIMEOUT).await;
        if let Ok(stream) = connected {
            let (reader, sender) = link::split(stream);
            events.send(LinkEvent::PeerUp { peer, sender }).await.ok();
            receive_all(reader, LinkId::Peer(peer), &events).await;
            events.send(LinkEvent::PeerDown { peer }).await.ok();
        }
        sleep(RETRY_PAUSE).await;
    }
}
