//! The state of the running process that is kept from one phase to the next.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::Settings;
use damsonbeam_admin::{Metrics, OrderRequest};
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
use crate::platform_protocol::PlatformProtocol;

/// Lower bound of the longest integration timeout in the platform's grace period. SIGKILL follows SIGTERM no sooner than
/// `max(longest integration timeout, MIN_LONGEST_TIMEOUT) + ACCEPT_AFTER_DRAIN`; the process exits [`EXIT_MARGIN`] before.
const MIN_LONGEST_TIMEOUT: Duration = Duration::from_secs(3);
const EXIT_MARGIN: Duration = Duration::from_millis(20);

/// The state of the running process.
pub(super) struct Running {
    pub(super) name: String,
    pub(super) clients: Rc<Clients>,
    pub(super) protocol: Rc<PlatformProtocol>,
    pub(super) listener: Rc<TcpListener>,
    /// The task that accepts connections; `None` while another process accepts them.
    pub(super) accepting: Option<JoinHandle<()>>,
    pub(super) dispatcher: mpsc::Sender<ToDispatcher>,
    /// The actors that the gateway can't serve without: the dispatcher, the list watcher, the counter client.
    pub(super) actors: FuturesUnordered<JoinHandle<()>>,
    pub(super) terminate: Signal,
    pub(super) reload: Signal,
    /// The settings in force; operations and plans of earlier settings are kept, so that positions stay valid.
    pub(super) settings: Settings,
    /// The configuration file that the settings were read from, as JSON.
    pub(super) source: Value,
    pub(super) addresses: ServiceAddresses,
    pub(super) list_watcher: mpsc::Sender<ToListWatcher>,
    pub(super) counter: Option<mpsc::Sender<ToCounter>>,
    pub(super) metrics: Metrics,
    pub(super) orders: mpsc::Receiver<OrderRequest>,
    /// The current list of backends, which is handed over to a successor.
    pub(super) last_list: Rc<RefCell<DiscoveryPage>>,
    /// The connection to the predecessor, until that process has ended.
    pub(super) predecessor: Option<HandoverConnection>,
    pub(super) succession: Succession,
}

impl Running {
    pub(super) fn start_accepting(&mut self) {
        self.stop_accepting();
        let accepting = self.clients.clone().accept(self.listener.clone());
        self.accepting = Some(tokio::task::spawn_local(accepting));
    }

    pub(super) fn stop_accepting(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
        }
    }

    /// Tells the predecessor that this process serves, and listens for a successor.
    pub(super) async fn announce_serving(&mut self) {
        if let Some(connection) = &mut self.predecessor {
            connection.send(&HandoverMessage::Taken).await;
        }
        if let Some(path) = &self.succession.path {
            self.succession.listener = HandoverListener::bind(path);
        }
    }

    /// Returns the longest time from SIGTERM to the exit.
    pub(super) fn grace_period(&self) -> Duration {
        let operations = self.settings.operations.iter();
        let longest = operations
            .map(|operation| operation.integration_timeout)
            .max();
        longest.unwrap_or_default().max(MIN_LONGEST_TIMEOUT) + ACCEPT_AFTER_DRAIN - EXIT_MARGIN
    }

    /// Reloads the configuration; keeps the old one and logs the reason if the new one is invalid.
    pub(super) async fn reload(&mut self) -> Result<(), ServerError> {
        let config =
            Config::read().and_then(|new| new.ensure_may_replace(&self.source).map(|()| new));
        match config {
            Ok(config) => self.apply(config).await,
            Err(reason) => {
                self.metrics.conf_invalid.inc();
                log!(
                    warn,
                    "reload-refused",
                    "{reason}; keeping the old configuration"
                );
                Ok(())
            }
        }
    }

    /// Applies a new configuration's settings and the addresses of discovery and the counter. All other changes take
    /// effect at the next start.
    async fn apply(&mut self, config: Config) -> Result<(), ServerError> {
        let (old, new) = (self.addresses, config.addresses);
        self.settings = self.settings.updated_with(config.settings);
        // The dispatcher must have the new settings before requests are decoded with them: decoded requests refer to
        // operations and plans by their positions in these settings.
        let settings = Box::new(self.settings.clone());
        send(&self.dispatcher, ToDispatcher::Settings(settings)).await?;
        self.protocol.set_settings(&self.settings);
        if new.discovery != old.discovery {
            send(&self.list_watcher, ToListWatcher::SetAddress(new.discovery)).await?;
        }
        if let (Some(counter), Some(address)) = (&self.counter, new.counter)
            && new.counter != old.counter
        {
            send(counter, ToCounter::SetAddress(address)).await?;
        }
        (self.addresses, self.source) = (new, config.source);
        self.metrics.conf_loaded.inc();
        log!(info, "reload", "{}: new configuration in force", self.name);
        Ok(())
    }
}

/// Sends a message to an actor; returns an error if the actor has ended.
pub(super) async fn send<T>(actor: &mpsc::Sender<T>, message: T) -> Result<(), ServerError> {
    actor
        .send(message)
        .await
        .map_err(|_| ServerError::ChannelClosed)
}
