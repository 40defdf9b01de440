//! One store process: it owns the disk and the connections, hands messages to the replica and carries out its effects.
//!
//! `links` holds the connections and turns what happens on them into events; `store` is the state that they act on;
//! `effects` carries out what the replica wants.

mod effects;
mod links;
mod store;

use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::address::{Ip, octets};
use damsonbeam_control::link::{self, LinkError};
use damsonbeam_control::program::check_reloaded_settings;
use damsonbeam_control::settings::{InternalPort, Settings};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use crate::consensus::Replica;
use crate::disk::{Disk, DiskError, StoredState};
use links::PeerLinks;
use store::StoreProcess;

/// Between two ticks of the replica.
const TICK: Duration = Duration::from_millis(20);
/// Events of the connections that wait to be handled; a connection that brings more has to wait.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// A process that was told to end tries for this long to give up its vote, and to have committed what only it may hold.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a store can't run.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The settings name no data directory.
    #[error("data_directory: a store needs one")]
    NoDataDirectory,
    /// The disk can't be opened or read.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The port for other processes can't be listened on.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// Signals can't be waited for.
    #[error(transparent)]
    Signal(#[from] std::io::Error),
}

/// Runs one store until it is told to end.
///
/// # Errors
/// Where the disk can't be used at the start, or the port can't be listened on.
pub async fn run(settings: Settings) -> Result<(), StoreError> {
    // SIGHUP ends a program that has not asked for it.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let settings = Rc::new(settings);
    let mut store = open_store(&settings)?;
    store.carry_out_effects(None);
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
                peer_links.connect_to(store.wanted_peers());
                if shutdown_since.is_some_and(|since| store.may_end(since)) {
                    log::info!("store: ends.");
                    return Ok(());
                }
            }
            _ = hangup.recv() => check_reloaded_settings("store"),
            _ = terminate.recv() => {
                store.leave();
                shutdown_since = shutdown_since.or(Some(store.now()));
            }
        }
    }
}

/// Opens the disk, and makes it a founder's at the very first start of the system.
fn open_store(settings: &Settings) -> Result<StoreProcess, StoreError> {
    let own_ip = octets(settings.ip_address);
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
        let seeds = settings.seed_nodes.iter().map(|seed| octets(seed.ip()));
        let seeds: Vec<Ip> = seeds.collect();
        if let Some(writes) = state.durable.founding_writes(own_ip, &seeds) {
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
