//! Client connections to the registries. Configuration items and backend lists from all registries are merged by
//! version, so that neither ever reverts to an older version while the process runs, whichever registry sends it first.
//!
//! `state` holds the merged data of all registries and `session` handles one connection; this file opens the
//! connections and reconnects them.

mod session;
mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_addr};
use damsonbeam_control::allotment::AbsentAllotments;
use damsonbeam_control::link;
use damsonbeam_control::messages::{Allotment, Backend, Heartbeat, Message, NamedCount};
use damsonbeam_control::settings::{InternalPort, Settings};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep};

use session::RegistrySession;
pub use state::{ControlState, SharedControlState};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Interval between status reports to each registry of this region and to the coordinator.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// Every so many status reports, one also goes to the registries of other regions, whose directories may lag by this
/// many intervals.
const REMOTE_STATUS_EVERY: u32 = 2;
/// A registry that accepts a connection within this time counts as one of this region. The limit is a fraction of the
/// round-trip time between regions.
const LOCAL_CONNECT_TIME: Duration = Duration::from_millis(15);

/// An event from the registries, to be handled by the proxy process.
pub enum ControlEvent {
    /// The merged configuration has changed.
    ConfigChanged,
    /// A newer backend list was received in full.
    BackendListReceived(Vec<Backend>),
    /// A heartbeat of the coordinator.
    CoordinatorHeartbeat(Heartbeat),
    /// A heartbeat of a registry that is not the coordinator.
    OtherHeartbeat(Heartbeat),
    /// Totals of shared counters.
    CountTotals {
        /// The term of the coordinator that sent them.
        term: u64,
        /// The totals with the counters' names.
        totals: Vec<NamedCount>,
    },
    /// The coordinator sets this proxy's quota allotments of the tenants listed.
    SetAllotments {
        /// The term of the coordinator that sent it.
        term: u64,
        /// The revision of the change within the term.
        revision: u64,
        /// The new allotments.
        allotments: Vec<Allotment>,
    },
    /// The coordinator has received this proxy's report of the allotments it holds.
    AllotmentStatus {
        /// The term of the coordinator that sent it.
        term: u64,
        /// The number of proxies that departed by a planned shutdown in this term and have not returned.
        departed_proxies: u32,
        /// The allotments that proxies out of contact may still hold.
        absent: AbsentAllotments,
    },
    /// The connection to the coordinator was lost.
    CoordinatorLost,
    /// The proxies to exchange load reports with.
    Partners {
        /// Proxies of this region.
        near: Vec<Ip>,
        /// Proxies of other regions.
        far: Vec<Ip>,
    },
}

/// Keeps a connection to each known registry and reports this proxy's status at each `STATUS_INTERVAL`; never
/// returns.
pub async fn run(
    settings: Rc<Settings>,
    state: SharedControlState,
    events: mpsc::Sender<ControlEvent>,
) {
    let mut connections: BTreeMap<Ip, JoinHandle<()>> = BTreeMap::new();
    let mut tick = interval(STATUS_INTERVAL);
    let mut round = 0u32;
    loop {
        tick.tick().await;
        round += 1;
        connections.retain(|_, task| !task.is_finished());
        let registries = state.borrow_mut().current_registries();
        state
            .borrow()
            .report_status(round.is_multiple_of(REMOTE_STATUS_EVERY));
        for registry in registries {
            let start = || {
                let address = settings.internal_address(ip_addr(registry), InternalPort::Registry);
                let task = keep_connected(registry, address, state.clone(), events.clone());
                tokio::task::spawn_local(task)
            };
            connections.entry(registry).or_insert_with(start);
        }
    }
}

/// Connects to one registry, and reconnects for as long as the registry is known and the events have a receiver.
async fn keep_connected(
    registry: Ip,
    address: SocketAddr,
    state: SharedControlState,
    events: mpsc::Sender<ControlEvent>,
) {
    while state.borrow().registries.contains_key(&registry) {
        let started = Instant::now();
        if let Ok(stream) = link::connect(address, CONNECT_TIMEOUT).await {
            let is_local = started.elapsed() < LOCAL_CONNECT_TIME;
            if serve_connection(registry, stream, is_local, &state, &events)
                .await
                .is_err()
            {
                return;
            }
            let was_coordinator = state.borrow_mut().disconnected(registry);
            if was_coordinator {
                log::info!("control: the connection to the coordinator is lost.");
                events.send(ControlEvent::CoordinatorLost).await.ok();
            }
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Handles the messages of a connection until the connection ends. Returns an error once the events have no receiver.
async fn serve_connection(
    registry: Ip,
    stream: TcpStream,
    is_local: bool,
    state: &SharedControlState,
    events: &mpsc::Sender<ControlEvent>,
) -> Result<(), mpsc::error::SendError<ControlEvent>> {
    let (mut reader, sender) = link::into_reader_and_sender(stream);
    state
        .borrow_mut()
        .connected(registry, sender.clone(), is_local);
    let mut session = RegistrySession::new(registry, sender);
    while let Ok(message) = reader.next::<Message>(link::LINK_TIMEOUT).await {
        let event = session.receive(&mut state.borrow_mut(), message);
        if let Some(event) = event {
            events.send(event).await?;
        }
    }
    Ok(())
}
