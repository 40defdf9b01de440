//! Actor that watches the list of backends at the discovery service.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{Discovery, ListUpdate};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::fetch::{DiscoveryConnection, FetchError};
use super::{DiscoveryPage, NameTable};
use crate::log::log;
use crate::messages::{BackendListUpdate, ToDispatcher, ToListWatcher};

/// Maximum time for which the discovery service holds a long poll.
///
/// A lost long poll looks like one without changes, so for `WATCH_HOLD + WATCH_GRACE` requests may go to backends that
/// have been removed. Requests for the whole list have the same timeout: when a whole fleet requests the list at the
/// same time, each request waits in a queue. With a shorter timeout the clients would give up and repeat their requests
/// while the service still works on the abandoned ones, so that no client ever receives a list.
const WATCH_HOLD: Duration = Duration::from_secs(2);
/// Time after [`WATCH_HOLD`] until a request counts as lost.
const WATCH_GRACE: Duration = Duration::from_millis(500);
/// Delay after a failed request. It is shorter than the 200 ms within which a watch has to be continued.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Actor that watches the list of backends.
pub struct BackendListWatcher {
    /// Address of the discovery service.
    pub address: SocketAddr,
    /// Numeric ids for the names that the discovery service uses.
    pub names: NameTable,
    /// How the list is obtained.
    pub mode: Discovery,
    /// Revision of the list with which this process started.
    pub initial_revision: u64,
    /// The current whole list, handed over to a successor process.
    pub last_list: Rc<RefCell<DiscoveryPage>>,
    /// Receives the lists.
    pub dispatcher: mpsc::Sender<ToDispatcher>,
    /// Messages to the watcher.
    pub mailbox: mpsc::Receiver<ToListWatcher>,
    /// Notified once the dispatcher has received the first page from the discovery service.
    pub first_page_sender: Option<oneshot::Sender<()>>,
}

/// Result of a request to the discovery service.
enum RequestResult {
    Ended(Result<DiscoveryPage, FetchError>),
    /// The dispatcher ended the watch.
    WatchEnded,
    /// The discovery service has moved to another address.
    Moved(SocketAddr),
}

/// The dispatcher or the sender of the mailbox has ended.
struct ActorEnded;

impl BackendListWatcher {
    /// Runs until the dispatcher ends.
    pub async fn run(mut self) {
        let mut watching = self.mode == Discovery::Pushed;
        let mut connection = DiscoveryConnection::default();
        // A subscription since the known revision returns all missed changes in one request. Fetching the whole list
        // first would take two requests to a service that all gateways call when they start.
        let mut revision = (self.mode == Discovery::Subscribed).then_some(self.initial_revision);
        loop {
            if !watching {
                match self.mailbox.recv().await {
                    None => return,
                    Some(ToListWatcher::Watch { is_watched }) => watching = is_watched,
                    Some(ToListWatcher::Fetch) => {}
                    Some(ToListWatcher::SetAddress(address)) => {
                        self.address = address;
                        connection = DiscoveryConnection::default();
                        revision = None;
                        continue;
                    }
                }
            }
            let Ok(result) = self.request(&mut connection, revision).await else {
                return;
            };
            let handled = match result {
                RequestResult::Moved(address) => {
                    // The watch restarts with the whole list, so that no change in between is missed.
                    self.address = address;
                    connection = DiscoveryConnection::default();
                    revision = None;
                    Ok(())
                }
                RequestResult::WatchEnded => {
                    watching = false;
                    Ok(())
                }
                RequestResult::Ended(Ok(page)) => {
                    revision = Some(page.revision);
                    self.handle_page(page).await
                }
                RequestResult::Ended(Err(error)) => self.handle_failure(error, &mut watching).await,
            };
            if handled.is_err() {
                return;
            }
        }
    }

    /// Sends a request to the discovery service. Messages that arrive meanwhile may abort the request.
    async fn request(
        &mut self,
        connection: &mut DiscoveryConnection,
        revision: Option<u64>,
    ) -> Result<RequestResult, ActorEnded> {
        let fetch = connection.fetch(self.address, revision, WATCH_HOLD);
        let mut fetch = Box::pin(timeout(WATCH_HOLD + WATCH_GRACE, fetch));
        loop {
            tokio::select! {
                fetched = &mut fetch => {
                    return Ok(RequestResult::Ended(fetched.unwrap_or(Err(FetchError::TimedOut))));
                }
                message = self.mailbox.recv() => match message {
                    None => return Err(ActorEnded),
                    Some(ToListWatcher::Watch { is_watched: false }) if self.mode == Discovery::Subscribed => {
                        return Ok(RequestResult::WatchEnded);
                    }
                    Some(ToListWatcher::SetAddress(address)) => return Ok(RequestResult::Moved(address)),
                    Some(_) => {}
                }
            }
        }
    }

    async fn handle_page(&mut self, page: DiscoveryPage) -> Result<(), ActorEnded> {
        // Only a page marked as complete replaces the list: backends absent from such a page have been removed.
        let form = if page.complete {
            ListUpdate::Replace
        } else {
            ListUpdate::Update
        };
        if page.complete || !page.members.is_empty() {
            self.last_list.borrow_mut().apply(&page);
            let update = self.names.to_update(page, form);
            self.send(update).await?;
        }
        if let Some(sender) = self.first_page_sender.take() {
            sender.send(()).ok();
        }
        Ok(())
    }

    /// Handles a failed request. A subscription ends and the dispatcher decides when to subscribe again; in other modes
    /// the request is repeated after [`RETRY_DELAY`].
    async fn handle_failure(
        &mut self,
        error: FetchError,
        watching: &mut bool,
    ) -> Result<(), ActorEnded> {
        log!(
            warn,
            "list-unavailable",
            "{}: {error}; keeping the last list",
            self.address
        );
        if self.mode != Discovery::Subscribed {
            sleep(RETRY_DELAY).await;
            return Ok(());
        }
        *watching = false;
        let unavailable = BackendListUpdate {
            form: ListUpdate::Unavailable,
            entries: [].into(),
            addresses: vec![],
            names: vec![],
        };
        self.send(unavailable).await
    }

    async fn send(&self, update: BackendListUpdate) -> Result<(), ActorEnded> {
        let message = ToDispatcher::BackendList(update);
        let sent = self.dispatcher.send(message).await;
        sent.map_err(|_| ActorEnded)
    }
}
