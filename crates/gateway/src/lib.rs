//! The gateway on sockets. It carries events to the module and its actions out, and decides nothing.
//! Ground floor: `mail` (what the actors say to each other), `stage`, `sizes`; these import no actor.
//! Files go by peer: clients, backends, the counter, the list, the other gateways; `module` is the actor
//! that owns the rules, `life` the phases from start to exit;
//! it alone wires the actors.

pub mod account;
pub mod admission;
pub mod attempts;
pub mod backends;
pub mod bodies;
pub mod clients;
pub mod clock;
pub mod config;
pub mod counter;
pub mod front;
pub mod handover;
pub mod heads;
pub mod last_call;
pub mod life;
pub mod list;
pub mod log;
pub mod mail;
pub mod meter;
pub mod module;
pub mod peers;
pub mod room;
pub mod sizes;
pub mod stage;
pub mod witness;

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
        .block_on(life::Life::default().run(config))
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
