//! Log lines: one macro over `eprintln`, a few lines a second from each place that logs.

use std::sync::Mutex;
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(1);
const LINES: u32 = 5;

/// What one place in the code has logged of late.
#[derive(Default)]
pub struct Site(Mutex<Option<(Instant, u32, u32)>>);

impl Site {
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

/// `log!("code", "text {}", value)`: the code is what staff look up in docs/on-call.md.
macro_rules! log {
    ($code:literal, $($text:tt)*) => {{
        static SITE: $crate::log::Site = $crate::log::Site::new();
        match SITE.pass(std::time::Instant::now()) {
            Some(0) => eprintln!("{}: {}", $code, format_args!($($text)*)),
            Some(n) => eprintln!("{}: {} ({n} more left out)", $code, format_args!($($text)*)),
            None => {}
        }
    }};
}
pub(crate) use log;
