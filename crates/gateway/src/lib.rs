//! The gateway on sockets. It carries events to the module and its actions out, and decides nothing.
//! Ground floor: `message` (what the actors say to each other), `phase`, `sizes`; these import no actor.
//! Files go by peer: clients, backends, the counter, the list, the other gateways; `dispatcher` is the actor
//! that owns the rules, `life` the phases from start to exit;
//! it alone wires the actors.

pub mod account;
pub mod attempts;
pub mod backend_list;
pub mod backends;
pub mod bodies;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connection_admission;
pub mod counter_client;
pub mod dispatcher;
pub mod handover;
pub mod log;
pub mod memory_budget;
pub mod messages;
pub mod peer_admissions;
pub mod peers;
pub mod phase;
pub mod platform_protocol;
pub mod request_heads;
pub mod server;
pub mod shutdown_admission;
pub mod sizes;
pub mod write_meter;

use std::process::ExitCode;

use tokio::runtime::{Builder, LocalOptions};

fn serve() -> Result<(), String> {
    let config = config::Config::read()?;
    // One core, one thread. Tasks of a `LocalSet` would write to the poller's wake-up at each turn.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default());
    runtime
        .map_err(|e| format!("runtime: {e}"))?
        .block_on(server::Server::default().run(config))
}

/// From start to exit.
pub fn run() -> ExitCode {
    log::init();
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log::log!(error, "damsonbeam", "{}", what.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
