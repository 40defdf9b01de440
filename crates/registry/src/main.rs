//! `damsonbeam-registry`: one registry process.

use std::process::ExitCode;

use damsonbeam_control::program::run_program;

fn main() -> ExitCode {
    let about =
        "One registry: members, backends, and the outside calls. Configured by DAMSONBEAM_CONFIG.";
    run_program("registry", about, damsonbeam_registry::run)
}
