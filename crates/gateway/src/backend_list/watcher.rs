//! The actor that keeps a watch on the list of backends.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::{Discovery, ListForm};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::fetch::{DiscoveryConnection, FetchError};
use super::{DiscoveryPage, NameTable};
use crate::log::log;
use crate::messages::{BackendListUpdate, ToDispatcher, ToListWatcher};

/// How long a watch may wait, and what is given it beyond before it is held for lost. A watch that fell
/// silent looks like one with nothing to tell: for so long work goes to backends that are gone. A call for
/// the whole list is given as long: where a whole fleet asks at once each waits its turn, and those that
/// give up sooner are served for nothing and come again, so that nobody ever has a list.
const WATCH_HOLD: Duration = Duration::from_secs(2);
const WATCH_GRACE: Duration = Duration::from_millis(500);
/// After a failed call: within the 200 ms in which a watch continues.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The actor that keeps a watch on the list of backends.
pub struct BackendListWatcher {
    /// Where discovery is.
    pub at: SocketAddr,
    /// Numbers for the names that discovery uses.
    pub names: NameTable,
    /// How the list comes.
    pub mode: Discovery,
    /// The revision that this process began with.
    pub known: u64,
    /// The whole list as it stands, for a process that follows this one.
    pub last_list: Rc<RefCell<DiscoveryPage>>,
    /// Where lists go.
    pub dispatcher: mpsc::Sender<ToDispatcher>,
    /// What the watcher is told.
    pub mailbox: mpsc::Receiver<ToListWatcher>,
    /// Told once the dispatcher has a list from discovery.
    pub first: Option<oneshot::Sender<()>>,
}

/// What a call to discovery has come to.
enum Call {
    Ended(Result<DiscoveryPage, FetchError>),
    /// The watch is over.
    Unwatched,
    /// Discovery is at another address.
    Moved(SocketAddr),
}

/// The dispatcher, or whoever sends the watcher messages, has ended.
struct ActorEnded;

impl BackendListWatcher {
    /// Runs until the dispatcher ends.
    pub async fn run(mut self) {
        let mut watching = self.mode == Discovery::Pushed;
        let mut connection = DiscoveryConnection::default();
        // A subscription is one call, and brings what was missed: a whole list before it would be two, at a
        // service that all gateways call when they start.
        let mut revision = (self.mode == Discovery::Subscribed).then_some(self.known);
        loop {
            if !watching {
                match self.mailbox.recv().await {
                    None => return,
                    Some(ToListWatcher::Watch { on }) => watching = on,
                    Some(ToListWatcher::Fetch) => {}
                    Some(ToListWatcher::Move(address)) => {
                        self.at = address;
                        connection = DiscoveryConnection::default();
                        revision = None;
                        continue;
                    }
                }
            }
            let Ok(call) = self.call(&mut connection, revision).await else {
                return;
            };
            let handled = match call {
                Call::Moved(address) => {
                    // The watch begins anew with the whole list: nothing told in between may be missed.
                    self.at = address;
                    connection = DiscoveryConnection::default();
                    revision = None;
                    Ok(())
                }
                Call::Unwatched => {
                    watching = false;
                    Ok(())
                }
                Call::Ended(Ok(page)) => {
                    revision = Some(page.revision);
                    self.take_page(page).await
                }
                Call::Ended(Err(error)) => self.call_failed(error, &mut watching).await,
            };
            if handled.is_err() {
                return;
            }
        }
    }

    /// Calls discovery; messages that come meanwhile may end the call.
    async fn call(
        &mut self,
        connection: &mut DiscoveryConnection,
        revision: Option<u64>,
    ) -> Result<Call, ActorEnded> {
        let fetch = connection.fetch(self.at, revision, WATCH_HOLD);
        let mut fetch = Box::pin(timeout(WATCH_HOLD + WATCH_GRACE, fetch));
        loop {
            tokio::select! {
                fetched = &mut fetch => {
                    return Ok(Call::Ended(fetched.unwrap_or(Err(FetchError::TimedOut))));
                }
                message = self.mailbox.recv() => match message {
                    None => return Err(ActorEnded),
                    Some(ToListWatcher::Watch { on: false }) if self.mode == Discovery::Subscribed => {
                        return Ok(Call::Unwatched);
                    }
                    Some(ToListWatcher::Move(address)) => return Ok(Call::Moved(address)),
                    Some(_) => {}
                }
            }
        }
    }

    async fn take_page(&mut self, page: DiscoveryPage) -> Result<(), ActorEnded> {
        // Only what says that it is complete is: backends absent from it are gone.
        let form = if page.complete {
            ListForm::Replace
        } else {
            ListForm::Update
        };
        if page.complete || !page.members.is_empty() {
            self.last_list.borrow_mut().apply(&page);
            let update = self.names.to_update(page, form);
            self.send(update).await?;
        }
        if let Some(first) = self.first.take() {
            first.send(()).ok();
        }
        Ok(())
    }

    /// A subscription is over with a failed call, and the dispatcher decides when to ask anew; else it is tried again.
    async fn call_failed(
        &mut self,
        error: FetchError,
        watching: &mut bool,
    ) -> Result<(), ActorEnded> {
        log!(
            warn,
            "list-unavailable",
            "{}: {error}; the last list stays",
            self.at
        );
        if self.mode != Discovery::Subscribed {
            sleep(RETRY_DELAY).await;
            return Ok(());
        }
        *watching = false;
        let unavailable = BackendListUpdate {
            form: ListForm::Unavailable,
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
