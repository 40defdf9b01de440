//! Command line of `damsonbeam`. Without a sub-command the program runs `serve`, as in `deploy/balancer.toml`.
//!
//! Exit codes of every sub-command: 0 on success; 1 on invalid input or when the gateway ends with an error;
//! 2 on a usage error reported by clap (unknown sub-command or flag, missing argument).

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use damsonbeam_load::scale::Axis;

#[derive(Parser)]
#[command(
    name = "damsonbeam",
    version,
    about = "Gateway that enforces per-customer quotas on a shared service"
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a gateway with the configuration file named by NODE_CONFIG (default sub-command)
    Serve,
    /// Validates configuration files without starting a gateway
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Sums the activity of all gateways by reason and second, from a folder of their logs
    Account {
        /// Folder with one log file per gateway, written with DAMSONBEAM_LOG=debug
        folder: PathBuf,
        /// Output file for a CSV table with one row per second
        #[arg(long)]
        csv: Option<PathBuf>,
    },
    /// Converts a gateway's configuration to the settings of another deployment
    Migrate(damsonbeam_migrate::command::Args),
    /// Runs experiments on loopback with simulated services, gateways, load and faults
    #[command(subcommand)]
    Lab(LabCommand),
    /// Generates open-loop load from a profile against running gateways
    #[command(subcommand)]
    Load(LoadCommand),
}

/// Arguments of the sub-commands that run an experiment at several axis values and compare builds.
#[derive(clap::Args)]
struct ComparisonArgs {
    /// Experiment file (TOML)
    experiment: PathBuf,
    /// Build to run, as NAME=PROGRAM; repeat it to compare builds [default: this program]
    #[arg(long = "build")]
    builds: Vec<String>,
    /// Output folder for the table, chart and summary
    #[arg(long)]
    out: PathBuf,
}

#[derive(Subcommand)]
enum LabCommand {
    /// Runs an experiment: simulated services, gateways of PROGRAM, and the load and faults that the file names
    Run {
        /// Experiment file (TOML)
        experiment: PathBuf,
        /// Output folder for the table, chart and summary
        #[arg(long)]
        out: PathBuf,
        /// Program to run as the gateway [default: this program]
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Runs an experiment with increasing numbers of gateways and compares the cost of each build
    Scale {
        /// Numbers of gateways; they replace the number in the experiment file
        #[arg(long, value_delimiter = ',', default_value = "2,6,12,24")]
        gateways: Vec<f64>,
        #[command(flatten)]
        comparison: ComparisonArgs,
    },
    /// Runs an experiment with increasing load and compares the goodput of each build
    Overload {
        /// Factors by which the request rates of all firms are multiplied
        #[arg(long, value_delimiter = ',', default_value = "0.5,0.8,1,1.5,2,3,5,10")]
        factors: Vec<f64>,
        #[command(flatten)]
        comparison: ComparisonArgs,
    },
    /// Validates an experiment file and the load profile and fault script that it names
    Check { experiment: PathBuf },
}

#[derive(Subcommand)]
enum LoadCommand {
    /// Runs a load profile against running gateways and records the response to every invocation
    Run {
        /// Load profile (TOML)
        profile: PathBuf,
        /// Address of a gateway; repeat it for as many gateways as the profile's firms use
        #[arg(long = "gateway", required = true)]
        gateways: Vec<std::net::SocketAddr>,
        /// Output folder for the table, chart and summary
        #[arg(long)]
        out: PathBuf,
    },
    /// Validates a load profile and reports errors with file and line
    Check { profile: PathBuf },
}

/// Creates a multi-threaded Tokio runtime.
fn create_runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot create the async runtime: {e}"))
}

/// Returns the path of the running executable.
fn current_program() -> Result<PathBuf, String> {
    std::env::current_exe()
        .map_err(|e| format!("cannot determine the path of the running executable: {e}"))
}

/// Runs an experiment with every value of an axis for each build and prints the comparison.
fn run_comparison(
    comparison: &ComparisonArgs,
    axis: Axis,
    axis_values: &[f64],
) -> Result<(), String> {
    let mut programs = Vec::new();
    for build in &comparison.builds {
        let (name, program) = build
            .split_once('=')
            .ok_or_else(|| format!("--build {build}: expected NAME=PROGRAM"))?;
        programs.push((name.to_string(), PathBuf::from(program)));
    }
    if programs.is_empty() {
        programs.push(("this".into(), current_program()?));
    }
    let comparing = damsonbeam_load::scale::run(
        &comparison.experiment,
        axis,
        axis_values,
        &programs,
        &comparison.out,
    );
    print!("{}", create_runtime()?.block_on(comparing)?);
    Ok(())
}

