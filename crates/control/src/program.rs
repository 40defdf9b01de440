//! The entry point shared by all programs: command line, settings, log, single-threaded runtime, and exit code.

use std::fmt::Display;
use std::process::ExitCode;

use logforth::record::{Level, LevelFilter};
use tokio::runtime::{Builder, LocalOptions, LocalRuntime};

use crate::settings::Settings;

/// The environment variable with the log level: `error`, `warn`, `info` or `debug`; `info` is the default.
const LOG_LEVEL_VARIABLE: &str = "DAMSONBEAM_LOG";

/// Runs a program without command-line options of its own and returns its exit code. An error is logged as one line.
pub fn run_program<F, E>(
    name: &str,
    about: &'static str,
    run: impl FnOnce(Settings) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: Display,
{
    let run_ignoring_options = |settings, ()| run(settings);
    run_program_with_options(name, about, bpaf::pure(()), run_ignoring_options)
}

/// Runs a program with its own command-line options and returns its exit code. An error is logged as one line.
pub fn run_program_with_options<T, F, E>(
    name: &str,
    about: &'static str,
    options: impl bpaf::Parser<T> + 'static,
    run: impl FnOnce(Settings, T) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: Display,
{
    let options = options.to_options().descr(about).run();
    start_log();
    match run_with_settings(|settings| run(settings, options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{name}: {}", error.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run_with_settings<F, E>(run: impl FnOnce(Settings) -> F) -> Result<(), String>
where
    F: Future<Output = Result<(), E>>,
    E: Display,
{
    let settings = Settings::from_environment().map_err(|e| e.to_string())?;
    let runtime = single_threaded_runtime().map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(run(settings)).map_err(|e| e.to_string())
}

/// Returns a single-threaded runtime, because each process has only one core.
fn single_threaded_runtime() -> std::io::Result<LocalRuntime> {
    Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
}

/// Starts logging to standard error.
fn start_log() {
    let level = match std::env::var(LOG_LEVEL_VARIABLE).as_deref() {
        Ok("error") => Level::Error,
        Ok("warn") => Level::Warn,
        Ok("debug") => Level::Debug,
        _ => Level::Info,
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(level))
                .append(logforth::append::Stderr::default())
        })
        .apply();
}

/// Handles SIGHUP, which signals a change of the settings file. A running process applies no changes: all settings are
/// fixed at its start, except the seed nodes, which are superseded by the membership. The file is only checked, and the
/// result is logged.
pub fn handle_sighup(name: &str) {
    match Settings::from_environment() {
        Ok(_) => log::info!(
            "{name}: SIGHUP: the settings file is valid; changes apply at the next start."
        ),
        Err(error) => log::warn!("{name}: SIGHUP: {error}; keeping the current settings."),
    }
}
