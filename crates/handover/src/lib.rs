//! A gateway's hand-over from the serving process, the predecessor, to a new process, the successor: the state machine of
//! each side and the messages between them, without I/O. `docs/upgrade.md` compares the alternatives.
//!
//! ```text
//! successor                        predecessor
//! Hello ------------------------->            continues to serve
//!       <------------------------- Known      the current list of backends
//! Prepared ---------------------->            stops accepting connections; its dispatcher yields
//!       <------------------------- Carry      counts, learned latencies, its shares of shared limits
//! Taken ------------------------->            closes clients' connections, answers the open requests
//! ```
//!
//! Each side goes on without the other: the successor serves without the state that it did not receive, and the
//! predecessor accepts clients again if the successor ends, unless the predecessor was told to shut down.
#![warn(clippy::too_many_lines, unreachable_pub)]

use damsonbeam::interface::HandoverState;
use serde::{Deserialize, Serialize};

/// Version of the messages; a process doesn't reply to a `Hello` with another version.
pub const VERSION: u32 = 1;

/// A message between the two processes, sent as one line of JSON.
#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The successor's first message.
    Hello {
        /// The successor's version of the messages.
        version: u32,
        /// The gateway's name.
        name: String,
    },
    /// The list of backends, in discovery's format.
    Known(serde_json::Value),
    /// The successor has started and is ready to accept clients.
    Prepared,
    /// The predecessor's state.
    Carry(Box<HandoverState>),
    /// The successor serves.
    Taken,
}

/// The state of the predecessor in the hand-over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// The process serves and has no successor.
    #[default]
    Alone,
    /// A successor has sent its `Hello` and is starting.
    Asked,
    /// The process no longer accepts clients and has handed over its state.
    Yielded,
    /// The successor serves.
    Followed,
    /// The process was told to shut down; no event changes this state.
    Ending,
}

/// An event for the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorEvent {
    /// A process has sent `Hello`.
    Hello {
        /// Whether the version and the gateway's name are those of the predecessor.
        ours: bool,
    },
    /// The successor has started and is ready to accept clients.
    Prepared,
    /// The successor serves.
    Taken,
    /// The successor sent an unexpected message, or its connection ended.
    Lost,
    /// SIGTERM was received.
    Terminate,
}

/// An action of the predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorAction {
    /// Send the list of backends.
    TellKnown,
    /// Stop accepting clients.
    StopAccepting,
    /// Have the decision module yield, and send the state that it hands over.
    SendCarry,
    /// Close the clients' connections, so that they connect to the successor.
    SendClientsAway,
    /// Accept clients again, and return the handed-over state to the decision module.
    Resume,
    /// Close the connection to the successor.
    HangUp,
}

impl Predecessor {
    /// Applies an event; returns the actions to carry out, in order.
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

    /// Returns whether a successor serves or is about to.
    pub fn is_followed(self) -> bool {
        matches!(self, Predecessor::Yielded | Predecessor::Followed)
    }
}

/// The state of the successor in the hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// The process has sent `Hello` and waits for the list of backends.
    Greeted,
    /// The process has the list and starts its actors.
    Starting,
    /// The process has sent `Prepared` and waits for the predecessor's state.
    Prepared,
    /// The process has the predecessor's state and serves.
    Follows,
    /// The process serves without the predecessor's state: no predecessor replied, or it stopped replying midway.
    Alone,
}

impl Successor {
    /// Applies the predecessor's reply and returns the new state. `None` stands for a predecessor that is gone, doesn't
    /// reply in time or sends an unreadable message.
    pub fn handle(&mut self, message: Option<&HandoverMessage>) -> Successor {
        *self = match (*self, message) {
            (Successor::Greeted, Some(HandoverMessage::Known(_))) => Successor::Starting,
            (Successor::Prepared, Some(HandoverMessage::Carry(_))) => Successor::Follows,
            // After the hand-over the predecessor is expected to end.
            (Successor::Follows, None) => Successor::Follows,
            _ => Successor::Alone,
        };
        *self
    }

    /// Marks the process as ready to accept clients; returns whether there is a predecessor to send `Prepared` to.
    pub fn prepared(&mut self) -> bool {
        let has_predecessor = *self == Successor::Starting;
        if has_predecessor {
            *self = Successor::Prepared;
        }
        has_predecessor
    }
}
