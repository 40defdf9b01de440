//! Which connections are taken, and which answers end theirs: the door's decisions, free of I/O.
//!
//! A front door that is full must not spend itself on saying so. Two things did (docs/overload.md): connections
//! taken beyond the cap only to be turned away, as fast as they came, and every answer ending its connection once
//! a third of the cap was in use, so that each next invocation paid for a new one. Here both have one pace: the
//! cap's worth of connections turns over in [`TURNOVER_TIME`], however many stand outside; whoever finds no place waits in
//! the listener's backlog, untaken.

use std::time::Duration;

/// In this time as many connections as the cap holds may be ended for others, or taken to be turned away: as
/// long as an idle one is kept, so that a client which holds on to its own keeps no other out for longer.
pub const TURNOVER_TIME: Duration = Duration::from_millis(2200);
/// Connections taken beyond the cap at a time, only to be told so.
pub const MAX_BEYOND_CAP: usize = 16;

/// What to do with the next connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// There is a place.
    Accept,
    /// None, but one that holds nothing can be closed for it.
    Evict,
    /// None; it may be taken to be told so.
    Refuse,
    /// Neither: it waits outside, until a connection ends or this time has passed.
    Wait(Duration),
}

/// Whether a connection may be closed for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evictable {
    /// It may be closed now.
    Now,
    /// One that has hardly come: its request may be on its way, for so long.
    Soon(Duration),
    /// It may not be closed.
    None,
}

/// So many events in a span, saved up to a [`MAX_BEYOND_CAP`] or so; an event more has to wait.
struct RateLimiter {
    saved: f64,
    at: Duration,
}

impl RateLimiter {
    fn new(now: Duration) -> RateLimiter {
        RateLimiter {
            saved: MAX_BEYOND_CAP as f64,
            at: now,
        }
    }

    /// Takes one, or says how long till there is one.
    fn take(&mut self, most: usize, now: Duration) -> Result<(), Duration> {
        let came =
            most as f64 * now.saturating_sub(self.at).as_secs_f64() / TURNOVER_TIME.as_secs_f64();
        (self.saved, self.at) = ((self.saved + came).min(MAX_BEYOND_CAP as f64), now);
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        Err(TURNOVER_TIME.mul_f64((1.0 - self.saved) / most.max(1) as f64))
    }
}

/// The door of one gateway.
pub struct ConnectionAdmission {
    turned_away: RateLimiter,
    ended: RateLimiter,
    /// Until when newcomers are known to stand outside.
    crowded_until: Duration,
}

impl ConnectionAdmission {
    /// Nobody waits yet.
    pub fn new(now: Duration) -> ConnectionAdmission {
        ConnectionAdmission {
            turned_away: RateLimiter::new(now),
            ended: RateLimiter::new(now),
            crowded_until: Duration::ZERO,
        }
    }

    /// What becomes of the next connection, with `open` of `most` places in use.
    pub fn next(&mut self, open: usize, most: usize, idle: Evictable, now: Duration) -> Admit {
        if open < most {
            return Admit::Accept;
        }
        match idle {
            Evictable::Now => return Admit::Evict,
            Evictable::Soon(wait) => return Admit::Wait(wait),
            Evictable::None => {}
        }
        if open >= most + MAX_BEYOND_CAP {
            return Admit::Wait(TURNOVER_TIME);
        }
        match self.turned_away.take(most, now) {
            Ok(()) => Admit::Refuse,
            Err(wait) => Admit::Wait(wait),
        }
    }

    /// Somebody came who found no place free.
    pub fn record_refused(&mut self, now: Duration) {
        self.crowded_until = now + TURNOVER_TIME;
    }

    /// Whether an answer ends its connection for the sake of those outside: while there are some, at the door's pace.
    pub fn closes_after_response(&mut self, most: usize, now: Duration) -> bool {
        now < self.crowded_until && self.ended.take(most, now).is_ok()
    }
}
