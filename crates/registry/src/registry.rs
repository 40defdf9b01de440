//! The state of one registry. Ticks and received messages are its inputs; outgoing datagrams are returned to the caller,
//! and messages to proxies and to the store are written to their connections.
//!
//! The state is made of [`CoordinatorTime`], [`Membership`], [`LeaseElection`], [`Contact`], [`CoordinatorRole`],
//! [`ProxySessions`] and [`StoreSession`]. [`Registry`] owns them and passes information between them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_addr, ip_octets};
use damsonbeam_control::config::ConfigSnapshot;
use damsonbeam_control::contact::Contact;
use damsonbeam_control::lease::LeaseElection;
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::membership::{Membership, MembershipChange};
use damsonbeam_control::messages::{
    Backend, BackendList, Command, CommandReply, Datagram, GossipBody, LeaseMessage, Message,
    encode,
};
use damsonbeam_control::settings::Settings;
use tokio::sync::oneshot;

use crate::coordinator::{CoordinatorRole, ListOutcome};
use crate::coordinator_time::CoordinatorTime;
use crate::directory::{HomeRegions, Lookup, ProxyEndpoint};
use crate::home_regions::HomeRegionIndex;
use crate::proxies::{ConnectionId, ProxySessions};
use crate::store_session::StoreSession;

/// Interval between two heartbeats to a proxy: three heartbeats fit into the time after which a proxy looks for another
/// coordinator.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The registry, shared by the tasks of its one thread. No task may hold a borrow across an `await`.
pub(crate) type SharedRegistry = Rc<RefCell<Registry>>;

/// The address of the receiving registry and the encoded datagram.
pub(crate) type OutgoingDatagram = (Ip, Vec<u8>);

pub(crate) struct Registry {
    pub(crate) settings: Rc<Settings>,
    pub(crate) own_ip: Ip,
    pub(crate) time: CoordinatorTime,
    pub(crate) membership: Membership,
    pub(crate) lease: LeaseElection,
    pub(crate) contact: Contact,
    pub(crate) role: CoordinatorRole,
    pub(crate) proxies: ProxySessions,
    pub(crate) store: StoreSession,
    pub(crate) config: ConfigSnapshot,
    /// Home regions by host, derived from `config`. Updated with each changed item instead of computed per lookup,
    /// because clients send many lookups a second.
    pub(crate) home_regions: HomeRegionIndex,
    /// Whether the store has sent all items that it knows to be committed.
    pub(crate) has_all_items: bool,
    pub(crate) backends: BackendList,
    was_in_contact: bool,
    next_heartbeat_at: Duration,
    /// Number of heartbeat rounds sent so far.
    pub(crate) heartbeat_round: u32,
    is_leaving: bool,
}

