//! Log lines: structured events on `tracing`, a few a second from each place that logs.
//!
//! Each line is one JSON object on standard error (`tracing-subscriber`'s JSON format) with the fields
//! `code` (what staff look up in docs/on-call.md), `message` and, where lines were held back, `left_out`.
//! The level comes from `DAMSONBEAM_LOG` (`error`, `warn`, `info`, `debug`, or a filter of tracing's
//! directives); `info` where it is not set.

use std::sync::Mutex;
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(1);
const LINES: u32 = 5;

/// What one place in the code has logged of late.
#[derive(Default)]
pub struct Site(Mutex<Option<(Instant, u32, u32)>>);

impl Site {
    /// Nothing was logged yet.
    pub const fn new() -> Self {
        Site(Mutex::new(None))
    }

    /// Whether a line may go out now, and how many were left out since the last that did.
    pub fn pass(&self, now: Instant) -> Option<u32> {
        let mut state = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let (from, lines, left_out) = state.get_or_insert((now, 0, 0));
        if now.duration_since(*from) >= SPAN {
            (*from, *lines) = (now, 0);
        }
        if *lines < LINES {
            *lines += 1;
            return Some(std::mem::take(left_out));
        }
        *left_out += 1;
        None
    }
}

/// Sets up JSON lines on standard error at the level that `DAMSONBEAM_LOG` names; once, at the start.
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

/// `log!(warn, "code", "text {}", value)`: one event at that level with the code as a field.
macro_rules! log {
    ($level:ident, $code:literal, $($text:tt)*) => {{
        static SITE: $crate::log::Site = $crate::log::Site::new();
        match SITE.pass(std::time::Instant::now()) {
            Some(0) => tracing::$level!(code = $code, "{}", format_args!($($text)*)),
            Some(n) => tracing::$level!(code = $code, left_out = n, "{}", format_args!($($text)*)),
            None => {}
        }
    }};
}
pub(crate) use log;
