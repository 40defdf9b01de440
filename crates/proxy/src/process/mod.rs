//! One proxy process, from start to exit: connects clients, decision modules, backends and registries.
//!
//! `proxy` holds the state, with a handler for each kind of event; `operator_calls` answers readiness checks of the
//! platform and calls of operators; `start` creates the components and connects them; `counts` connects the quota
//! counter with the modules and the coordinator; `load_report_exchange` sends and receives load reports.

mod counts;
mod load_report_exchange;
mod operator_calls;
mod proxy;
mod start;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::link::LinkError;
use damsonbeam_control::program::handle_sighup;
use damsonbeam_control::settings::{Settings, SettingsError};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use start::ProxyBuilder;

/// Interval at which periodic work is checked: count reports, backends in slow start, the steps of a shutdown.
const TICK: Duration = Duration::from_millis(25);
/// Maximum number of registry events, and of count calls, that wait to be handled.
const EVENT_QUEUE_CAPACITY: usize = 4096;
/// Maximum number of shutdown reports that wait to be logged.
const REPORT_QUEUE_CAPACITY: usize = 16;

/// The reason why a proxy cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The settings lack an address.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The proxy cannot listen on an address.
    #[error(transparent)]
    Listen(#[from] LinkError),
    /// A signal handler cannot be installed.
    #[error(transparent)]
    Signal(#[from] io::Error),
    /// The metrics cannot be registered.
    #[error("metrics cannot be registered: {0}")]
    Metrics(String),
    /// The UDP port for load reports cannot be bound.
    #[error("the UDP port for load reports cannot be bound: {0}")]
    LoadReports(io::Error),
}

/// Runs one proxy until SIGTERM has ended it. With `exchanges_load_reports`, the proxy reports the backends' load to
/// other proxies and adjusts the backends' weights by the reports it receives.
///
/// # Errors
/// Returns an error where the settings lack an address, an address cannot be bound, or a signal handler or the metrics
/// cannot be set up.
pub async fn run(settings: Settings, exchanges_load_reports: bool) -> Result<(), ProxyError> {
    // The handlers come first, as SIGHUP terminates a process that has no handler for it.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (control_sender, mut control_events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (count_sender, mut count_calls) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (report_sender, mut shutdown_reports) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let settings = Rc::new(settings);
    let builder = ProxyBuilder {
        settings,
        exchanges_load_reports,
        control_events: control_sender,
        count_calls: count_sender,
        shutdown_reports: report_sender,
    };
    let mut proxy = builder.start().await?;
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
            _ = hangup.recv() => handle_sighup("proxy"),
        }
        proxy.start_serving_when_ready()?;
    }
}
