//! A gateway's hand-over from the process that serves, the predecessor, to a new one, the successor: the steps of each
//! side and the messages between them. No I/O; `docs/upgrade.md` weighs the options.
//!
//! ```text
//! successor                        predecessor
//! Hello ------------------------->            serves on
//!       <------------------------- Known      the list of backends as it stands
//! Prepared ---------------------->            accepts no more; its dispatcher yields
//!       <------------------------- Carry      counts, learned times, its parts of what is shared
//! Taken ------------------------->            sends its clients away, gives the answers that it owes
//! ```
//!
//! Whoever is left alone goes on alone: the successor serves without what it could not get, and the predecessor
//! accepts clients again if the successor ends, unless it was told to end.
#![warn(clippy::too_many_lines, unreachable_pub)]

use damsonbeam::interface::Carry;
use serde::{Deserialize, Serialize};

/// Of what is said; a process that hears another version's `Hello` does not answer it.
pub const VERSION: u32 = 1;

/// What the two send each other, a JSON line each.
#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The successor greets.
    Hello {
        /// The version of these messages that it speaks.
        version: u32,
        /// The gateway's name.
        name: String,
    },
    /// The list of backends, in discovery's form.
    Known(serde_json::Value),
    /// The successor has started all but taking clients.
    Prepared,
    /// The predecessor's state.
    Carry(Box<Carry>),
    /// The successor serves.
    Taken,
}

/// How far the predecessor has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// It serves; nobody is there to follow it.
    #[default]
    Alone,
    /// A successor has asked, and starts.
    Asked,
    /// It accepts no more, and has handed over its parts.
    Yielded,
    /// The successor serves.
    Followed,
    /// It was told to end: nothing takes it back.
    Ending,
}

/// What happens to the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorEvent {
    /// A greeting, and whether its version and the gateway's name are ours.
    Hello {
        /// The version and the name are ours.
        ours: bool,
    },
    /// The successor has started all but taking clients.
    Prepared,
    /// The successor serves.
    Taken,
    /// The successor said what has no place here, or its connection ended.
    Lost,
    /// SIGTERM.
    Terminate,
}

/// What the predecessor does, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorAction {
    /// The list of backends is sent.
    TellKnown,
    /// It accepts no more clients.
    StopAccepting,
    /// The module yields; what it hands over is sent.
    SendCarry,
    /// Its clients are sent to the successor.
    SendClientsAway,
    /// Accepts again, and the module has its parts again.
    Resume,
    /// The connection to the successor is closed.
    HangUp,
}

impl Predecessor {
    /// The next step, and what is to be done.
    pub fn handle(&mut self, event: PredecessorEvent) -> &'static [PredecessorAction] {
        let (next, actions): (Predecessor, &'static [PredecessorAction]) = match (*self, event) {
            (Predecessor::Ending, _) => (Predecessor::Ending, &[]),
            (_, PredecessorEvent::Terminate) => (Predecessor::Ending, &[]),
            (Predecessor::Alone, PredecessorEvent::Hello { ours: true }) => {
                (Predecessor::Asked, &[PredecessorAction::TellKnown])
            }
            (Predecessor::Asked, PredecessorEvent::Prepared) => (
                Predecessor::Yielded,
                &[
                    PredecessorAction::StopAccepting,
                    PredecessorAction::SendCarry,
                ],
            ),
            (Predecessor::Yielded, PredecessorEvent::Taken) => {
                (Predecessor::Followed, &[PredecessorAction::SendClientsAway])
            }
            (Predecessor::Alone | Predecessor::Asked, _) => {
                (Predecessor::Alone, &[PredecessorAction::HangUp])
            }
            (Predecessor::Yielded | Predecessor::Followed, _) => (
                Predecessor::Alone,
                &[PredecessorAction::HangUp, PredecessorAction::Resume],
            ),
        };
        *self = next;
        actions
    }

    /// Whether another process serves in this one's place, or is about to.
    pub fn is_followed(self) -> bool {
        matches!(self, Predecessor::Yielded | Predecessor::Followed)
    }
}

/// How far the successor has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// It has greeted, and waits for the list.
    Greeted,
    /// It has the list, and starts its own parts.
    Starting,
    /// It has told that it is prepared, and waits for what it takes over.
    Prepared,
    /// It serves after the predecessor, whose state it has.
    Follows,
    /// It serves alone: nobody answered, or the predecessor went silent or away midway.
    Alone,
}

impl Successor {
    /// The next step after what the predecessor said; none: it is gone, silent, or says what has no place here.
    pub fn handle(&mut self, message: Option<&HandoverMessage>) -> Successor {
        *self = match (*self, message) {
            (Successor::Greeted, Some(HandoverMessage::Known(_))) => Successor::Starting,
            (Successor::Prepared, Some(HandoverMessage::Carry(_))) => Successor::Follows,
            // Once it follows, the predecessor's end is what is meant to come.
            (Successor::Follows, None) => Successor::Follows,
            _ => Successor::Alone,
        };
        *self
    }

