//! What the system's three programs share: the settings file, the items of a configuration, the messages
//! between processes and the links that carry them. Decisions stand in modules free of I/O, one concern a
//! file; `link` alone touches sockets.

pub mod contact;
pub mod items;
pub mod lease;
pub mod link;
pub mod membership;
pub mod messages;
pub mod mirror_rules;
pub mod part_index;
pub mod settings;
pub mod transfer;
pub mod value;
pub mod voters;

use std::process::ExitCode;

use settings::Settings;

/// Logs go to standard error through logforth: each line begins with the prefix of its part.
fn logs() {
    use logforth::record::{Level, LevelFilter};
    let level = match std::env::var("DAMSONBEAM_LOG").as_deref() {
        Ok("error") => Level::Error,
        Ok("warn") => Level::Warn,
        Ok("debug") => Level::Debug,
        _ => Level::Info,
    };
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(LevelFilter::MoreSevereEqual(level))
                .append(logforth::append::Stderr::default())
        })
        .apply();
}

/// SIGHUP says that the settings file has changed. What it holds is fixed for a process's life (addresses, place,
/// bounds) but for the seeds, which members replace; so it is only checked, and what is wrong with it is told.
pub fn reloaded(part: &str) {
    match Settings::read() {
        Ok(_) => log::info!("{part}: SIGHUP, the settings file is whole."),
        Err(e) => log::warn!("{part}: SIGHUP, {e}; the old settings stay."),
    }
}

/// A program from its command line to its exit code: settings, logs, one thread, and `run` until it ends. An error is
/// one line.
pub fn program<F: Future<Output = Result<(), String>>>(
    part: &str,
    about: &'static str,
    run: impl FnOnce(Settings) -> F,
) -> ExitCode {
    program_with(part, about, bpaf::pure(()), |settings, ()| run(settings))
}

/// The same, with words of its own on the command line.
pub fn program_with<T, F: Future<Output = Result<(), String>>>(
    part: &str,
    about: &'static str,
    words: impl bpaf::Parser<T> + 'static,
    run: impl FnOnce(Settings, T) -> F,
) -> ExitCode {
    let words = words.to_options().descr(about).run();
    logs();
    let outcome = Settings::read()
        .map_err(|e| e.to_string())
        .and_then(|settings| {
            // One core, one thread.
            let options = tokio::runtime::LocalOptions::default();
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build_local(options);
            runtime
                .map_err(|e| format!("runtime: {e}"))?
                .block_on(run(settings, words))
        });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log::error!("{part}: {}", what.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
