//! `damsonbeam`: the one command line. Without a sub-command it serves, as `deploy/balancer.toml` runs it.
//!
//! Exit codes, for every sub-command: 0 done; 1 the input is faulty or the gateway ended on an error;
//! 2 usage (an unknown sub-command, flag or missing argument, as clap reports it).

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(
    name = "damsonbeam",
    version,
    about = "A front door that meters many customers' use of one shared service"
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one gateway with the configuration that NODE_CONFIG names (the default)
    Serve,
    /// Checks configurations before anything starts
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Writes a gateway's configuration anew for a deployment of another shape
    Migrate(damsonbeam_migrate::command::Args),
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Reads a gateway's configuration as `serve` would and says what is wrong with it, a line each
    Check {
        /// The configuration file
        file: PathBuf,
    },
}

fn failed(what: &str) -> ExitCode {
    eprintln!("damsonbeam: {}", what.replace('\n', " "));
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    match Cli::parse().command.unwrap_or(Command::Serve) {
        Command::Serve => damsonbeam_gateway::run(),
        Command::Config(ConfigCommand::Check { file }) => match damsonbeam_gateway::config::check_file(&file)
        {
            Ok(notes) => {
                notes.iter().for_each(|n| println!("{}: note: {n}", file.display()));
                println!("{}: good", file.display());
                ExitCode::SUCCESS
            }
            Err(problems) => {
                problems.iter().for_each(|p| eprintln!("{}: {p}", file.display()));
                ExitCode::FAILURE
            }
        },
        Command::Migrate(args) => match damsonbeam_migrate::command::run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(what) => failed(&what),
        },
    }
}
