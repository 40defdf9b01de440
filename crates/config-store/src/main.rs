//! `damsonbeam-config-store`: the program that runs one store process.

use std::process::ExitCode;

use damsonbeam_config_store::process;
use damsonbeam_control::program::run_program;

fn main() -> ExitCode {
    let about = "A replica of the configuration store. Configured by DAMSONBEAM_CONFIG.";
    run_program("store", about, process::run)
}
