//! The gateway on sockets. It carries events to the module and its actions out, and decides nothing.

mod backends;
mod clients;
mod clock;
mod config;
mod counter;
mod life;
mod list;
mod log;
mod module;
mod peers;

use std::process::ExitCode;

use tokio::runtime::{Builder, LocalOptions};

fn run() -> Result<(), String> {
    let config = config::Config::read()?;
    // One core, one thread. Tasks of a `LocalSet` would write to the poller's wake-up at each turn.
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.map_err(|e| format!("runtime: {e}"))?.block_on(life::Life::new().run(config))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("damsonbeam: {}", what.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
