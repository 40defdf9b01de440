//! `damsonbeam-registry`: one registry process.

use std::process::ExitCode;

fn main() -> ExitCode {
    let about =
        "One registry: members, backends, and the outside calls. Configured by DAMSONBEAM_CONFIG.";
    damsonbeam_control::program("registry", about, damsonbeam_registry::run)
}
