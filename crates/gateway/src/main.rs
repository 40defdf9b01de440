//! The gateway's program: configuration, the runtime, and the phases from start to exit.

use std::process::ExitCode;

use damsonbeam_gateway::{config, life};
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
