//! The hand-over to a successor process, in the steps that `damsonbeam-handover` defines.

use std::path::PathBuf;
use std::time::Duration;

use damsonbeam_handover::{
    HandoverMessage, Predecessor, PredecessorAction, PredecessorEvent, VERSION,
};
use futures_util::future::pending;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::running::{Running, send};
use super::{Server, ServerError};
use crate::handover::{HandoverConnection, HandoverListener};
use crate::log::log;
use crate::messages::ToDispatcher;
use crate::phase::Phase;

/// How long the dispatcher may take to return the state to hand over; after that no state is sent, and the successor
/// serves without it.
const CARRY_TIMEOUT: Duration = Duration::from_millis(1000);

/// The hand-over to a successor: its socket, its connection and its state.
#[derive(Default)]
pub(super) struct Succession {
    /// The path of the hand-over socket; `None` if the platform passes no listening socket.
    pub(super) path: Option<PathBuf>,
    pub(super) listener: Option<HandoverListener>,
    pub(super) connection: Option<HandoverConnection>,
    pub(super) state: Predecessor,
}

impl Succession {
    /// Waits for a successor's connection and returns its next message as an event; never returns if there is no
    /// listener.
    pub(super) async fn next_event(&mut self, name: &str) -> PredecessorEvent {
        if self.connection.is_none() {
            let Some(listener) = &self.listener else {
                return pending().await;
            };
            self.connection = listener.accept().await;
        }
        let Some(connection) = &mut self.connection else {
            return PredecessorEvent::Lost;
        };
        // A connection that sends no greeting must not block the next successor.
        let message = if self.state == Predecessor::Alone {
            connection.receive_reply().await
        } else {
            connection.receive().await
        };
        match message {
            Some(HandoverMessage::Hello {
                version,
                name: successor,
            }) => PredecessorEvent::Hello {
                ours: version == VERSION && successor == name,
            },
            Some(HandoverMessage::Prepared) => PredecessorEvent::Prepared,
            Some(HandoverMessage::Taken) => PredecessorEvent::Taken,
            _ => PredecessorEvent::Lost,
        }
    }

    /// Sends a message to the successor; closes the connection if sending fails.
    async fn send(&mut self, message: HandoverMessage) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        if !connection.send(&message).await {
            self.connection = None;
        }
    }
}

impl Server {
    /// Carries out one action of the hand-over to a successor.
    pub(super) async fn hand_over(
        &self,
        running: &mut Running,
        action: PredecessorAction,
    ) -> Result<(), ServerError> {
        log!(info, "handover", "{}: {action:?}", running.name);
        let counter = &running.metrics.handovers;
        counter.with_label_values(&[&format!("{action:?}")]).inc();
        match action {
            PredecessorAction::TellKnown => {
                let known = serde_json::to_value(&*running.last_list.borrow()).unwrap_or_default();
                running.succession.send(HandoverMessage::Known(known)).await;
            }
            PredecessorAction::StopAccepting => {
                running.stop_accepting();
                // `/up` must report this process as not ready before the successor can report ready: never both.
                if self.phase.get() == Phase::Serving {
                    self.phase.enter(Phase::Yielding, &running.name);
                }
            }
            PredecessorAction::SendCarry => {
                let (reply_to, carry) = oneshot::channel();
                send(&running.dispatcher, ToDispatcher::Yield(reply_to)).await?;
                if let Ok(Ok(carry)) = timeout(CARRY_TIMEOUT, carry).await {
                    running.succession.send(HandoverMessage::Carry(carry)).await;
                }
            }
            PredecessorAction::SendClientsAway => {
                self.phase.enter(Phase::Yielded, &running.name);
            }
            PredecessorAction::Resume => self.resume(running).await?,
            PredecessorAction::HangUp => running.succession.connection = None,
        }
        Ok(())
    }

    /// Serves again after the successor has ended.
    async fn resume(&self, running: &mut Running) -> Result<(), ServerError> {
        send(&running.dispatcher, ToDispatcher::Resume).await?;
        running.start_accepting();
        if let Some(path) = &running.succession.path {
            running.succession.listener = HandoverListener::bind(path);
        }
        if matches!(self.phase.get(), Phase::Yielding | Phase::Yielded) {
            self.phase.enter(Phase::Serving, &running.name);
        }
        Ok(())
    }
}
