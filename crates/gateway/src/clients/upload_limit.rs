//! The time limit of an upload whose client could send more than its backend takes.

use std::rc::Weak;
use std::time::Duration;

use damsonbeam::interface::InvocationId;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::connection::ClientConnection;
use super::invocation::send_without_waiting;
use crate::bodies::StreamedBody;
use crate::clock::Clock;
use crate::messages::ToDispatcher;

/// An upload, and what its limit depends on. The weak references let it end with its request.
pub(super) struct UploadLimit {
    pub(super) body: Weak<StreamedBody>,
    pub(super) connection: Weak<ClientConnection>,
    /// The longest time for which the upload may wait for an attempt, and for a backend to take more of it.
    pub(super) limit: Duration,
    pub(super) invocation_id: InvocationId,
    pub(super) dispatcher: mpsc::Sender<ToDispatcher>,
    pub(super) clock: Clock,
}

impl UploadLimit {
    /// Waits until the limit is reached, or the upload has ended.
    pub(super) async fn watch(self) {
        loop {
            let body = self.body.upgrade().filter(|body| body.is_under_way());
            let Some(held_time) = body.map(|body| body.held_time()) else {
                return;
            };
            if held_time >= self.limit {
                return self.end();
            }
            sleep(self.limit - held_time).await;
        }
    }

    /// Ends the request as at its deadline: an answer that is under way is cut off, and the dispatcher answers otherwise.
    fn end(&self) {
        let now = self.clock.now();
        if let Some(connection) = self.connection.upgrade() {
            connection.answer_limit.set(Some(now));
        }
        let message = ToDispatcher::UploadTimedOut {
            invocation_id: self.invocation_id,
        };
        send_without_waiting(&self.dispatcher, message);
    }
}
