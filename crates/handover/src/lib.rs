//! A gateway's hand-over from the process that serves, the elder, to a new one, the younger: the steps of each
//! side and what is said between them. No I/O; `docs/upgrade.md` weighs the options.
//!
//! ```text
//! younger                          elder
//! Hello ------------------------->            serves on
//!       <------------------------- Known      the list of backends as it stands
//! Prepared ---------------------->            accepts no more; its module yields
//!       <------------------------- Carry      counts, learned times, its parts of what is shared
//! Taken ------------------------->            sends its clients away, owes what it holds
//! ```
//!
//! Whoever is left alone goes on alone: the younger serves without what it could not get, and the elder takes
//! its place up again if the younger dies, unless it was told to end.

use damsonbeam::interface::Carry;
use serde::{Deserialize, Serialize};

/// Of what is said; a process that hears another version's `Hello` does not answer it.
pub const VERSION: u32 = 1;

/// What the two say to each other, a JSON line each.
#[derive(Debug, Serialize, Deserialize)]
pub enum Said {
    Hello {
        version: u32,
        name: String,
    },
    /// The list of backends, in discovery's form.
    Known(serde_json::Value),
    Prepared,
    Carry(Box<Carry>),
    Taken,
}

/// How far the elder has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Elder {
    /// It serves; nobody is there to follow it.
    #[default]
    Alone,
    /// A younger process has asked, and starts.
    Asked,
    /// It accepts no more, and has handed over its parts.
    Yielded,
    /// The younger serves.
    Followed,
    /// It was told to end: nothing takes it back.
    Ending,
}

/// What happens to the elder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A greeting, and whether its version and the gateway's name are ours.
    Hello {
        ours: bool,
    },
    Prepared,
    Taken,
    /// The younger said what has no place here, or its connection ended.
    Lost,
    /// SIGTERM.
    Terminate,
}

/// What the elder does, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    TellKnown,
    StopAccepting,
    /// The module yields; what it hands over is sent.
    SendCarry,
    SendClientsAway,
    /// Accepts again, and the module has its parts again.
    Resume,
    /// The connection to the younger is closed.
    HangUp,
}

impl Elder {
    /// The next step, and what is to be done.
    pub fn on(&mut self, heard: Heard) -> &'static [Does] {
        let (next, does): (Elder, &'static [Does]) = match (*self, heard) {
            (Elder::Ending, _) => (Elder::Ending, &[]),
            (_, Heard::Terminate) => (Elder::Ending, &[]),
            (Elder::Alone, Heard::Hello { ours: true }) => (Elder::Asked, &[Does::TellKnown]),
            (Elder::Asked, Heard::Prepared) => {
                (Elder::Yielded, &[Does::StopAccepting, Does::SendCarry])
            }
            (Elder::Yielded, Heard::Taken) => (Elder::Followed, &[Does::SendClientsAway]),
            (Elder::Alone | Elder::Asked, _) => (Elder::Alone, &[Does::HangUp]),
            (Elder::Yielded | Elder::Followed, _) => (Elder::Alone, &[Does::HangUp, Does::Resume]),
        };
        *self = next;
        does
    }

    /// Whether another process serves in this one's place, or is about to.
    pub fn is_followed(self) -> bool {
        matches!(self, Elder::Yielded | Elder::Followed)
    }
}

/// How far the younger has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Younger {
    /// It has greeted, and waits for the list.
    Greeted,
    /// It has the list, and starts its own parts.
    Starting,
    /// It has told that it is prepared, and waits for what it takes over.
    Prepared,
    /// It serves after the elder, whose state it has.
    Follows,
    /// It serves alone: nobody answered, or the elder went silent or away midway.
    Alone,
}

impl Younger {
    /// The next step after what the elder said; none: it is gone, silent, or says what has no place here.
    pub fn on(&mut self, said: Option<&Said>) -> Younger {
        *self = match (*self, said) {
            (Younger::Greeted, Some(Said::Known(_))) => Younger::Starting,
            (Younger::Prepared, Some(Said::Carry(_))) => Younger::Follows,
            // Once it follows, the elder's end is what is meant to come.
            (Younger::Follows, None) => Younger::Follows,
            _ => Younger::Alone,
        };
        *self
    }

