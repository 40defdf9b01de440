//! Which connections are taken, and which answers end theirs: the door's decisions, free of I/O.
//!
//! A front door that is full must not spend itself on saying so. Two things did (docs/overload.md): connections
//! taken beyond the cap only to be turned away, as fast as they came, and every answer ending its connection once
//! a third of the cap was in use, so that each next invocation paid for a new one. Here both have one pace: the
//! cap's worth of connections turns over in [`TURN`], however many stand outside; whoever finds no place waits in
//! the listener's backlog, untaken.

use std::time::Duration;

/// In this time as many connections as the cap holds may be ended for others, or taken to be turned away: as
/// long as an idle one is kept, so that a client which holds on to its own keeps no other out for longer.
pub const TURN: Duration = Duration::from_millis(2200);
/// Connections taken beyond the cap at a time, only to be told so.
pub const BEYOND: usize = 16;

/// What to do with the next connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// There is a place.
    Take,
    /// None, but one that holds nothing can be closed for it.
    Evict,
    /// None; it may be taken to be told so.
    TurnAway,
    /// Neither: it waits outside, until a connection ends or this time has passed.
    Leave(Duration),
}

/// Whether a connection may be closed for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idle {
    Now,
    /// One that has hardly come: its request may be on its way, for so long.
    Soon(Duration),
    None,
}

/// So many events in a span, saved up to a [`BEYOND`] or so; an event more has to wait.
struct Pace {
    saved: f64,
    at: Duration,
}

impl Pace {
    fn new(now: Duration) -> Pace {
        Pace {
            saved: BEYOND as f64,
            at: now,
        }
    }

    /// Takes one, or says how long till there is one.
    fn take(&mut self, most: usize, now: Duration) -> Result<(), Duration> {
        let came = most as f64 * now.saturating_sub(self.at).as_secs_f64() / TURN.as_secs_f64();
        (self.saved, self.at) = ((self.saved + came).min(BEYOND as f64), now);
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        Err(TURN.mul_f64((1.0 - self.saved) / most.max(1) as f64))
    }
}

/// The door of one gateway.
pub struct Admission {
    turned_away: Pace,
    ended: Pace,
    /// Until when newcomers are known to stand outside.
    crowd: Duration,
}

impl Admission {
    pub fn new(now: Duration) -> Admission {
        Admission {
            turned_away: Pace::new(now),
            ended: Pace::new(now),
            crowd: Duration::ZERO,
        }
    }

    /// What becomes of the next connection, with `open` of `most` places in use.
    pub fn next(&mut self, open: usize, most: usize, idle: Idle, now: Duration) -> Next {
        if open < most {
            return Next::Take;
        }
        match idle {
            Idle::Now => return Next::Evict,
            Idle::Soon(wait) => return Next::Leave(wait),
            Idle::None => {}
        }
        if open >= most + BEYOND {
            return Next::Leave(TURN);
        }
        match self.turned_away.take(most, now) {
            Ok(()) => Next::TurnAway,
            Err(wait) => Next::Leave(wait),
        }
    }

    /// Somebody came who found no place free.
    pub fn came_in_vain(&mut self, now: Duration) {
        self.crowd = now + TURN;
    }

    /// Whether an answer ends its connection for the sake of those outside: while there are some, at the door's pace.
    pub fn ends(&mut self, most: usize, now: Duration) -> bool {
        now < self.crowd && self.ended.take(most, now).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    #[test]
    fn places_are_given_while_there_are_some_then_idle_ones_are_evicted() {
        let mut door = Admission::new(ms(0));
        assert_eq!(door.next(99, 100, Idle::Now, ms(0)), Next::Take);
        assert_eq!(door.next(100, 100, Idle::Now, ms(0)), Next::Evict);
        assert_eq!(
            door.next(100, 100, Idle::Soon(ms(9)), ms(0)),
            Next::Leave(ms(9))
        );
        assert_eq!(door.next(100, 100, Idle::None, ms(0)), Next::TurnAway);
        assert_eq!(
            door.next(100 + BEYOND, 100, Idle::None, ms(0)),
            Next::Leave(TURN)
        );
    }

    /// The gateway was spent on refusals: each took an accept, an answer and a close (issue 23).
    #[test]
    fn however_many_stand_outside_those_turned_away_keep_to_the_pace() {
        let (mut door, mut away) = (Admission::new(ms(0)), 0);
        for n in 0..22_000 {
            match door.next(595, 595, Idle::None, ms(n / 10)) {
                Next::TurnAway => away += 1,
                Next::Leave(wait) => assert!(wait <= ms(4), "{wait:?} of a pace of 270 a second"),
                other => panic!("{other:?}"),
            }
        }
        assert!((595..=595 + BEYOND).contains(&away), "{away} in {TURN:?}");
    }

    /// With a third of the cap in use every answer ended its connection: each next invocation paid for another.
    #[test]
    fn answers_end_connections_at_the_pace_while_somebody_stands_outside_and_none_else() {
        let mut door = Admission::new(ms(0));
        assert!(!door.ends(595, ms(0)), "nobody came in vain");
        door.came_in_vain(ms(0));
        let ended = (0..22_000).filter(|n| door.ends(595, ms(n / 10))).count();
        assert!((595..=595 + BEYOND).contains(&ended), "{ended} in {TURN:?}");
        assert!(!door.ends(595, TURN), "nobody came since");
    }
}
