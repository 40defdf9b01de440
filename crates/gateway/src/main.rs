//! The gateway's program; `damsonbeam_gateway` is all of it.

use std::process::ExitCode;

fn main() -> ExitCode {
    damsonbeam_gateway::run()
}