    /// It has started all but taking clients; false where there is nobody to tell so.
    pub fn prepared(&mut self) -> bool {
        let there = *self == Younger::Starting;
        if there {
            *self = Younger::Prepared;
        }
        there
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OURS: Heard = Heard::Hello { ours: true };
    const ALL: [Heard; 6] = [
        OURS,
        Heard::Hello { ours: false },
        Heard::Prepared,
        Heard::Taken,
        Heard::Lost,
        Heard::Terminate,
    ];

    fn after(heard: &[Heard]) -> (Elder, Vec<Does>) {
        let mut elder = Elder::default();
        let does = heard.iter().flat_map(|h| elder.on(*h)).copied().collect();
        (elder, does)
    }

    #[test]
    fn the_steps_of_a_hand_over_come_in_order() {
        let (elder, does) = after(&[OURS, Heard::Prepared, Heard::Taken]);
        let all = [
            Does::TellKnown,
            Does::StopAccepting,
            Does::SendCarry,
            Does::SendClientsAway,
        ];
        assert_eq!((elder, does.as_slice()), (Elder::Followed, all.as_slice()));
        assert_eq!(
            after(&[OURS, Heard::Prepared, Heard::Taken, Heard::Terminate]).0,
            Elder::Ending
        );
    }

    #[test]
    fn a_younger_that_dies_leaves_the_elder_as_it_was() {
        for n in 1..=3 {
            let mut heard = [OURS, Heard::Prepared, Heard::Taken][..n].to_vec();
            heard.push(Heard::Lost);
            let (elder, does) = after(&heard);
            assert_eq!(elder, Elder::Alone, "{heard:?}");
            let stopped = does.contains(&Does::StopAccepting);
            assert_eq!(
                does.contains(&Does::Resume),
                stopped,
                "it accepts again iff it had stopped: {heard:?}"
            );
            // And the next one can follow it.
            heard.extend([OURS, Heard::Prepared]);
            assert_eq!(after(&heard).0, Elder::Yielded);
        }
    }

    #[test]
    fn told_to_end_nothing_takes_it_back_and_out_of_order_nothing_is_handed_over() {
        // All sequences of five.
        for n in 0..ALL.len().pow(5) {
            let heard: Vec<Heard> = (0..5)
                .map(|i| ALL[n / ALL.len().pow(i) % ALL.len()])
                .collect();
            let (elder, does) = after(&heard);
            let ended = heard.iter().position(|h| *h == Heard::Terminate);
            if let Some(ended) = ended {
                assert_eq!(elder, Elder::Ending);
                assert_eq!(
                    does,
                    after(&heard[..ended]).1,
                    "after SIGTERM nothing is done: {heard:?}"
                );
            }
            let stops = does.iter().filter(|d| **d == Does::StopAccepting).count();
            let resumes = does.iter().filter(|d| **d == Does::Resume).count();
            let silent = stops - resumes;
            assert!(silent <= 1);
            if ended.is_none() {
                assert_eq!(
                    silent == 1,
                    elder.is_followed(),
                    "{heard:?}: it accepts unless it is followed"
                );
            }
        }
    }

    #[test]
    fn the_younger_serves_alone_from_whatever_step_the_elder_leaves_it() {
        let known = Said::Known(serde_json::Value::Null);
        let carry = Said::Carry(Box::default());
        let mut younger = Younger::Greeted;
        assert_eq!(younger.on(Some(&known)), Younger::Starting);
        assert!(younger.prepared());
        assert_eq!(younger.on(Some(&carry)), Younger::Follows);
        assert_eq!(younger.on(None), Younger::Follows);
        for before in [
            Younger::Greeted,
            Younger::Starting,
            Younger::Prepared,
            Younger::Alone,
        ] {
            let mut younger = before;
            assert_eq!(younger.on(None), Younger::Alone, "{before:?}");
            assert!(!younger.prepared(), "nobody is there to tell");
        }
        let mut younger = Younger::Greeted;
        assert_eq!(
            younger.on(Some(&carry)),
            Younger::Alone,
            "a state that was not asked for is not taken"
        );
    }
}
