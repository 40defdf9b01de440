//! Decides which connections are accepted and which responses close their connections. This module does no I/O.
//!
//! A gateway at its connection limit must not spend its CPU time on refusals. Two causes of this were found
//! (docs/overload.md): connections over the limit were accepted at the rate of their arrival, only to be refused, and
//! every response closed its connection once a third of the limit was in use, so that each further invocation needed a
//! new connection. Both rates are therefore limited: per [`TURNOVER_TIME`] at most as many connections as the limit are
//! refused, and at most as many are closed, however many clients are waiting. All others wait in the backlog of the
//! listener and are not accepted.

use std::time::Duration;

/// Time in which as many connections as the limit may be closed in favor of others, and as many may be accepted only to
/// be refused. The time equals the idle timeout, so that a client that holds on to its connection does not exclude
/// others for longer.
pub const TURNOVER_TIME: Duration = Duration::from_millis(2200);
/// Maximum number of connections over the limit that are accepted at a time to refuse them with a response.
pub const MAX_OVER_LIMIT: usize = 16;

/// Decision on the next connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The number of connections is below the limit: accept the connection.
    Accept,
    /// The limit is reached, but a connection without a request can be closed: close it and accept the new one.
    Evict,
    /// The limit is reached: accept the connection and refuse its request.
    Refuse,
    /// Accept no connection until one has ended or this time has passed.
    Wait(Duration),
}

/// Whether a connection can be closed in favor of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evictable {
    /// A connection can be closed now.
    Now,
    /// A connection can be closed after this time. It is new and its first request may be in transit.
    Soon(Duration),
    /// No connection can be closed.
    None,
}

/// Token bucket with a capacity of [`MAX_OVER_LIMIT`] tokens, refilled at `max_per_turnover` tokens per
/// [`TURNOVER_TIME`].
struct RateLimiter {
    tokens: f64,
    updated_at: Duration,
}

impl RateLimiter {
    fn new(now: Duration) -> RateLimiter {
        RateLimiter {
            tokens: MAX_OVER_LIMIT as f64,
            updated_at: now,
        }
    }

    /// Takes a token, or returns the time until one is available.
    fn take(&mut self, max_per_turnover: usize, now: Duration) -> Result<(), Duration> {
        let refill = max_per_turnover as f64 * now.saturating_sub(self.updated_at).as_secs_f64()
            / TURNOVER_TIME.as_secs_f64();
        (self.tokens, self.updated_at) = ((self.tokens + refill).min(MAX_OVER_LIMIT as f64), now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(TURNOVER_TIME.mul_f64((1.0 - self.tokens) / max_per_turnover.max(1) as f64))
    }
}

/// Connection admission of one gateway.
pub struct ConnectionAdmission {
    refusals: RateLimiter,
    closes: RateLimiter,
    /// Time until which clients are assumed to wait for a connection.
    waiting_until: Duration,
}

impl ConnectionAdmission {
    /// Creates the state without waiting clients.
    pub fn new(now: Duration) -> ConnectionAdmission {
        ConnectionAdmission {
            refusals: RateLimiter::new(now),
            closes: RateLimiter::new(now),
            waiting_until: Duration::ZERO,
        }
    }

    /// Decides on the next connection, with `open` of `max_connections` connections in use.
    pub fn decide(
        &mut self,
        open: usize,
        max_connections: usize,
        idle: Evictable,
        now: Duration,
    ) -> AdmissionDecision {
        if open < max_connections {
            return AdmissionDecision::Accept;
        }
        match idle {
            Evictable::Now => return AdmissionDecision::Evict,
            Evictable::Soon(wait) => return AdmissionDecision::Wait(wait),
            Evictable::None => {}
        }
        if open >= max_connections + MAX_OVER_LIMIT {
            return AdmissionDecision::Wait(TURNOVER_TIME);
        }
        match self.refusals.take(max_connections, now) {
            Ok(()) => AdmissionDecision::Refuse,
            Err(wait) => AdmissionDecision::Wait(wait),
        }
    }

    /// Records that a connection over the limit has arrived.
    pub fn record_refused(&mut self, now: Duration) {
        self.waiting_until = now + TURNOVER_TIME;
    }

    /// Returns whether a response closes its connection to make room for waiting clients. This is the case only while
    /// clients are waiting, and at a limited rate.
    pub fn closes_after_response(&mut self, max_connections: usize, now: Duration) -> bool {
        now < self.waiting_until && self.closes.take(max_connections, now).is_ok()
    }
}
