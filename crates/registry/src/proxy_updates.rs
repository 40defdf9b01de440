//! Messages to proxies: heartbeats, configuration, backends and counts, each of bounded size.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_octets};
use damsonbeam_control::config::Item;
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::{
    Heartbeat, Message, NamedCount, ProxyStatus, TransferMessage, split_items,
};
use damsonbeam_control::transfer::{self, CHUNKS_IN_FLIGHT};

use crate::backend_list::split_pages;
use crate::coordinator::CountTotals;
use crate::directory::ProxyEndpoint;
use crate::partners::{self, Partners};
use crate::proxies::{ConnectionId, ProxySession};
use crate::registry::Registry;

/// A registry other than the coordinator sends a heartbeat to proxies of other regions only once in this many rounds,
/// because traffic between regions is charged for.
const REMOTE_HEARTBEAT_ROUNDS: u32 = 3;

/// The contents shared by all heartbeats of one round.
struct HeartbeatRound {
    heartbeat: Heartbeat,
    /// Region and node name of the ready proxies. A proxy's position is its index among those of its region.
    ready: BTreeSet<(String, String)>,
    endpoints: Vec<ProxyEndpoint>,
}

impl Registry {
    /// Returns whether this registry pushes updates to a proxy: the coordinator pushes to all proxies, other registries
    /// to those of their region. Proxies of other regions get updates from registries of their own region; they detect
    /// missing ones by the versions in heartbeats and request them.
    fn pushes_to(&self, status: &ProxyStatus) -> bool {
        let is_own_region = self.region_of(&status.zone) == self.settings().region;
        self.role.term().is_some() || is_own_region
    }

    /// Sends the heartbeats of one round, and the allotment status.
    pub(crate) fn send_heartbeats(&mut self) {
        let round = self.prepare_heartbeats();
        self.heartbeat_round += 1;
        let is_remote_round = self.heartbeat_round.is_multiple_of(REMOTE_HEARTBEAT_ROUNDS);
        for (_, session) in self.proxies.all() {
            if is_remote_round || self.pushes_to(session.status()) {
                self.send_heartbeat(session, &round);
            }
        }
        self.send_allotment_status(self.now());
    }

    /// Sends a heartbeat to a proxy that has just connected.
    fn send_first_heartbeat(&mut self, link: ConnectionId) {
        let round = self.prepare_heartbeats();
        if let Some(session) = self.proxies.get(link) {
            self.send_heartbeat(session, &round);
        }
    }

    fn prepare_heartbeats(&mut self) -> HeartbeatRound {
        let now = self.now();
        let config_digest = if self.has_all_items {
            self.config.digest()
        } else {
            0
        };
        let heartbeat = Heartbeat {
            coordinator_time_ms: self.time.now_ms().unwrap_or(0),
            registries: self.registries(),
            in_contact: self.is_in_contact(),
            coordinator: self.lease.holder(now),
            known_proxy_count: self.proxies.known_count(now) as u32,
            connected_proxy_count: self.proxies.attached_count(now) as u32,
            region_proxy_count: 0,
            region_position: 0,
            config_digest,
            backend_list: self.backends.version,
        };
        let ready = self
            .proxies
            .attached(now)
            .filter(|session| session.status().ready);
        let key = |session: &ProxySession| {
            let status = session.status();
            (self.region_of(&status.zone), status.node.clone())
        };
        HeartbeatRound {
            heartbeat,
            ready: ready.map(key).collect(),
            endpoints: self.proxy_endpoints(),
        }
    }

    fn send_heartbeat(&self, session: &ProxySession, round: &HeartbeatRound) {
        let status = session.status();
        let region = self.region_of(&status.zone);
        let nearby = || round.ready.iter().filter(|(of, _)| *of == region);
        let before = nearby().take_while(|(_, node)| *node < status.node);
        session.send(&Message::Heartbeat(Heartbeat {
            region_proxy_count: nearby().count() as u32,
            region_position: before.count() as u32,
            ..round.heartbeat.clone()
        }));
        if session.exchanges_load_reports() {
            let address = SocketAddr::from(status.address);
            let number = self.heartbeat_round;
            let partners = partners::select_partners(&round.endpoints, address, &region, number);
            session.send(&partners_message(&partners));
        }
    }

