//! `damsonbeam-ctl`, the command line tool for operators. Exit codes: 0 success, 1 invalid input or no response,
//! 2 usage error.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use damsonbeam_ctl::{
    CtlError, account, check_calls, check_settings, explain, export_store, loads, mirror,
    show_store, state, verify_store,
};

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Checks configuration files, queries a running system, and reads stores and logs.
enum Command {
    /// Checks a settings file as the programs do at their start
    #[bpaf(command("check-settings"))]
    CheckSettings(#[bpaf(positional("FILE"))] PathBuf),
    /// Checks configuration calls as the store does, in the order in which they are to be sent
    #[bpaf(command("check-calls"))]
    CheckCalls(#[bpaf(positional("FILE"), some("at least one file is required"))] Vec<PathBuf>),
    /// Shows the state of a running system as seen by the registry at this control address
    #[bpaf(command("state"))]
    State(#[bpaf(positional("ADDRESS"))] SocketAddr),
    /// Lists requests that proxies recently did not serve, with cause and versions, or what happened to one request
    #[bpaf(command("account"))]
    Account {
        /// Id of a single request to look up
        #[bpaf(argument("ID"))]
        request: Option<String>,
        #[bpaf(
            positional("READINESS-ADDRESS"),
            some("at least one proxy address is required")
        )]
        proxies: Vec<SocketAddr>,
    },
    /// Shows what a proxy knows of the load of each backend, with the number and age of reports from other proxies
    #[bpaf(command("loads"))]
    Loads(#[bpaf(positional("READINESS-ADDRESS"))] SocketAddr),
    /// Sets the rules in a file for mirroring live requests to trial services
    #[bpaf(command("mirror-set"))]
    MirrorSet(
        #[bpaf(positional("CONTROL-ADDRESS"))] SocketAddr,
        #[bpaf(positional("FILE"))] PathBuf,
    ),
    /// Shows the mirror rules in force
    #[bpaf(command("mirror-show"))]
    MirrorShow(#[bpaf(positional("CONTROL-ADDRESS"))] SocketAddr),
    /// Removes a mirror rule; the version must be higher than that of the rule
    #[bpaf(command("mirror-stop"))]
    MirrorStop(
        #[bpaf(positional("CONTROL-ADDRESS"))] SocketAddr,
        #[bpaf(positional("NAME"))] String,
        #[bpaf(positional("VERSION"))] String,
    ),
    /// Shows the results of mirrored requests, summed over the given proxies
    #[bpaf(command("mirror-report"))]
    MirrorReport(
        #[bpaf(
            positional("READINESS-ADDRESS"),
            some("at least one proxy address is required")
        )]
        Vec<SocketAddr>,
    ),
    /// Shows the items of a store with their versions and ballots; the store process must be stopped
    #[bpaf(command("store-show"))]
    StoreShow(#[bpaf(positional("FOLDER"))] PathBuf),
    /// Checks whether the data of a store is valid; the store process must be stopped
    #[bpaf(command("store-verify"))]
    StoreVerify(#[bpaf(positional("FOLDER"))] PathBuf),
    /// Prints the configuration in a store as a call that sets it; the store process must be stopped
    #[bpaf(command("store-export"))]
    StoreExport(#[bpaf(positional("FOLDER"))] PathBuf),
    /// Prints the log lines of all machines that mention a request, item, machine or backend, ordered by time
    #[bpaf(command("explain"))]
    Explain {
        /// Folder with one log file per process
        #[bpaf(argument("FOLDER"))]
        logs: PathBuf,
        #[bpaf(positional("WHAT"))]
        subject: String,
    },
}

/// Runs the command and returns the text to print.
fn run(command: Command) -> Result<String, CtlError> {
    match command {
        Command::CheckSettings(path) => check_settings(&path),
        Command::CheckCalls(paths) => check_calls(&paths),
        Command::State(address) => state(address),
        Command::Loads(address) => loads(address),
        Command::MirrorSet(address, path) => mirror::set(address, &path),
        Command::MirrorShow(address) => mirror::show(address),
        Command::MirrorStop(address, name, version) => mirror::stop(address, &name, &version),
        Command::MirrorReport(proxies) => mirror::report(&proxies),
        Command::Account { request, proxies } => account(&proxies, request.as_deref()),
        Command::StoreShow(folder) => show_store(&folder),
        Command::StoreVerify(folder) => verify_store(&folder),
        Command::StoreExport(folder) => export_store(&folder),
        Command::Explain { subject, logs } => {
            let lines = explain::explain(&subject, &logs)?;
            if lines.is_empty() {
                return Err(CtlError::Request(format!(
                    "{}: no log line mentions `{subject}`",
                    logs.display()
                )));
            }
            let lines = lines
                .iter()
                .map(|line| format!("{}  {}  {}", line.time, line.machine, line.text));
            Ok(lines.collect::<Vec<_>>().join("\n"))
        }
    }
}

fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    match run(command) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("damsonbeam-ctl: {error}");
            ExitCode::FAILURE
        }
    }
}
