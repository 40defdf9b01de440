//! `damsonbeam-config-store`: one store process.

use std::process::ExitCode;

use damsonbeam_config_store::process;
use damsonbeam_control::program::run_program;

fn main() -> ExitCode {
    let about = "One store: the store of the configuration. Configured by DAMSONBEAM_CONFIG.";
    run_program("store", about, process::run)
}