    /// It has started all but taking clients; false where there is nobody to tell so.
    pub fn prepared(&mut self) -> bool {
        let there = *self == Successor::Starting;
        if there {
            *self = Successor::Prepared;
        }
        there
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OURS: PredecessorEvent = PredecessorEvent::Hello { ours: true };
    const ALL: [PredecessorEvent; 6] = [
        OURS,
        PredecessorEvent::Hello { ours: false },
        PredecessorEvent::Prepared,
        PredecessorEvent::Taken,
        PredecessorEvent::Lost,
        PredecessorEvent::Terminate,
    ];

    fn after(event: &[PredecessorEvent]) -> (Predecessor, Vec<PredecessorAction>) {
        let mut predecessor = Predecessor::default();
        let actions = event
            .iter()
            .flat_map(|h| predecessor.handle(*h))
            .copied()
            .collect();
        (predecessor, actions)
    }

    #[test]
    fn the_steps_of_a_hand_over_come_in_order() {
        let (predecessor, actions) =
            after(&[OURS, PredecessorEvent::Prepared, PredecessorEvent::Taken]);
        let all = [
            PredecessorAction::TellKnown,
            PredecessorAction::StopAccepting,
            PredecessorAction::SendCarry,
            PredecessorAction::SendClientsAway,
        ];
        assert_eq!(
            (predecessor, actions.as_slice()),
            (Predecessor::Followed, all.as_slice())
        );
        assert_eq!(
            after(&[
                OURS,
                PredecessorEvent::Prepared,
                PredecessorEvent::Taken,
                PredecessorEvent::Terminate
            ])
            .0,
            Predecessor::Ending
        );
    }

    #[test]
    fn a_successor_that_dies_leaves_the_predecessor_as_it_was() {
        for n in 1..=3 {
            let mut event =
                [OURS, PredecessorEvent::Prepared, PredecessorEvent::Taken][..n].to_vec();
            event.push(PredecessorEvent::Lost);
            let (predecessor, actions) = after(&event);
            assert_eq!(predecessor, Predecessor::Alone, "{event:?}");
            let stopped = actions.contains(&PredecessorAction::StopAccepting);
            assert_eq!(
                actions.contains(&PredecessorAction::Resume),
                stopped,
                "it accepts again iff it had stopped: {event:?}"
            );
            // And the next one can follow it.
            event.extend([OURS, PredecessorEvent::Prepared]);
            assert_eq!(after(&event).0, Predecessor::Yielded);
        }
    }

    #[test]
    fn told_to_end_nothing_takes_it_back_and_out_of_order_nothing_is_handed_over() {
        // All sequences of five.
        for n in 0..ALL.len().pow(5) {
            let event: Vec<PredecessorEvent> = (0..5)
                .map(|i| ALL[n / ALL.len().pow(i) % ALL.len()])
                .collect();
            let (predecessor, actions) = after(&event);
            let ended = event.iter().position(|h| *h == PredecessorEvent::Terminate);
            if let Some(ended) = ended {
                assert_eq!(predecessor, Predecessor::Ending);
                assert_eq!(
                    actions,
                    after(&event[..ended]).1,
                    "after SIGTERM nothing is done: {event:?}"
                );
            }
            let stops = actions
                .iter()
                .filter(|d| **d == PredecessorAction::StopAccepting)
                .count();
            let resumes = actions
                .iter()
                .filter(|d| **d == PredecessorAction::Resume)
                .count();
            let silent = stops - resumes;
            assert!(silent <= 1);
            if ended.is_none() {
                assert_eq!(
                    silent == 1,
                    predecessor.is_followed(),
                    "{event:?}: it accepts unless it is followed"
                );
            }
        }
    }

    #[test]
    fn the_successor_serves_alone_from_whatever_step_the_predecessor_leaves_it() {
        let known = HandoverMessage::Known(serde_json::Value::Null);
        let carry = HandoverMessage::Carry(Box::default());
        let mut successor = Successor::Greeted;
        assert_eq!(successor.handle(Some(&known)), Successor::Starting);
        assert!(successor.prepared());
        assert_eq!(successor.handle(Some(&carry)), Successor::Follows);
        assert_eq!(successor.handle(None), Successor::Follows);
        for before in [
            Successor::Greeted,
            Successor::Starting,
            Successor::Prepared,
            Successor::Alone,
        ] {
            let mut successor = before;
            assert_eq!(successor.handle(None), Successor::Alone, "{before:?}");
            assert!(!successor.prepared(), "nobody is there to tell");
        }
        let mut successor = Successor::Greeted;
        assert_eq!(
            successor.handle(Some(&carry)),
            Successor::Alone,
            "a state that was not asked for is not taken"
        );
    }
}
