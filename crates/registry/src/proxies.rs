//! The sessions of connected proxies, and the proxies seen recently.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use damsonbeam_control::config::Item;
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::{BackendList, Message, ProxyStatus, encode};

use crate::directory::ProxyEndpoint;
use crate::known_proxies::KnownProxies;

/// A proxy that has sent nothing for this long is no longer attached, and not given to clients.
const ATTACHED_TIMEOUT: Duration = Duration::from_millis(1300);

/// Identifies a connection of a proxy.
pub(crate) type ConnectionId = u64;

/// The session with a proxy over one connection.
pub(crate) struct ProxySession {
    status: ProxyStatus,
    sender: MessageSender,
    last_seen: Duration,
    /// Number of the last update sent.
    last_update: u64,
    /// Number of the last update that the proxy has acknowledged.
    acknowledged: u64,
    exchanges_load_reports: bool,
}

impl ProxySession {
    pub(crate) fn status(&self) -> &ProxyStatus {
        &self.status
    }

    pub(crate) fn exchanges_load_reports(&self) -> bool {
        self.exchanges_load_reports
    }

    pub(crate) fn silent_for(&self, now: Duration) -> Duration {
        now - self.last_seen
    }

    pub(crate) fn unacknowledged_updates(&self) -> u64 {
        self.last_update - self.acknowledged
    }

    pub(crate) fn send(&self, message: &Message) {
        self.sender.send(message);
    }

    fn next_update(&mut self) -> u64 {
        self.last_update += 1;
        self.last_update
    }

    pub(crate) fn send_config_update(&mut self, items: Vec<Item>) {
        let number = self.next_update();
        self.send(&Message::ConfigUpdate { number, items });
    }

    pub(crate) fn send_backend_page(&mut self, list: BackendList, page: u32, pages: u32) {
        let number = self.next_update();
        self.send(&Message::BackendUpdate {
            number,
            list,
            page,
            pages,
        });
    }
}

/// The sessions with proxies by connection, and the state of each proxy across its connections.
#[derive(Default)]
pub(crate) struct ProxySessions {
    sessions: BTreeMap<ConnectionId, ProxySession>,
    known: KnownProxies,
}

impl ProxySessions {
    pub(crate) fn all(&self) -> impl Iterator<Item = (ConnectionId, &ProxySession)> {
        self.sessions.iter().map(|(link, session)| (*link, session))
    }

    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    pub(crate) fn get(&self, link: ConnectionId) -> Option<&ProxySession> {
        self.sessions.get(&link)
    }

    pub(crate) fn get_mut(&mut self, link: ConnectionId) -> Option<&mut ProxySession> {
        self.sessions.get_mut(&link)
    }

    /// Returns the sessions in which a status or count report was received within `ATTACHED_TIMEOUT`.
    pub(crate) fn attached(&self, now: Duration) -> impl Iterator<Item = &ProxySession> {
        let is_attached = move |session: &&ProxySession| now < session.last_seen + ATTACHED_TIMEOUT;
        self.sessions.values().filter(is_attached)
    }

    /// Returns the number of attached proxies; a proxy with several connections counts once.
    pub(crate) fn attached_count(&self, now: Duration) -> usize {
        self.attached_nodes(now).len()
    }

    fn attached_nodes(&self, now: Duration) -> BTreeSet<&str> {
        let sessions = self.attached(now);
        sessions
            .map(|session| session.status.node.as_str())
            .collect()
    }

    /// Returns the number of proxies that may be using their shares of the quotas.
    pub(crate) fn known_count(&mut self, now: Duration) -> usize {
        self.known.expire_and_count(now)
    }

    /// Returns the zones of proxies lost recently without a planned shutdown.
    pub(crate) fn zones_with_recent_loss(&self, now: Duration) -> Vec<&str> {
        self.known
            .zones_with_recent_loss(&self.attached_nodes(now), now)
    }

