//! The `damsonbeam-proxy` program, which runs one proxy process.

use std::process::ExitCode;

use damsonbeam_control::program::run_program_with_options;
use damsonbeam_proxy::process;

fn main() -> ExitCode {
    let about = "Runs one proxy process. Configured by DAMSONBEAM_CONFIG.";
    let exchange_load_reports = bpaf::long("load-summaries")
        .help("Exchange load reports about backends with other proxies and weight backends by them")
        .switch();
    run_program_with_options("proxy", about, exchange_load_reports, process::run)
}
