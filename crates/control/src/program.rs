//! The frame of each program: command line, settings, logs, one thread, and an exit code.

use std::fmt::Display;
use std::process::ExitCode;

use logforth::record::{Level, LevelFilter};
use tokio::runtime::{Builder, LocalOptions, LocalRuntime};

use crate::settings::Settings;

/// Sets the level of the log: `error`, `warn`, `info` or `debug`.
const LOG_LEVEL_VARIABLE: &str = "DAMSONBEAM_LOG";

/// Runs a program that has no options of its own until it ends; an error is one line of the log.
pub fn run_program<F, E>(
    name: &str,
    about: &'static str,
    run: impl FnOnce(Settings) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: Display,
{
    let run_without_options = |settings, ()| run(settings);
    run_program_with_options(name, about, bpaf::pure(()), run_without_options)
}

/// Runs a program with options of its own until it ends; an error is one line of the log.
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

/// A process has one core, so it has one thread.
fn single_threaded_runtime() -> std::io::Result<LocalRuntime> {
    Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
}

/// The log goes to standard error.
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

/// Handles SIGHUP, which says that the settings file has changed. Everything in it is fixed for the life of a process but
/// for the seeds, which the membership replaces: the file is only checked, and what is wrong with it is logged.
pub fn check_reloaded_settings(name: &str) {
    match Settings::from_environment() {
        Ok(_) => log::info!("{name}: SIGHUP, the settings file is valid."),
        Err(error) => log::warn!("{name}: SIGHUP, {error}; the old settings stay."),
    }
}
