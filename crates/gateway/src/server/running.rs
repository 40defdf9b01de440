//! What runs from one phase to the next.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::Settings;
use damsonbeam_admin::{Asked, Figures};
use damsonbeam_handover::HandoverMessage;
use futures_util::stream::FuturesUnordered;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::succession::Succession;
use super::{ACCEPT_AFTER_DRAIN, ServerError};
use crate::backend_list::DiscoveryPage;
use crate::clients::Clients;
use crate::config::{Config, ServiceAddresses};
use crate::handover::{HandoverConnection, HandoverListener};
use crate::log::log;
use crate::messages::{ToCounter, ToDispatcher, ToListWatcher};
use crate::platform_protocol::PlatformRequests;

/// SIGKILL comes no sooner than the longest integration timeout, counted as this where it is shorter,
/// and the time for accepting after SIGTERM; our exit comes [`EXIT_MARGIN`] before.
const MIN_LONGEST_TIMEOUT: Duration = Duration::from_secs(3);
const EXIT_MARGIN: Duration = Duration::from_millis(20);

/// What runs from one phase to the next.
pub(super) struct Running {
    pub(super) name: String,
    pub(super) clients: Rc<Clients>,
    pub(super) protocol: Rc<PlatformRequests>,
    pub(super) listener: Rc<TcpListener>,
    /// `None` while another process accepts in this one's place.
    pub(super) accepting: Option<JoinHandle<()>>,
    pub(super) dispatcher: mpsc::Sender<ToDispatcher>,
    /// The actors without which nothing is served: the dispatcher, the list watcher, the counter client.
    pub(super) actors: FuturesUnordered<JoinHandle<()>>,
    pub(super) terminate: Signal,
    pub(super) reload: Signal,
    /// The settings in force, with the rows of those before them.
    pub(super) settings: Settings,
    /// The file that the settings came from.
    pub(super) source: Value,
    pub(super) addresses: ServiceAddresses,
    pub(super) list_watcher: mpsc::Sender<ToListWatcher>,
    pub(super) counter: Option<mpsc::Sender<ToCounter>>,
    pub(super) figures: Figures,
    pub(super) orders: mpsc::Receiver<Asked>,
    /// The list as it stands, for a process that follows this one.
    pub(super) last_list: Rc<RefCell<DiscoveryPage>>,
    /// The process before this one, until it has ended.
    pub(super) predecessor: Option<HandoverConnection>,
    pub(super) succession: Succession,
}

impl Running {
    pub(super) fn accept(&mut self) {
        self.stop_accepting();
        let accepting = self.clients.clone().accept(self.listener.clone());
        self.accepting = Some(tokio::task::spawn_local(accepting));
    }

    pub(super) fn stop_accepting(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
    }

    /// From now on clients come here: the process before is told so, and one to follow may come.
    pub(super) async fn announce_serving(&mut self) {
        if let Some(connection) = &mut self.predecessor {
            connection.send(&HandoverMessage::Taken).await;
        }
        if let Some(path) = &self.succession.path {
            self.succession.listener = HandoverListener::bind(path);
        }
    }

    /// From SIGTERM to the exit at the latest.
    pub(super) fn grace(&self) -> Duration {
        let timeouts = self.settings.operations.iter();
        let longest = timeouts
            .map(|operation| operation.integration_timeout)
            .max();
        longest.unwrap_or_default().max(MIN_LONGEST_TIMEOUT) + ACCEPT_AFTER_DRAIN - EXIT_MARGIN
    }

    /// Reads the configuration again; the old one stays where the new one can't be used.
    pub(super) async fn reload(&mut self) -> Result<(), ServerError> {
        let config = Config::read().and_then(|new| new.follows(&self.source).map(|()| new));
        match config {
            Ok(config) => self.apply(config).await,
            Err(reason) => {
                self.figures.conf_invalid.inc();
                log!(
                    warn,
                    "reload-refused",
                    "{reason}; the old configuration stays"
                );
                Ok(())
            }
        }
    }

    /// Takes a new configuration: its settings, and where the list and the counter are; all else in it waits
    /// for a restart.
    async fn apply(&mut self, config: Config) -> Result<(), ServerError> {
        let (old, new) = (self.addresses, config.addresses);
        self.settings = self.settings.follow(config.settings);
        // The dispatcher first: what is decoded by the new names is told in their positions.
        let settings = Box::new(self.settings.clone());
        send(&self.dispatcher, ToDispatcher::Settings(settings)).await?;
        self.protocol.set_settings(&self.settings);
        if new.discovery != old.discovery {
            send(&self.list_watcher, ToListWatcher::Move(new.discovery)).await?;
        }
        if let (Some(counter), Some(address)) = (&self.counter, new.counter)
            && new.counter != old.counter
        {
            send(counter, ToCounter::Move(address)).await?;
        }
        (self.addresses, self.source) = (new, config.source);
        self.figures.conf_loaded.inc();
        log!(info, "reload", "{}: new configuration in force", self.name);
        Ok(())
    }
}

/// Sends an actor a message; an actor that has ended is an error.
pub(super) async fn send<T>(actor: &mpsc::Sender<T>, message: T) -> Result<(), ServerError> {
    actor
        .send(message)
        .await
        .map_err(|_| ServerError::ChannelClosed)
}
