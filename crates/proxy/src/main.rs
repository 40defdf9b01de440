//! `damsonbeam-proxy`: one proxy process.

use std::process::ExitCode;

use damsonbeam_control::program::run_program_with_options;
use damsonbeam_proxy::process;

fn main() -> ExitCode {
    let about = "One proxy: the proxy of the system. Configured by DAMSONBEAM_CONFIG.";
    let load_reports = bpaf::long("load-summaries")
        .help("Tell other proxies how busy each backend is, and choose by what they tell")
        .switch();
    run_program_with_options("proxy", about, load_reports, process::run)
}
