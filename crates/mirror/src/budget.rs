//! The budget of mirrored requests: requests and bytes per second by rule, of which each proxy has an equal part. No
//! request is mirrored while the proxy itself is overloaded.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam_control::config::MirrorRule;

/// Time over which unused budget accumulates, in seconds.
const BURST_S: f64 = 1.0;
/// Maximum number of mirrored requests in flight or waiting at this proxy.
pub const MAX_IN_FLIGHT: usize = 64;
/// Maximum total size of the mirrored requests in flight, in bytes.
pub const MAX_BYTES_IN_FLIGHT: usize = 1 << 20;
/// Maximum size of a mirrored body, in bytes. A request with a larger body is not mirrored, which makes its caller's
/// session incomplete.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Timer delay from which on the processor counts as overloaded.
const OVERLOAD_TIMER_DELAY: Duration = Duration::from_millis(25);
/// Time without mirroring after an overload was detected.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(500);

/// The reason why a selected request has no mirrored answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The rule's limit of requests or bytes per second is exceeded.
    Budget,
    /// Too many mirrored requests are in flight at this proxy.
    Full,
    /// The proxy is overloaded.
    Overloaded,
    /// The body is too large, or was not received completely.
    BodyUnavailable,
    /// The rule has no instance in an allowed region, or only ones with the address of a real backend.
    NoInstance,
    /// The mirrored request was sent, but no answer or only an incomplete one was received.
    Unanswered,
}

impl DropReason {
    /// Returns the name of the reason in metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::Budget => "budget",
            DropReason::Full => "full",
            DropReason::Overloaded => "pressed",
            DropReason::BodyUnavailable => "body",
            DropReason::NoInstance => "nowhere",
            DropReason::Unanswered => "unanswered",
        }
    }
}

/// Unused budget of a rule: requests, and bytes, that may be mirrored now.
#[derive(Debug, Default)]
struct TokenBucket {
    requests: f64,
    bytes: f64,
    /// Time of the last refill.
    refilled_at: Option<Duration>,
}

/// The budget of mirrored requests at this proxy.
#[derive(Debug, Default)]
pub struct Budget {
    buckets: HashMap<String, TokenBucket>,
    in_flight: usize,
    bytes_in_flight: usize,
    paused_until: Duration,
}

impl Budget {
    /// Processes the delay with which a timer fired. A long delay pauses mirroring.
    pub fn record_timer_delay(&mut self, delay: Duration, now: Duration) {
        if delay >= OVERLOAD_TIMER_DELAY {
            self.paused_until = now + OVERLOAD_PAUSE;
        }
    }

    /// Takes a request of `bytes` bytes from the rule's budget, which `proxies` proxies share in equal parts.
    ///
    /// # Errors
    /// Fails with the reason if the request must not be mirrored.
    pub fn admit(
        &mut self,
        rule: &MirrorRule,
        bytes: usize,
        proxies: u32,
        now: Duration,
    ) -> Result<(), DropReason> {
        if now < self.paused_until {
            return Err(DropReason::Overloaded);
        }
        if bytes > MAX_BODY_BYTES {
            return Err(DropReason::BodyUnavailable);
        }
        if self.in_flight >= MAX_IN_FLIGHT || self.bytes_in_flight + bytes > MAX_BYTES_IN_FLIGHT {
            return Err(DropReason::Full);
        }
        let share = 1.0 / f64::from(proxies.max(1));
        let (requests_per_s, bytes_per_s) = (rule.requests_per_s * share, rule.bytes_per_s * share);
        let bucket = self.buckets.entry(rule.name.clone()).or_default();
        let elapsed_s = bucket
            .refilled_at
            .map_or(BURST_S, |at| now.saturating_sub(at).as_secs_f64());
        bucket.refilled_at = Some(now);
        // The capacity is at least one request: with a smaller one, no proxy of a large system would ever mirror a
        // request.
        bucket.requests =
            (bucket.requests + requests_per_s * elapsed_s).min((requests_per_s * BURST_S).max(1.0));
        bucket.bytes = (bucket.bytes + bytes_per_s * elapsed_s)
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

    /// Releases the in-flight quota of a mirrored request of `bytes` bytes that has ended.
    pub fn release(&mut self, bytes: usize) {
        self.in_flight -= 1;
        self.bytes_in_flight -= bytes;
    }
}
