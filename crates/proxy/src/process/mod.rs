//! One proxy process, from start to exit: it connects clients, decision modules, backends and registries.
//!
//! `proxy` is the state, with a handler for each kind of event; `operator_calls` answers the platform's checks and the
//! operators; `start` makes the parts and connects them; `counts` carries the shared counts; `load_report_exchange` carries load reports.

mod counts;
mod load_report_exchange;
mod operator_calls;
mod proxy;
mod start;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::link::LinkError;
use damsonbeam_control::program::check_reloaded_settings;
use damsonbeam_control::settings::{Settings, SettingsError};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use start::ProxyStart;

/// Between two searches for what is due: counts that wait, turns of backends that warm up.
const TICK: Duration = Duration::from_millis(25);
/// Events that wait to be handled at most.
const EVENT_QUEUE_CAPACITY: usize = 4096;
const REPORT_QUEUE_CAPACITY: usize = 16;

/// Why a proxy can't run.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The settings lack an address.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be listened on.
    #[error(transparent)]
    Listen(#[from] LinkError),
    /// Signals can't be waited for.
    #[error(transparent)]
    Signal(#[from] io::Error),
    /// What is counted for operators can't be set up.
    #[error("figures: {0}")]
    Figures(String),
    /// The port for load reports is not to be had.
    #[error("the port for load summaries: {0}")]
    LoadReports(io::Error),
}

/// Runs one proxy until it is told to end. `exchanges_load_reports`: whether it reports the backends' load to others, and
/// chooses by what they report.
///
/// # Errors
/// Where an address can't be listened on.
pub async fn run(settings: Settings, exchanges_load_reports: bool) -> Result<(), ProxyError> {
    // SIGHUP ends a program that has not asked for it.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (control_sender, mut control_events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (count_sender, mut count_calls) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (report_sender, mut shutdown_reports) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let settings = Rc::new(settings);
    let start = ProxyStart {
        settings,
        exchanges_load_reports,
        control_events: control_sender,
        count_calls: count_sender,
        shutdown_reports: report_sender,
    };
    let mut proxy = start.run().await?;
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(event) = control_events.recv() => proxy.handle_control_event(event),
            Some(call) = count_calls.recv() => {
                proxy.handle_count_call(call);
                while let Ok(call) = count_calls.try_recv() {
                    proxy.handle_count_call(call);
                }
            }
            at = tick.tick() => {
                if proxy.handle_tick(at.elapsed()) {
                    return Ok(());
                }
            }
            Some(report) = shutdown_reports.recv() => proxy.log_shutdown_report(&report),
            _ = terminate.recv() => proxy.begin_shutdown(),
            _ = hangup.recv() => check_reloaded_settings("proxy"),
        }
        proxy.start_serving_when_ready()?;
    }
}
