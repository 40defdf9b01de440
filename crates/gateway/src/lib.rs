//! The gateway on sockets: it carries events to the decision module and its actions out, and decides nothing.
//!
//! | module | what it is |
//! | --- | --- |
//! | `server` | the process from start to exit; it alone makes the actors and connects them |
//! | `phase` | the process's phases |
//! | `messages` | what the actors send each other: types only; whoever sends or receives imports these, not the other |
//! | `dispatcher` | the actor that owns the rules |
//! | `clients` | the actor of the clients' connections; `connection_admission` and `shutdown_admission` decide whom it takes |
//! | `backends` | an actor for each backend, with a pool of connections |
//! | `counter_client`, `backend_list`, `peers` | the actors that call the shared counter, discovery, other gateways |
//! | `platform_protocol` | how the deployments' clients write their requests |
//! | `attempts` | which request may be sent to a backend again, decided by types |
//! | `peer_admissions` | what the other gateways report they admitted |
//! | `handover` | the socket between a process and the one that follows it |
//! | `bodies`, `memory_budget`, `request_heads`, `write_meter`, `sizes` | bodies and bytes on their way |
//! | `config`, `log`, `account`, `clock` | settings, log lines, the account of each second, time |
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
    // One core, one thread. Tasks of a `LocalSet` would write to the poller's wake-up at each turn.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(ServerError::Runtime)?;
    runtime.block_on(Server::default().run(config))
}

/// Runs a gateway from start to exit.
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
