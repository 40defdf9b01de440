//! The hand-over to the process that follows this one, by the steps of `damsonbeam-handover`.

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

/// The dispatcher hands over within this, or it is not waited for.
const CARRY_TIMEOUT: Duration = Duration::from_millis(1000);

/// The process that follows this one, if one does.
#[derive(Default)]
pub(super) struct Succession {
    pub(super) path: Option<PathBuf>,
    pub(super) listener: Option<HandoverListener>,
    pub(super) connection: Option<HandoverConnection>,
    pub(super) state: Predecessor,
}

impl Succession {
    /// Waits for a successor's greeting, then for its messages; for ever where nobody can follow.
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
        // One that came and says nothing must not keep out the next.
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

    /// Sends the successor a message; the connection is closed where it can't be sent.
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
    /// Does one step of the hand-over to a successor.
    pub(super) async fn hand_over(
        &self,
        running: &mut Running,
        action: PredecessorAction,
    ) -> Result<(), ServerError> {
        log!(info, "handover", "{}: {action:?}", running.name);
        let counter = &running.figures.handovers;
        counter.with_label_values(&[&format!("{action:?}")]).inc();
        match action {
            PredecessorAction::TellKnown => {
                let known = serde_json::to_value(&*running.last_list.borrow()).unwrap_or_default();
                running.succession.send(HandoverMessage::Known(known)).await;
            }
            PredecessorAction::StopAccepting => {
                running.stop_accepting();
                // Before the other one can say that it is ready: never both do.
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

    /// Serves again, for the successor has gone.
    async fn resume(&self, running: &mut Running) -> Result<(), ServerError> {
        send(&running.dispatcher, ToDispatcher::Resume).await?;
        running.accept();
        if let Some(path) = &running.succession.path {
            running.succession.listener = HandoverListener::bind(path);
        }
        if matches!(self.phase.get(), Phase::Yielding | Phase::Yielded) {
            self.phase.enter(Phase::Serving, &running.name);
        }
        Ok(())
    }
}
