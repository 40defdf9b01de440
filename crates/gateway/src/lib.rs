//! The gateway's I/O: passes events to the decision module and carries out the actions that it returns. All decisions
//! are made in that module.
//!
//! | module | contents |
//! | --- | --- |
//! | `server` | the process from start to exit; the only module that creates the actors and connects them |
//! | `phase` | the process's phases |
//! | `messages` | the types of the messages between actors; actors import this module and not each other |
//! | `dispatcher` | the actor that owns the rules |
//! | `clients` | the actor of the clients' connections; `connection_admission` and `shutdown_admission` decide which it accepts |
//! | `backends` | an actor for each backend, with a pool of connections |
//! | `counter_client`, `backend_list`, `peers` | the actors that call the shared counter, discovery, other gateways |
//! | `platform_protocol` | the request format of the deployments' clients |
//! | `attempts` | which requests may be sent to a backend again, enforced by types |
//! | `peer_admissions` | the admitted units that the other gateways report |
//! | `name_hash` | hashes of the names of requests and counters |
//! | `handover` | the socket between a process and its successor |
//! | `bodies`, `memory_budget`, `request_heads`, `write_meter`, `sizes` | message bodies, buffers and their limits |
//! | `config`, `log`, `account`, `clock` | configuration, log lines, counts for each second, time |
#![warn(clippy::too_many_lines, unreachable_pub)]

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
mod name_hash;
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

use crate::server::{Server, ServerError};

fn serve() -> Result<(), ServerError> {
    let config = config::Config::read()?;
    // One thread, since the gateway has one core. A `LocalSet` isn't used because its tasks would write to the poller's
    // wake-up descriptor at each turn of the event loop.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(ServerError::Runtime)?;
    runtime.block_on(Server::default().run(config))
}

/// Runs a gateway until it exits; logs the error if it fails.
pub fn run() -> ExitCode {
    log::init();
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let text = error.to_string().replace('\n', " ");
            log::log!(error, "damsonbeam", "{text}");
            ExitCode::FAILURE
        }
    }
}
