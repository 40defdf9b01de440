//! What copies may use: requests and bytes a second by rule, this proxy's part of what all may; and nothing at all while
//! the proxy itself is pressed.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam_control::config::MirrorRule;

/// Saved up for this long at most.
const BURST_S: f64 = 1.0;
/// Copies under way or waiting at this proxy, and their bytes.
pub const MAX_IN_FLIGHT: usize = 64;
/// Bytes of mirrored requests that are out at most.
pub const MAX_BYTES_IN_FLIGHT: usize = 1 << 20;
/// A body above this is not copied: its caller's session is broken then.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// A timer that fires this much late tells of a processor that has too much to do.
const PRESSURE_LATENESS: Duration = Duration::from_millis(25);
/// Copies rest for this long then.
const PRESSURE_PAUSE: Duration = Duration::from_millis(500);

/// Why a mirrored request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Over the rule's requests or bytes a second.
    Budget,
    /// Too many under way here.
    Full,
    /// The proxy is pressed.
    Pressed,
    /// The body is too large, or not here as a whole.
    Body,
    /// No instance where it may be served, or its address is a real backend's.
    Nowhere,
    /// Sent, and no answer came, or a broken one.
    Unanswered,
}

impl DropReason {
    /// As figures name it.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::Budget => "budget",
            DropReason::Full => "full",
            DropReason::Pressed => "pressed",
            DropReason::Body => "body",
            DropReason::Nowhere => "nowhere",
            DropReason::Unanswered => "unanswered",
        }
    }
}

#[derive(Debug, Default)]
struct TokenBucket {
    requests: f64,
    bytes: f64,
    at: Option<Duration>,
}

/// What mirrored requests may use up.
#[derive(Debug, Default)]
pub struct Budget {
    buckets: HashMap<String, TokenBucket>,
    in_flight: usize,
    bytes_in_flight: usize,
    paused_until: Duration,
}

impl Budget {
    /// A timer fired so much late.
    pub fn timer_fired(&mut self, by: Duration, now: Duration) {
        if by >= PRESSURE_LATENESS {
            self.paused_until = now + PRESSURE_PAUSE;
        }
    }

    /// Whether a copy of so many bytes may go, of `proxies` that share the rule's budget.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(
        &mut self,
        rule: &MirrorRule,
        bytes: usize,
        proxies: u32,
        now: Duration,
    ) -> Result<(), DropReason> {
        if now < self.paused_until {
            return Err(DropReason::Pressed);
        }
        if bytes > MAX_BODY_BYTES {
            return Err(DropReason::Body);
        }
        if self.in_flight >= MAX_IN_FLIGHT || self.bytes_in_flight + bytes > MAX_BYTES_IN_FLIGHT {
            return Err(DropReason::Full);
        }
        let part = 1.0 / f64::from(proxies.max(1));
        let (requests_per_s, bytes_per_s) = (rule.requests_per_s * part, rule.bytes_per_s * part);
        let bucket = self.buckets.entry(rule.name.clone()).or_default();
        let since = bucket
            .at
            .map_or(BURST_S, |at| now.saturating_sub(at).as_secs_f64());
        bucket.at = Some(now);
        // One at least may be saved up, or many proxies would never copy anything.
        bucket.requests =
            (bucket.requests + requests_per_s * since).min((requests_per_s * BURST_S).max(1.0));
        bucket.bytes = (bucket.bytes + bytes_per_s * since)
            .min((bytes_per_s * BURST_S).max(MAX_BODY_BYTES as f64));
        if rule.requests_per_s > 0.0 && bucket.requests < 1.0
            || rule.bytes_per_s > 0.0 && bucket.bytes < bytes as f64
        {
            return Err(DropReason::Budget);
        }
        bucket.requests -= 1.0;
        bucket.bytes -= bytes as f64;
        self.in_flight += 1;
        self.bytes_in_flight += bytes;
        Ok(())
    }

    /// A copy is over.
    pub fn done(&mut self, bytes: usize) {
        self.in_flight -= 1;
        self.bytes_in_flight -= bytes;
    }
}
