//! `damsonbeam-ctl`: the operators' tool. Exit codes: 0 done, 1 faulty input or no answer, 2 usage.

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
/// Checks files of the system, asks a live one, reads stores and logs.
enum Command {
    /// Checks a settings file as a program would at its start
    #[bpaf(command("check-settings"))]
    Settings(#[bpaf(positional("FILE"))] PathBuf),
    /// Checks operators' calls, in the order in which they are to be sent, as the store would
    #[bpaf(command("check-calls"))]
    Calls(#[bpaf(positional("FILE"), some("name a file at least"))] Vec<PathBuf>),
    /// How a live system stands, as the registry at that control address sees it
    #[bpaf(command("state"))]
    State(#[bpaf(positional("ADDRESS"))] SocketAddr),
    /// What proxies did not serve of late, with cause and versions, or what one request came to
    #[bpaf(command("account"))]
    Account {
        /// One request's id
        #[bpaf(argument("ID"))]
        request: Option<String>,
        #[bpaf(positional("READINESS-ADDRESS"), some("name a proxy at least"))]
        proxies: Vec<SocketAddr>,
    },
    /// What a proxy knows of each backend's load, from how many others, how old
    #[bpaf(command("loads"))]
    Loads(#[bpaf(positional("READINESS-ADDRESS"))] SocketAddr),
    /// Sets rules for copies of live requests to trial services, as a file has them
    #[bpaf(command("mirror-set"))]
    MirrorSet(
        #[bpaf(positional("CONTROL-ADDRESS"))] SocketAddr,
        #[bpaf(positional("FILE"))] PathBuf,
    ),
    /// The rules for copies in force
    #[bpaf(command("mirror-show"))]
    MirrorShow(#[bpaf(positional("CONTROL-ADDRESS"))] SocketAddr),
    /// Ends a rule, by a version above its own
    #[bpaf(command("mirror-stop"))]
    MirrorStop(
        #[bpaf(positional("CONTROL-ADDRESS"))] SocketAddr,
        #[bpaf(positional("NAME"))] String,
        #[bpaf(positional("VERSION"))] String,
    ),
    /// What came of the copies, over the proxies asked
    #[bpaf(command("mirror-report"))]
    MirrorReport(
        #[bpaf(positional("READINESS-ADDRESS"), some("name a proxy at least"))] Vec<SocketAddr>,
    ),
    /// A store's store: its items, their versions and ballots. Only while no store runs on it.
    #[bpaf(command("store-show"))]
    Show(#[bpaf(positional("FOLDER"))] PathBuf),
    /// Whether a store's store is sound
    #[bpaf(command("store-verify"))]
    Verify(#[bpaf(positional("FOLDER"))] PathBuf),
    /// The configuration that a store's store holds, as a call that sets it
    #[bpaf(command("store-export"))]
    Export(#[bpaf(positional("FOLDER"))] PathBuf),
    /// What happened to a request, item, machine or backend: all logs' lines that name it, in order of time
    #[bpaf(command("explain"))]
    Explain {
        /// The folder of logs, a file for each process
        #[bpaf(argument("FOLDER"))]
        logs: PathBuf,
        #[bpaf(positional("WHAT"))]
        what: String,
    },
}

/// Does what the command line asks for; returns what is printed.
fn run(command: Command) -> Result<String, CtlError> {
    match command {
        Command::Settings(path) => check_settings(&path),
        Command::Calls(paths) => check_calls(&paths),
        Command::State(at) => state(at),
        Command::Loads(at) => loads(at),
        Command::MirrorSet(at, path) => mirror::set(at, &path),
        Command::MirrorShow(at) => mirror::show(at),
        Command::MirrorStop(at, name, version) => mirror::stop(at, &name, &version),
        Command::MirrorReport(proxies) => mirror::report(&proxies),
        Command::Account { request, proxies } => account(&proxies, request.as_deref()),
        Command::Show(dir) => show_store(&dir),
        Command::Verify(dir) => verify_store(&dir),
        Command::Export(dir) => export_store(&dir),
        Command::Explain { what, logs } => {
            let lines = explain::explain(&what, &logs)?;
            if lines.is_empty() {
                return Err(CtlError::Request(format!(
                    "{}: no line names `{what}`",
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
        Err(e) => {
            eprintln!("damsonbeam-ctl: {e}");
            ExitCode::FAILURE
        }
    }
}