    /// Returns the attached proxies, each once, as entries of the directory.
    pub(crate) fn endpoints(
        &self,
        now: Duration,
        region_of: impl Fn(&str) -> String,
    ) -> Vec<ProxyEndpoint> {
        let mut by_node: BTreeMap<&str, ProxyEndpoint> = BTreeMap::new();
        for session in self.attached(now) {
            let status = &session.status;
            let endpoint = ProxyEndpoint {
                address: SocketAddr::from(status.address),
                zone: status.zone.clone(),
                region: region_of(&status.zone),
                phase: self.known.phase(&status.node),
            };
            by_node.insert(&status.node, endpoint);
        }
        by_node.into_values().collect()
    }

    /// Processes a status report received over any connection; returns the incarnation that the reporting one has
    /// replaced, if that incarnation has no open connection left.
    pub(crate) fn observe(&mut self, status: &ProxyStatus, now: Duration) -> Option<u64> {
        let replaced = self.known.observe(status, now)?;
        (!self.has_session(replaced)).then_some(replaced)
    }

    fn has_session(&self, incarnation: u64) -> bool {
        let mut sessions = self.sessions.values();
        sessions.any(|session| session.status.incarnation == incarnation)
    }

    /// Returns whether a proxy process is gone for good: another incarnation has replaced it, and it has no open
    /// connection.
    pub(crate) fn is_gone(&self, status: &ProxyStatus) -> bool {
        self.known.is_replaced(status) && !self.has_session(status.incarnation)
    }

    /// Stores the status received over a connection; returns whether the connection is new.
    pub(crate) fn update_status(
        &mut self,
        link: ConnectionId,
        status: ProxyStatus,
        sender: &MessageSender,
        now: Duration,
    ) -> bool {
        if let Some(session) = self.sessions.get_mut(&link) {
            session.status = status;
            session.last_seen = now;
            return false;
        }
        let session = ProxySession {
            status,
            sender: sender.clone(),
            last_seen: now,
            last_update: 0,
            acknowledged: 0,
            exchanges_load_reports: false,
        };
        self.sessions.insert(link, session);
        true
    }

    /// Records activity on a connection. Count reports also show that a proxy is attached.
    pub(crate) fn record_activity(&mut self, link: ConnectionId, now: Duration) {
        if let Some(session) = self.sessions.get_mut(&link) {
            session.last_seen = now;
        }
    }

    pub(crate) fn acknowledge(&mut self, link: ConnectionId, update: u64) {
        if let Some(session) = self.sessions.get_mut(&link) {
            session.acknowledged = session.acknowledged.max(update);
        }
    }

    pub(crate) fn enable_load_reports(&mut self, link: ConnectionId) {
        if let Some(session) = self.sessions.get_mut(&link) {
            session.exchanges_load_reports = true;
        }
    }

    /// Processes a departure notice; returns the proxy's last status.
    pub(crate) fn record_departure(&mut self, link: ConnectionId) -> Option<&ProxyStatus> {
        let session = self.sessions.get(&link)?;
        self.known.record_departure(&session.status);
        Some(&session.status)
    }

    /// Returns the number of proxies that have shut down as planned and have not started again.
    pub(crate) fn departed_count(&self) -> usize {
        self.known.departed_count()
    }

    /// Removes the session of a closed connection.
    pub(crate) fn remove(&mut self, link: ConnectionId) -> Option<ProxySession> {
        self.sessions.remove(&link)
    }

    /// Sends a message to the proxy process with this incarnation, over its latest connection.
    pub(crate) fn send_to(&self, incarnation: u64, message: &Message) {
        let mut sessions = self.sessions.values().rev();
        let session = sessions.find(|session| session.status.incarnation == incarnation);
        if let Some(session) = session {
            session.send(message);
        }
    }

    /// Sends a message over all connections of proxies.
    pub(crate) fn broadcast(&self, message: &Message) {
        let bytes = encode(message);
        for session in self.sessions.values() {
            session.sender.send_encoded(bytes.clone());
        }
    }
}
