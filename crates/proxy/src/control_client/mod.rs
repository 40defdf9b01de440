//! The connections to the registries: what they send is merged here, item by item and list by list, so that nothing goes
//! back while the process runs, whichever of them sends it first.
//!
//! `state` is what is known from all of them, `session` one connection; this file keeps the connections.

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
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Between two reports of the status to each registry.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);
/// One in so many reports goes to registries of other regions, too: the directory there may be that much behind.
const FAR_STATUS_EVERY: u32 = 2;
/// A registry whose connection comes up within this is near: a fraction of a round trip between regions.
const NEAR_CONNECT_TIME: Duration = Duration::from_millis(15);

/// What the registries bring about, for whoever runs the proxy.
pub enum ControlEvent {
    /// The configuration has changed.
    Config,
    /// The list of backends has changed.
    Backends(Vec<Backend>),
    /// The coordinator's heartbeat.
    CoordinatorHeartbeat(Heartbeat),
    /// The heartbeat of a registry that is not the coordinator.
    OtherHeartbeat(Heartbeat),
    /// Totals of shared counts.
    CountTotals {
        /// The term of the coordinator that sent them.
        term: u64,
        /// The totals by name.
        totals: Vec<NamedCount>,
    },
    /// What this proxy holds of the quotas from now on, of these tenants.
    SetAllotments {
        /// The term of the coordinator that sent it.
        term: u64,
        /// The number of the change.
        revision: u64,
        /// The new allotments.
        allotments: Vec<Allotment>,
    },
    /// The coordinator has this proxy's report of what it holds.
    AllotmentStatus {
        /// The term of the coordinator that sent it.
        term: u64,
        /// Proxies that left by plan in this term and are not back.
        departed_proxies: u32,
        /// What proxies out of contact may hold.
        absent: AbsentAllotments,
    },
    /// The connection to the coordinator is lost.
    CoordinatorLost,
    /// Other proxies to exchange load reports with.
    Partners {
        /// Of this region.
        near: Vec<Ip>,
        /// Of other regions.
        far: Vec<Ip>,
    },
}

/// Keeps a connection to each registry that is known.
pub async fn run(
    settings: Rc<Settings>,
    state: SharedControlState,
    events: mpsc::Sender<ControlEvent>,
) {
    let mut tasks: BTreeMap<Ip, JoinHandle<()>> = BTreeMap::new();
    let mut tick = interval(STATUS_INTERVAL);
    let mut round = 0u32;
    loop {
        tick.tick().await;
        round += 1;
        tasks.retain(|_, task| !task.is_finished());
        let registries = state.borrow_mut().current_registries();
        state
            .borrow()
            .report_status(round.is_multiple_of(FAR_STATUS_EVERY));
        for registry in registries {
            let start = || {
                let address = settings.internal_address(ip_addr(registry), InternalPort::Registry);
                let task = keep_connected(registry, address, state.clone(), events.clone());
                tokio::task::spawn_local(task)
            };
            tasks.entry(registry).or_insert_with(start);
        }
    }
}

/// Connects to one registry, again and again while it is known.
async fn keep_connected(
    registry: Ip,
    address: SocketAddr,
    state: SharedControlState,
    events: mpsc::Sender<ControlEvent>,
) {
    while state.borrow().registries.contains_key(&registry) {
        let began = Instant::now();
        if let Ok(stream) = link::connect(address, CONNECT_TIMEOUT).await {
            let is_near = began.elapsed() < NEAR_CONNECT_TIME;
            if serve_connection(registry, stream, is_near, &state, &events)
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
        sleep(RETRY_PAUSE).await;
    }
}

/// Takes all messages of a connection until it ends; an error where nobody takes the events any more.
async fn serve_connection(
    registry: Ip,
    stream: TcpStream,
    is_near: bool,
    state: &SharedControlState,
    events: &mpsc::Sender<ControlEvent>,
) -> Result<(), mpsc::error::SendError<ControlEvent>> {
    let (mut reader, sender) = link::split(stream);
    state
        .borrow_mut()
        .connected(registry, sender.clone(), is_near);
    let mut session = RegistrySession::new(registry, sender);
    while let Ok(message) = reader.next::<Message>(link::SILENCE_TIMEOUT).await {
        let event = session.receive(&mut state.borrow_mut(), message);
        if let Some(event) = event {
            events.send(event).await?;
        }
    }
    Ok(())
}