/// Runs a `lab` sub-command.
fn run_lab(command: LabCommand) -> Result<(), String> {
    match command {
        LabCommand::Check { experiment } => {
            let (checked, profile, steps, _) = damsonbeam_load::experiment::load(&experiment)?;
            println!(
                "{}: valid: {} gateways, {} firms, {} fault steps",
                experiment.display(),
                checked.gateways,
                profile.firms.len(),
                steps.len()
            );
            Ok(())
        }
        LabCommand::Scale {
            gateways,
            comparison,
        } => run_comparison(&comparison, Axis::Gateways, &gateways),
        LabCommand::Overload {
            factors,
            comparison,
        } => run_comparison(&comparison, Axis::Load, &factors),
        LabCommand::Run {
            experiment,
            out,
            program,
        } => {
            let program = program.map_or_else(current_program, Ok)?;
            let result = create_runtime()?.block_on(damsonbeam_load::experiment::run(
                &experiment,
                &program,
                &out,
            ))?;
            print!("{}", result.summary);
            Ok(())
        }
    }
}

/// Runs a `load` sub-command.
fn run_load(command: LoadCommand) -> Result<(), String> {
    let read_profile = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        damsonbeam_load::profile::parse(&path.display().to_string(), &text)
    };
    match command {
        LoadCommand::Check { profile } => {
            let parsed = read_profile(&profile)?;
            println!(
                "{}: valid: {} firms over {} s",
                profile.display(),
                parsed.firms.len(),
                parsed.duration.as_secs_f64()
            );
            Ok(())
        }
        LoadCommand::Run {
            profile,
            gateways,
            out,
        } => {
            let parsed = read_profile(&profile)?;
            let (records, generator_stats) =
                create_runtime()?.block_on(damsonbeam_load::run::run_profile(&parsed, &gateways));
            print!(
                "{}",
                damsonbeam_load::report::write(
                    &out,
                    &profile.display().to_string(),
                    &parsed,
                    &records
                )?
            );
            print!(
                "{}",
                damsonbeam_load::report::generator_summary(&generator_stats)
            );
            Ok(())
        }
    }
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Reads a gateway's configuration as `serve` does and reports each error on a line of its own
    Check {
        /// Configuration file
        file: PathBuf,
    },
}

/// Prints the summary of the gateways' logs in `folder` and writes the per-second table to `csv`.
fn print_account(folder: &Path, csv: Option<PathBuf>) -> Result<(), String> {
    let account = damsonbeam_account::read_folder(folder).map_err(|error| error.to_string())?;
    account
        .malformed_line_errors
        .iter()
        .for_each(|fault| eprintln!("{fault}"));
    print!("{}", account.summary());
    if account.malformed_line_count > 0 {
        println!(
            "{} log lines could not be used",
            account.malformed_line_count
        );
    }
    let Some(path) = csv else { return Ok(()) };
    let table = account.csv().map_err(|error| error.to_string())?;
    std::fs::write(&path, table).map_err(|e| format!("{}: {e}", path.display()))
}

/// Prints `message` on one line to standard error and returns the exit code of a failure.
fn fail(message: &str) -> ExitCode {
    eprintln!("damsonbeam: {}", message.replace('\n', " "));
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    match Cli::parse().command.unwrap_or(Command::Serve) {
        Command::Serve => damsonbeam_gateway::run(),
        Command::Config(ConfigCommand::Check { file }) => {
            match damsonbeam_gateway::config::check_file(&file) {
                Ok(notes) => {
                    notes
                        .iter()
                        .for_each(|note| println!("{}: note: {note}", file.display()));
                    println!("{}: valid", file.display());
                    ExitCode::SUCCESS
                }
                Err(problems) => {
                    problems
                        .iter()
                        .for_each(|problem| eprintln!("{}: {problem}", file.display()));
                    ExitCode::FAILURE
                }
            }
        }
        Command::Account { folder, csv } => match print_account(&folder, csv) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error),
        },
        Command::Lab(command) => match run_lab(command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error),
        },
        Command::Load(command) => match run_load(command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error),
        },
        Command::Migrate(args) => match damsonbeam_migrate::command::run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error.to_string()),
        },
    }
}
