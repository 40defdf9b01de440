//! The registry process. A registry tracks the other registries, the proxies, the backends and the configuration, and
//! serves the HTTP API of operators and of the directory. One registry at a time holds the coordinator lease: the
//! coordinator reads the platform's list of backends and keeps the shared request counts. A registry stores nothing on
//! disk; the configuration store keeps all durable state.
//!
//! Modules in reading order:
//!
//! - [`coordinator`], [`counts`], [`backend_list`], [`directory`], [`home_regions`], [`known_proxies`], [`partners`],
//!   [`api_requests`]: decisions, free of I/O
//! - `coordinator_time`, `proxies`, `store_session`: the parts of a registry's state
//! - `registry`: the whole state and its transitions; `store_messages`: messages from the store; `proxy_updates`:
//!   messages to proxies; `allotments`: messages about quota allotments; `state_report`: the state report for operators
//! - `gossip`, `links`, `http_api`, `platform`: sockets and connections; `report`: JSON response bodies
#![warn(clippy::too_many_lines, unreachable_pub)]

mod allotments;
pub mod api_requests;
pub mod backend_list;
pub mod coordinator;
mod coordinator_time;
pub mod counts;
pub mod directory;
mod gossip;
pub mod home_regions;
mod http_api;
pub mod known_proxies;
mod links;
pub mod partners;
mod platform;
mod proxies;
mod proxy_updates;
mod registry;
mod report;
mod state_report;
mod store_messages;
mod store_session;

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::link::{LinkError, listen};
use damsonbeam_control::program::handle_sighup;
use damsonbeam_control::settings::{InternalPort, Settings};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

use gossip::GossipSocket;
use registry::{Registry, SharedRegistry};

/// Interval between two ticks of the registry.
const TICK: Duration = Duration::from_millis(50);
/// Pause after a failed attempt to accept or open a connection.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time after SIGTERM during which requests in progress are still answered.
const SHUTDOWN_TIME: Duration = Duration::from_millis(1200);

/// An error that prevents a registry from running.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// A signal handler can't be installed.
    #[error(transparent)]
    Signal(#[from] io::Error),
    /// The UDP port for gossip can't be bound.
    #[error("the UDP port for gossip cannot be bound: {0}")]
    Gossip(io::Error),
    /// An address can't be listened on.
    #[error(transparent)]
    Listen(#[from] LinkError),
}

/// Runs one registry until SIGTERM.
///
/// # Errors
/// Fails if a signal handler can't be installed, the gossip port can't be bound or an address can't be listened on.
pub async fn run(settings: Settings) -> Result<(), RegistryError> {
    // Without a handler, SIGHUP would terminate the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let settings = Rc::new(settings);
    let registry = Rc::new(RefCell::new(Registry::new(settings.clone())));
    let gossip = GossipSocket::bind(&settings)
        .await
        .map_err(RegistryError::Gossip)?;
    serve_all(&registry, &settings, &gossip)?;
    log::info!(
        "registry: {} accepts client connections.",
        settings.node_name
    );
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                let datagrams = registry.borrow_mut().tick();
                gossip.send(datagrams).await;
            }
            _ = hangup.recv() => handle_sighup("registry"),
            _ = terminate.recv() => {
                let datagrams = registry.borrow_mut().leave();
                gossip.send(datagrams).await;
                sleep(SHUTDOWN_TIME).await;
                log::info!("registry: exiting.");
                return Ok(());
            }
        }
    }
}

/// Spawns the tasks that serve all sockets and connections.
fn serve_all(
    registry: &SharedRegistry,
    settings: &Settings,
    gossip: &GossipSocket,
) -> Result<(), RegistryError> {
    let address = settings.internal_address(settings.ip_address, InternalPort::Registry);
    spawn_local(links::accept_proxies(registry.clone(), listen(address)?));
    spawn_local(links::keep_store_connected(registry.clone()));
    spawn_local(gossip.clone().receive_all(registry.clone()));
    spawn_local(platform::poll(registry.clone()));
    for name in ["control", "directory"] {
        if let Ok(address) = settings.listen_address(name) {
            spawn_local(http_api::serve(registry.clone(), listen(address)?));
        }
    }
    Ok(())
}