    /// Processes a proxy's status. A proxy that has just connected is sent a heartbeat, and the backend list if this
    /// registry pushes updates to it.
    pub(crate) fn receive_status(
        &mut self,
        link: ConnectionId,
        sender: &MessageSender,
        status: ProxyStatus,
    ) {
        let now = self.now();
        let pushes = self.pushes_to(&status);
        let node = status.node.clone();
        self.role
            .allotments_mut()
            .record_contact(status.incarnation, now);
        if let Some(replaced) = self.proxies.observe(&status, now) {
            self.role.allotments_mut().remove_holder(replaced);
        }
        if !self.proxies.update_status(link, status, sender, now) {
            return;
        }
        log::info!("proxies: {node} connected.");
        if pushes {
            self.send_backends(Some(link));
        }
        self.send_first_heartbeat(link);
    }

    /// Records a proxy's counts and answers with the totals. A registry that is not the coordinator does not answer;
    /// without totals, the proxy limits itself to its own share of each quota.
    pub(crate) fn receive_counts(&mut self, link: ConnectionId, counts: &[NamedCount]) {
        let now = self.now();
        let Some(session) = self.proxies.get(link) else {
            return;
        };
        let incarnation = session.status().incarnation;
        let totals = self
            .role
            .record_counts(&self.lease, now, incarnation, counts);
        if let Some(CountTotals { term, totals }) = totals {
            session.send(&Message::CountTotals { term, totals });
            self.proxies.record_activity(link, now);
            self.role.allotments_mut().record_contact(incarnation, now);
        }
    }

    /// Sends the due totals of tenants near or above their quotas to all proxies.
    pub(crate) fn send_count_updates(&mut self, now: Duration) {
        let totals = self.role.take_count_updates(&self.lease, now);
        if let Some(CountTotals { term, totals }) = totals {
            self.proxies
                .broadcast(&Message::CountTotals { term, totals });
        }
    }

    /// Answers a configuration transfer request of a proxy. A registry that does not have all committed items does not
    /// answer, because the proxy would take the partial configuration for the whole.
    pub(crate) fn answer_transfer(&mut self, link: ConnectionId, message: &TransferMessage) {
        if !self.has_all_items {
            return;
        }
        let answer = transfer::answer_message(&self.config, message);
        if let (Some(answer), Some(session)) = (answer, self.proxies.get(link)) {
            session.send(&Message::Transfer(answer));
        }
    }

    /// Pushes newly committed items to proxies. If the items exceed `CHUNKS_IN_FLIGHT` messages, proxies are only
    /// notified of the change, and each fetches the items at its own pace from one registry.
    pub(crate) fn push_items(&mut self, items: Vec<Item>) {
        if !self.has_all_items {
            return;
        }
        let chunks = split_items(items);
        let targets = self
            .proxies
            .all()
            .filter(|(_, session)| self.pushes_to(session.status()));
        let targets: Vec<ConnectionId> = targets.map(|(link, _)| link).collect();
        for link in targets {
            let Some(session) = self.proxies.get_mut(link) else {
                continue;
            };
            if chunks.len() > CHUNKS_IN_FLIGHT {
                session.send(&Message::ConfigChanged);
                continue;
            }
            for items in chunks.iter().cloned() {
                session.send_config_update(items);
            }
        }
    }

    /// Sends the list of backends to one proxy, or to all. A registry that is not the coordinator sends a list read by
    /// another registry, even if it may be out of date: an old list is better than none.
    pub(crate) fn send_backends(&mut self, link: Option<ConnectionId>) {
        if self.backends.version.term == 0 || !self.role.may_send_list() {
            return;
        }
        let pages = split_pages(&self.backends);
        let targets = match link {
            Some(link) => vec![link],
            None => self.proxies.all().map(|(link, _)| link).collect(),
        };
        for link in targets {
            let Some(session) = self.proxies.get_mut(link) else {
                continue;
            };
            for (number, page) in (0..).zip(&pages) {
                session.send_backend_page(page.clone(), number, pages.len() as u32);
            }
        }
    }
}

fn partners_message(partners: &Partners) -> Message {
    let ips = |addresses: &[SocketAddr]| -> Vec<Ip> {
        addresses
            .iter()
            .map(|address| ip_octets(address.ip()))
            .collect()
    };
    Message::Peers {
        same_region: ips(&partners.near),
        other_regions: ips(&partners.far),
    }
}
