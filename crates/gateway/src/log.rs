//! Log lines: structured `tracing` events, rate-limited at each call site.
//!
//! Each line is one JSON object on standard error (`tracing-subscriber`'s JSON format) with the fields
//! `code` (explained for operators in docs/on-call.md), `message` and, if lines were suppressed, their number
//! `left_out`. `DAMSONBEAM_LOG` sets the level (`error`, `warn`, `info`, `debug`, or a filter in `tracing`'s
//! directives); the default is `info`.

use std::sync::Mutex;
use std::time::{Duration, Instant};

const RATE_LIMIT_WINDOW: Duration = Duration::from_secs(1);
/// Lines that a call site may log in one window.
const MAX_LINES_PER_WINDOW: u32 = 5;

/// Rate limiter of one call site: the window's start, the lines logged in it, and the lines suppressed since the last
/// logged line.
#[derive(Default)]
pub struct RateLimitedSite(Mutex<Option<(Instant, u32, u32)>>);

impl RateLimitedSite {
    /// Creates a limiter for a call site that hasn't logged yet.
    pub const fn new() -> Self {
        RateLimitedSite(Mutex::new(None))
    }

    /// Returns the number of lines suppressed since the last logged line, or `None` if this line must be suppressed too.
    pub fn admit(&self, now: Instant) -> Option<u32> {
        let mut state = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let (window_start, lines, suppressed) = state.get_or_insert((now, 0, 0));
        if now.duration_since(*window_start) >= RATE_LIMIT_WINDOW {
            (*window_start, *lines) = (now, 0);
        }
        if *lines < MAX_LINES_PER_WINDOW {
            *lines += 1;
            return Some(std::mem::take(suppressed));
        }
        *suppressed += 1;
        None
    }
}

/// Installs the JSON subscriber on standard error with the filter in `DAMSONBEAM_LOG`; called once at the start.
pub fn init() {
    let filter = tracing_subscriber::EnvFilter::try_from_env("DAMSONBEAM_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_current_span(false)
        .finish();
    tracing::subscriber::set_global_default(subscriber).ok();
}

/// `log!(warn, "code", "text {}", value)`: logs one rate-limited event at that level with the code as a field.
macro_rules! log {
    ($level:ident, $code:literal, $($text:tt)*) => {{
        static SITE: $crate::log::RateLimitedSite = $crate::log::RateLimitedSite::new();
        match SITE.admit(std::time::Instant::now()) {
            Some(0) => tracing::$level!(code = $code, "{}", format_args!($($text)*)),
            Some(n) => tracing::$level!(code = $code, left_out = n, "{}", format_args!($($text)*)),
            None => {}
        }
    }};
}
pub(crate) use log;
