//! `damsonbeam`: the one command line. Without a sub-command it serves, as `deploy/balancer.toml` runs it.
//!
//! Exit codes, for every sub-command: 0 done; 1 the input is faulty or the gateway ended on an error;
//! 2 usage (an unknown sub-command, flag or missing argument, as clap reports it).

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use damsonbeam_load::scale::Axis;

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
    /// Adds up what all gateways did, by reason and second, from a folder of their logs
    Account {
        /// The folder: a file a gateway, written with DAMSONBEAM_LOG=debug
        folder: PathBuf,
        /// A table with a row a second goes here
        #[arg(long)]
        csv: Option<PathBuf>,
    },
    /// Writes a gateway's configuration anew for a deployment of another shape
    Migrate(damsonbeam_migrate::command::Args),
    /// The laboratory: experiments with stand-ins, gateways, load and faults on loopback
    #[command(subcommand)]
    Lab(LabCommand),
    /// The load tool: profiles of open-loop load, run against gateways that are up
    #[command(subcommand)]
    Load(LoadCommand),
}

/// An experiment run at several places of an axis, builds side by side.
#[derive(clap::Args)]
struct Along {
    /// The experiment's file (TOML)
    experiment: PathBuf,
    /// A build to run, as NAME=PROGRAM; as many as are to be compared, this program where none is given
    #[arg(long = "build")]
    builds: Vec<String>,
    /// Where the table, chart and summary go
    #[arg(long)]
    out: PathBuf,
}

#[derive(Subcommand)]
enum LabCommand {
    /// Runs an experiment: stand-ins, gateways of PROGRAM, the load and the faults it names
    Run {
        /// The experiment's file (TOML)
        experiment: PathBuf,
        /// Where the table, chart and summary go
        #[arg(long)]
        out: PathBuf,
        /// The gateway's program; this one where not given
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Runs an experiment with growing numbers of gateways and shows what each number costs, builds side by side
    Scale {
        /// Numbers of gateways, in place of the experiment's own
        #[arg(long, value_delimiter = ',', default_value = "2,6,12,24")]
        gateways: Vec<f64>,
        #[command(flatten)]
        along: Along,
    },
    /// Runs an experiment with a growing load and shows what still succeeds, builds side by side
    Overload {
        /// Factors on all firms' rates
        #[arg(long, value_delimiter = ',', default_value = "0.5,0.8,1,1.5,2,3,5,10")]
        factors: Vec<f64>,
        #[command(flatten)]
        along: Along,
    },
    /// Checks an experiment and the profile and fault script it names, and says what is wrong
    Check { experiment: PathBuf },
}

#[derive(Subcommand)]
enum LoadCommand {
    /// Runs a profile against gateways that are up; every invocation's answer is recorded
    Run {
        /// The load profile (TOML)
        profile: PathBuf,
        /// A gateway's address; as many as the firms' sets span
        #[arg(long = "gateway", required = true)]
        gateways: Vec<std::net::SocketAddr>,
        /// Where the table, chart and summary go
        #[arg(long)]
        out: PathBuf,
    },
    /// Checks a profile and says what is wrong, with file and line
    Check { profile: PathBuf },
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("runtime: {e}"))
}

fn this_program() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(|e| format!("this program: {e}"))
}

fn run_along(along: &Along, axis: Axis, places: &[f64]) -> Result<(), String> {
    let mut programs = Vec::new();
    for b in &along.builds {
        let (name, program) = b
            .split_once('=')
            .ok_or_else(|| format!("--build {b}: not NAME=PROGRAM"))?;
        programs.push((name.to_string(), PathBuf::from(program)));
    }
    if programs.is_empty() {
        programs.push(("this".into(), this_program()?));
    }
    let done = damsonbeam_load::scale::run(&along.experiment, axis, places, &programs, &along.out);
    print!("{}", runtime()?.block_on(done)?);
    Ok(())
}

fn lab(command: LabCommand) -> Result<(), String> {
    match command {
        LabCommand::Check { experiment } => {
            let (e, profile, steps, _) = damsonbeam_load::experiment::load(&experiment)?;
            println!(
                "{}: good: {} gateways, {} firms, {} steps of faults",
                experiment.display(),
                e.gateways,
                profile.firms.len(),
                steps.len()
            );
            Ok(())
        }
        LabCommand::Scale { gateways, along } => run_along(&along, Axis::Gateways, &gateways),
        LabCommand::Overload { factors, along } => run_along(&along, Axis::Load, &factors),
        LabCommand::Run {
            experiment,
            out,
            program,
        } => {
            let program = program.map_or_else(this_program, Ok)?;
            let found = runtime()?.block_on(damsonbeam_load::experiment::run(
                &experiment,
                &program,
                &out,
            ))?;
            print!("{}", found.summary);
            Ok(())
        }
    }
}

fn load(command: LoadCommand) -> Result<(), String> {
    let read = |p: &PathBuf| {
        let text = std::fs::read_to_string(p).map_err(|e| format!("{}: {e}", p.display()))?;
        damsonbeam_load::profile::parse(&p.display().to_string(), &text)
    };
    match command {
        LoadCommand::Check { profile } => {
            let p = read(&profile)?;
            println!(
                "{}: good: {} firms over {}",
                profile.display(),
                p.firms.len(),
                p.lasting.as_secs_f64()
            );
            Ok(())
        }
        LoadCommand::Run {
            profile,
            gateways,
            out,
        } => {
            let p = read(&profile)?;
            let (records, reached) =
                runtime()?.block_on(damsonbeam_load::run::measured(&p, &gateways));
            print!(
                "{}",
                damsonbeam_load::report::write(&out, &profile.display().to_string(), &p, &records)?
            );
            print!("{}", damsonbeam_load::report::reached(&reached));
            Ok(())
        }
    }
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Reads a gateway's configuration as `serve` would and says what is wrong with it, a line each
    Check {
        /// The configuration file
        file: PathBuf,
    },
}

fn account(folder: &Path, csv: Option<PathBuf>) -> Result<(), String> {
    let account = damsonbeam_account::read(folder).map_err(|error| error.to_string())?;
    account.faulty.iter().for_each(|f| eprintln!("{f}"));
    print!("{}", account.summary());
    if account.faulty_lines > 0 {
        println!("{} lines could not be used", account.faulty_lines);
    }
    let Some(path) = csv else { return Ok(()) };
    let table = account.csv().map_err(|error| error.to_string())?;
    std::fs::write(&path, table).map_err(|e| format!("{}: {e}", path.display()))
}

fn failed(what: &str) -> ExitCode {
    eprintln!("damsonbeam: {}", what.replace('\n', " "));
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
                        .for_each(|n| println!("{}: note: {n}", file.display()));
                    println!("{}: good", file.display());
                    ExitCode::SUCCESS
                }
                Err(problems) => {
                    problems
                        .iter()
                        .for_each(|p| eprintln!("{}: {p}", file.display()));
                    ExitCode::FAILURE
                }
            }
        }
        Command::Account { folder, csv } => match account(&folder, csv) {
            Ok(()) => ExitCode::SUCCESS,
            Err(what) => failed(&what),
        },
        Command::Lab(command) => match lab(command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(what) => failed(&what),
        },
        Command::Load(command) => match load(command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(what) => failed(&what),
        },
        Command::Migrate(args) => match damsonbeam_migrate::command::run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failed(&error.to_string()),
        },
    }
}
