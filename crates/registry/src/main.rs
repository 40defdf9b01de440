//! Entry point of `damsonbeam-registry`, which runs one registry process.

use std::process::ExitCode;

use damsonbeam_control::program::run_program;

fn main() -> ExitCode {
    let about = "Runs one registry process. Configured by DAMSONBEAM_CONFIG.";
    run_program("registry", about, damsonbeam_registry::run)
}
