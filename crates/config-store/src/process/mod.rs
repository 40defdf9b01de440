//! A store process: owns the disk and the connections, passes messages to the replica and executes its effects.
//!
//! `links` holds the connections and converts their activity into events; `store` is the state that handles the events;
//! `effects` executes the replica's effects.

mod effects;
mod links;
mod store;

use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_octets};
use damsonbeam_control::link::{self, LinkError};
use damsonbeam_control::program::handle_sighup;
use damsonbeam_control::settings::{InternalPort, Settings};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use crate::consensus::Replica;
use crate::disk::{Disk, DiskError, StoredState};
use links::PeerLinks;
use store::StoreProcess;

/// The interval between two ticks of the replica.
const TICK: Duration = Duration::from_millis(20);
/// The capacity of the queue of connection events. When the queue is full, connections stop reading.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// How long a process that is shutting down tries to give up its vote, and to have items committed that only it may
/// hold.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1500);

/// An error that ends a store process.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The settings have no data directory.
    #[error("data_directory: missing; a store requires it")]
    NoDataDirectory,
    /// The disk can't be opened or read.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The process can't listen on the port for other processes.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The process can't listen for signals.
    #[error(transparent)]
    Signal(#[from] std::io::Error),
}

/// Runs one store until it is terminated by a signal.
///
/// # Errors
/// If the disk can't be used at the start, or the process can't listen on its port or for signals.
pub async fn run(settings: Settings) -> Result<(), StoreError> {
    // Without a handler SIGHUP would terminate the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let settings = Rc::new(settings);
    let mut store = open_store(&settings)?;
    store.execute_effects(None);
    let address = settings.internal_address(settings.ip_address, InternalPort::Store);
    let listener = link::listen(address)?;
    let (sender, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    tokio::task::spawn_local(links::accept(listener, sender.clone()));
    let mut peer_links = PeerLinks::new(settings, sender);
    let mut shutdown_since: Option<Duration> = None;
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(event) = events.recv() => store.handle(event),
            _ = tick.tick() => {
                store.tick();
                peer_links.connect_to(store.desired_peers());
                if shutdown_since.is_some_and(|since| store.can_stop(since)) {
                    log::info!("store: stopped.");
                    return Ok(());
                }
            }
            _ = hangup.recv() => handle_sighup("store"),
            _ = terminate.recv() => {
                store.leave();
                shutdown_since = shutdown_since.or(Some(store.now()));
            }
        }
    }
}

/// Opens the disk, and initializes it with the first voter set at the first start of the system.
fn open_store(settings: &Settings) -> Result<StoreProcess, StoreError> {
    let own_ip = ip_octets(settings.ip_address);
    let directory = settings
        .data_directory
        .clone()
        .ok_or(StoreError::NoDataDirectory)?;
    let disk = Disk::open(&directory)?;
    let mut state: StoredState = disk.read()?;
    log::info!(
        "store: {} items on disk.",
        state.durable.accepted.items().len()
    );
    if settings.initial_start {
        let seeds = settings.seed_nodes.iter().map(|seed| ip_octets(seed.ip()));
        let seeds: Vec<Ip> = seeds.collect();
        if let Some(writes) = state.durable.initial_writes(own_ip, &seeds) {
            disk.persist(&writes)?;
            writes.iter().for_each(|write| state.durable.apply(write));
        }
    }
    let mut replica = Replica::new(own_ip, state.durable, rand::random(), Duration::ZERO);
    replica.set_roster(&state.roster);
    Ok(StoreProcess::new(
        own_ip,
        replica,
        disk,
        directory,
        state.roster,
        state.backends,
    ))
}
