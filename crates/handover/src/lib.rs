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