impl Registry {
    pub(crate) fn new(settings: Rc<Settings>) -> Self {
        let own_ip = ip_octets(settings.ip_address);
        let seeds: BTreeSet<Ip> = settings.seed_ips().into_iter().map(ip_octets).collect();
        let seeds: Vec<Ip> = seeds.into_iter().collect();
        Registry {
            settings,
            own_ip,
            time: CoordinatorTime::start(),
            membership: Membership::new(own_ip, seeds, Duration::ZERO),
            lease: LeaseElection::new(own_ip, Duration::ZERO),
            contact: Contact::new(own_ip),
            role: CoordinatorRole::default(),
            proxies: ProxySessions::default(),
            store: StoreSession::default(),
            config: ConfigSnapshot::default(),
            home_regions: HomeRegionIndex::default(),
            has_all_items: false,
            backends: BackendList::default(),
            was_in_contact: false,
            next_heartbeat_at: Duration::ZERO,
            heartbeat_round: 0,
            is_leaving: false,
        }
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the time since the start of this process.
    pub(crate) fn now(&self) -> Duration {
        self.time.now()
    }

    pub(crate) fn region_of(&self, zone: &str) -> String {
        self.settings
            .regions_by_zone
            .get(zone)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns all registries not known to be dead, this one first.
    pub(crate) fn registries(&self) -> Vec<Ip> {
        let others = self
            .membership
            .alive()
            .into_iter()
            .filter(|ip| *ip != self.own_ip);
        std::iter::once(self.own_ip).chain(others).collect()
    }

    /// Returns whether this registry may answer for the whole system: a majority of the voters has answered recently,
    /// and the known voters are at most one epoch behind the highest epoch that other registries have reported.
    pub(crate) fn is_in_contact(&self) -> bool {
        self.contact.is_in_contact(self.now()) && !self.lease.knows_newer_epoch()
    }

    /// Returns the term under which this registry may act as the coordinator now; `None` if it may not.
    pub(crate) fn acting_term(&self) -> Option<u64> {
        self.role.acting_term(&self.lease, self.now())
    }

    /// Returns the attached proxies as entries of the directory.
    pub(crate) fn proxy_endpoints(&self) -> Vec<ProxyEndpoint> {
        self.proxies
            .endpoints(self.now(), |zone| self.region_of(zone))
    }

    /// Returns the inputs of a directory lookup other than the proxies.
    pub(crate) fn lookup<'a>(&self, host: &str, region: &'a str, zone: &'a str) -> Lookup<'a> {
        let homes = if self.has_all_items {
            self.home_regions.home_regions(host)
        } else {
            HomeRegions::Unknown
        };
        let has_recent_loss = self
            .proxies
            .zones_with_recent_loss(self.now())
            .into_iter()
            .any(|zone| self.region_of(zone) == region);
        Lookup {
            region,
            zone,
            homes,
            has_recent_loss,
        }
    }

    /// Runs all periodic work; returns the datagrams to send.
    pub(crate) fn tick(&mut self) -> Vec<OutgoingDatagram> {
        let now = self.now();
        self.time.start_own_clock_if_due();
        let mut datagrams = self.tick_membership(now);
        datagrams.extend(self.probe_voters(now));
        self.store.query_epoch_if_due(now);
        let alive = self.membership.alive();
        datagrams.extend(self.tick_lease(now, &alive));
        self.sync_role(now);
        self.send_count_updates(now);
        self.send_allotments(now);
        self.update_contact(now);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats();
        }
        self.store.send_roster(alive);
        datagrams
    }

    fn tick_membership(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        let output = self.membership.tick(now);
        log_changes(&output.changes);
        self.encode_all(output.datagrams)
    }

    /// Returns the probes that are due; their answers show whether a majority of the voters is in contact.
    fn probe_voters(&mut self, now: Duration) -> Vec<OutgoingDatagram> {
        let probes = self.contact.tick(now).into_iter();
        let pings = probes.map(|(to, number)| (to, GossipBody::Ping { number }));
        self.encode_all(pings.collect())
    }

    fn tick_lease(&mut self, now: Duration, alive: &[Ip]) -> Vec<OutgoingDatagram> {
        if !self.is_in_contact() {
            self.lease.defer_claims(now);
        }
        let message = self.lease.tick(now, alive).filter(|_| !self.is_leaving);
        match message {
            Some(message) => self.lease_datagrams(alive, &message),
            None => vec![],
        }
    }

    /// Returns datagrams that carry a lease message to all other registries.
    fn lease_datagrams(&mut self, alive: &[Ip], message: &LeaseMessage) -> Vec<OutgoingDatagram> {
        let others = alive.iter().filter(|ip| **ip != self.own_ip);
        let bodies = others.map(|to| (*to, GossipBody::Lease(message.clone())));
        self.encode_all(bodies.collect())
    }

    /// Takes or gives up the coordinator's role according to the lease.
    fn sync_role(&mut self, now: Duration) {
        let held_term = self.lease.held_term(now);
        let is_initial_start = self.settings.initial_start;
        if !self.role.sync_with_lease(held_term, is_initial_start, now) {
            return;
        }
        match self.role.term() {
            Some(term) => {
                log::info!("coordinator: acquired the lease, term {term}.");
                // Proxies report their counts only to a coordinator that they know of; until then the totals lack them.
                self.next_heartbeat_at = now;
            }
            None => log::info!("coordinator: the lease is lost."),
        }
    }

    fn update_contact(&mut self, now: Duration) {
        let is_in_contact = self.is_in_contact();
        if is_in_contact == self.was_in_contact {
            return;
        }
        let change = if is_in_contact { "established" } else { "lost" };
        log::info!("contact: contact with a majority of the voters {change}.");
        // Starting proxies wait for a heartbeat from a registry in contact.
        self.next_heartbeat_at = now;
        self.was_in_contact = is_in_contact;
    }

    /// Prepares the shutdown after SIGTERM: a coordinator transfers the lease. Returns the datagrams to send.
    pub(crate) fn leave(&mut self) -> Vec<OutgoingDatagram> {
        self.is_leaving = true;
        let now = self.now();
        let alive = self.membership.alive();
        let Some(message) = self.lease.transfer(now, &alive) else {
            return vec![];
        };
        if let LeaseMessage::Transfer { to, .. } = &message {
            log::info!("coordinator: transferring the lease to {}.", ip_addr(*to));
        }
        self.role.sync_with_lease(None, false, now);
        self.lease_datagrams(&alive, &message)
    }

    fn encode_all(&mut self, bodies: Vec<(Ip, GossipBody)>) -> Vec<OutgoingDatagram> {
        let bodies = bodies.into_iter();
        bodies
            .map(|(to, body)| (to, self.encode_datagram(to, body)))
            .collect()
    }

    fn encode_datagram(&mut self, to: Ip, body: GossipBody) -> Vec<u8> {
        encode(&Datagram {
            from: self.own_ip,
            epoch: self.lease.epoch(),
            coordinator_time_ms: self.time.now_ms(),
            body,
            updates: self.membership.updates_for(to),
        })
    }

    /// Processes a datagram of another registry; returns the answers to send.
    pub(crate) fn receive_datagram(&mut self, datagram: &Datagram) -> Vec<OutgoingDatagram> {
        let now = self.now();
        let from = datagram.from;
        let is_coordinator = self
            .lease
            .holder(now)
            .is_some_and(|holder| holder.ip == from);
        self.time
            .observe(datagram.coordinator_time_ms, is_coordinator);
        self.lease.observe_epoch(datagram.epoch);
        if let GossipBody::Pong { number } = datagram.body {
            self.contact.receive_answer(from, number);
        }
        let output = self
            .membership
            .receive(from, &datagram.body, &datagram.updates, now);
        log_changes(&output.changes);
        let mut answers = output.datagrams;
        if let GossipBody::Lease(message) = &datagram.body {
            let answer = self.lease.receive(from, message, now);
            answers.extend(answer.map(|answer| (from, GossipBody::Lease(answer))));
        }
        self.encode_all(answers)
    }

    /// Publishes the platform's list, which was read under `term`, unless that term is over.
    pub(crate) fn publish_list(&mut self, term: u64, backends: Vec<Backend>) {
        let now = self.now();
        let known = &mut self.backends;
        match self
            .role
            .publish_list(&self.lease, now, term, backends, known)
        {
            ListOutcome::LeaseLost => log_list_discarded(term),
            ListOutcome::Unchanged => {}
            ListOutcome::Changed => {
                log::info!("list: changed, {} backends.", self.backends.backends.len());
                self.send_backends(None);
                self.store.send_backends(&self.backends);
            }
        }
    }

    /// Submits a command to the store; returns the receiver of the reply, or `None` if the store is not connected.
    pub(crate) fn submit(&mut self, command: Command) -> Option<oneshot::Receiver<CommandReply>> {
        let now = self.now();
        self.store.submit(command, now)
    }

    /// Processes a message of a proxy.
    pub(crate) fn receive_from_proxy(
        &mut self,
        link: ConnectionId,
        sender: &MessageSender,
        message: Message,
    ) {
        match message {
            Message::Status {
                status,
                coordinator_time_ms: time_ms,
            } => {
                self.time.observe(time_ms, false);
                self.lease.observe_term(status.term);
                self.receive_status(link, sender, status);
            }
            Message::CountReport(counts) => self.receive_counts(link, &counts),
            Message::Transfer(message) => self.answer_transfer(link, &message),
            Message::AllotmentReport { term, allotments } => {
                self.receive_allotments(link, term, &allotments);
            }
            Message::AllotmentsAck { term, revision } => {
                self.acknowledge_allotments(link, term, revision);
            }
            Message::ProxyShutdown => self.proxy_departed(link),
            Message::RequestBackends => self.send_backends(Some(link)),
            Message::RequestPeers => self.proxies.enable_load_reports(link),
            Message::UpdateAck { number } => self.proxies.acknowledge(link, number),
            _ => {}
        }
    }

    /// Removes the session of a closed connection, and releases the allotments of a proxy process that has been
    /// replaced.
    pub(crate) fn proxy_disconnected(&mut self, link: ConnectionId) {
        let Some(session) = self.proxies.remove(link) else {
            return;
        };
        let status = session.status();
        log::info!("proxies: {} disconnected.", status.node);
        if self.proxies.is_gone(status) {
            self.role.allotments_mut().remove_holder(status.incarnation);
        }
    }

    /// Processes a proxy's departure notice: the proxy admits no more requests, so its allotments are released.
    fn proxy_departed(&mut self, link: ConnectionId) {
        if let Some(status) = self.proxies.record_departure(link) {
            log::info!("proxies: {} has left by plan.", status.node);
            self.role.allotments_mut().remove_holder(status.incarnation);
        }
    }
}

/// Logs that a list is discarded because the lease under which its reading began is over.
pub(crate) fn log_list_discarded(term: u64) {
    log::info!("list: the lease is lost, discarding the list read in term {term}.");
}

fn log_changes(changes: &[MembershipChange]) {
    for MembershipChange { ip, state } in changes {
        log::info!("members: {} is {state:?}.", ip_addr(*ip));
    }
}
