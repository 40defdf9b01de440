//! What one registry knows: members, lease, proxies, configuration, backends. Time and messages come in; what goes
//! out is returned, or handed to held connections.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use damsonbeam_control::contact::Contact;
use damsonbeam_control::items::{ConfigSnapshot, Item, Kind, Tenant};
use damsonbeam_control::lease::{EPOCH_WORD_VALID, LeaseElection};
use damsonbeam_control::link::Out;
use damsonbeam_control::membership::Members;
use damsonbeam_control::messages::{
    BackendSnapshot, Command, CommandReply, Datagram, GossipBody, Ip, Message, Server, addr, pack,
};
use damsonbeam_control::settings::Settings;
use damsonbeam_control::voters::VoterSet;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::duty::{Duty, Reading};
use crate::proxies::ProxySession;
use crate::report::{self, CoordinatorReport, ListReport, ProxyReport, StateReport};

/// A beat to each proxy: three in the time after which it would look for another coordinator.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Between two questions to the store on its epoch: several in the time for which its answer counts.
const EPOCH_QUESTION_INTERVAL: Duration = Duration::from_millis(250);
/// Without a word of the common time by then, this machine's own clock begins it.
const OWN_CLOCK_AFTER: Duration = Duration::from_millis(700);

pub(crate) struct Registry {
    pub(crate) settings: Rc<Settings>,
    pub(crate) me: Ip,
    pub(crate) start: Instant,
    pub(crate) members: Members,
    pub(crate) lease: LeaseElection,
    pub(crate) contact: Contact,
    pub(crate) duty: Duty,
    /// Common time less this process's, in milliseconds.
    pub(crate) time: Option<i64>,
    pub(crate) proxies: BTreeMap<u64, ProxySession>,
    /// Proxies by node, and when each was seen last.
    pub(crate) seen: BTreeMap<String, Duration>,
    pub(crate) was_in_contact: bool,
    pub(crate) next_heartbeat: Duration,
    pub(crate) heartbeats: u32,
    pub(crate) snapshot: ConfigSnapshot,
    /// The store has told all that it knew to be decided.
    pub(crate) has_all_items: bool,
    pub(crate) backends: BackendSnapshot,
    pub(crate) store: Option<Out>,
    pub(crate) asks: HashMap<u64, PendingReply>,
    pub(crate) next: u64,
    /// The registries alive as the store was told last.
    pub(crate) roster: Vec<Ip>,
    /// The question to the store on its epoch that is not answered yet.
    pub(crate) epoch_question: Option<EpochQuestion>,
    pub(crate) leaving: bool,
}

/// A call from outside that waits for the store's reply.
pub(crate) struct PendingReply {
    pub(crate) to: oneshot::Sender<CommandReply>,
    pub(crate) since: Duration,
}

/// Asked of the store: whether its epoch of the voters is still the one it told.
pub(crate) struct EpochQuestion {
    no: u64,
    asked_at: Duration,
    is_answered: bool,
}

pub(crate) type Shared = Rc<RefCell<Registry>>;

impl Registry {
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn time_ms(&self) -> Option<u64> {
        Some((self.now().as_millis() as i64 + self.time?).max(0) as u64)
    }

    pub(crate) fn observe_time(&mut self, time_ms: Option<u64>, sure: bool) {
        if let Some(time) = time_ms.filter(|_| self.time.is_none() || sure) {
            self.time = Some(time as i64 - self.now().as_millis() as i64);
        }
    }

    pub(crate) fn region(&self, zone: &str) -> String {
        self.settings.zones.get(zone).cloned().unwrap_or_default()
    }

    /// Time passed: datagrams to send.
    pub(crate) fn tick(&mut self) -> Vec<(Ip, Vec<u8>)> {
        let now = self.now();
        if self.time.is_none() && now >= OWN_CLOCK_AFTER {
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            self.observe_time(Some(unix.as_millis() as u64), false);
        }
        let (out, changes) = self.members.tick(now);
        changes
            .iter()
            .for_each(|(ip, state)| log::info!("members: {} is {state:?}.", addr(*ip)));
        let mut out: Vec<(Ip, Vec<u8>)> = out
            .into_iter()
            .map(|(to, what)| (to, self.datagram(to, what)))
            .collect();
        out.extend(self.ask_voters(now));
        self.ask_epoch(now);
        let alive = self.members.alive();
        if !self.is_in_contact() {
            self.lease.stand_back(now);
        }
        if let Some(message) = self.lease.tick(now, &alive).filter(|_| !self.leaving) {
            let me = self.me;
            for to in alive.iter().filter(|a| **a != me) {
                out.push((*to, self.datagram(*to, GossipBody::Lease(message.clone()))));
            }
        }
        self.follow_lease(now);
        if let Some((term, totals)) = self.duty.count_news(&self.lease, now) {
            let bytes = pack(&Message::CountTotals { term, totals });
            for p in self.proxies.values() {
                p.out.bytes(bytes.clone());
            }
        }
        let in_contact = self.is_in_contact();
        if in_contact != self.was_in_contact {
            log::info!(
                "contact: {} a majority of the voters.",
                if in_contact { "with" } else { "lost with" }
            );
            // Proxies that start wait for this word.
            self.next_heartbeat = now;
            self.was_in_contact = in_contact;
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(None);
        }
        self.tell_roster(alive);
        out
    }

    /// The coordinator's duty goes with the lease.
    fn follow_lease(&mut self, now: Duration) {
        if self.duty.follow(self.lease.holds(now)) {
            match self.duty.term() {
                Some(term) => {
                    log::info!("coordinator: took the duty, term {term}.");
                    // Proxies that have not heard of it report no counts, and are missing from the totals.
                    self.next_heartbeat = now;
                }
                None => log::info!("coordinator: the duty is over here."),
            }
        }
    }

    /// The term by which this registry may act as the coordinator now.
    pub(crate) fn term_now(&self) -> Option<u64> {
        self.duty.term_now(&self.lease, self.now())
    }

    /// A reading of the platform's list that began under that term.
    pub(crate) fn publish_list(&mut self, term: u64, servers: Vec<Server>) {
        let now = self.now();
        match self
            .duty
            .publish(&self.lease, now, term, servers, &mut self.backends)
        {
            Reading::LeaseLost => {
                log::info!("list: the duty is over, the reading of term {term} is dropped.")
            }
            Reading::Unchanged => {}
            Reading::Changed => {
                log::info!("list: {} backends.", self.backends.servers.len());
                self.send_backends(None);
                if let Some(store) = &self.store {
                    store.send(&Message::StoreBackends(self.backends.clone()));
                }
            }
        }
    }

    pub(crate) fn is_in_contact(&self) -> bool {
        self.contact.is_in_contact(self.now()) && !self.lease.is_behind()
    }

    /// Datagrams to the voters, whose answers show that a majority is in contact.
    fn ask_voters(&mut self, now: Duration) -> Vec<(Ip, Vec<u8>)> {
        let questions = self.contact.tick(now);
        questions
            .into_iter()
            .map(|(to, no)| (to, self.datagram(to, GossipBody::Ping { no })))
            .collect()
    }

    /// The store told the voters.
    pub(crate) fn set_voters(&mut self, voters: VoterSet) {
        if voters.epoch <= self.lease.epoch() {
            return;
        }
        let ips: Vec<String> = voters
            .voters()
            .iter()
            .map(|ip| addr(*ip).to_string())
            .collect();
        log::info!("voters: epoch {}, {}.", voters.epoch, ips.join(" "));
        self.members.hint(voters.voters().iter().copied());
        self.contact.set_voters(voters.clone());
        self.lease.set_voters(voters);
        self.epoch_question = None;
    }

    /// The lease counts on the epoch for a while after the store has confirmed it.
    fn ask_epoch(&mut self, now: Duration) {
        let wait = |q: &EpochQuestion| {
            if q.is_answered {
                EPOCH_QUESTION_INTERVAL
            } else {
                EPOCH_WORD_VALID
            }
        };
        let is_due = self
            .epoch_question
            .as_ref()
            .is_none_or(|q| now >= q.asked_at + wait(q));
        if let Some(store) = self.store.as_ref().filter(|_| is_due) {
            self.next += 1;
            store.send(&Message::ConfirmEpoch { no: self.next });
            self.epoch_question = Some(EpochQuestion {
                no: self.next,
                asked_at: now,
                is_answered: false,
            });
        }
    }

    /// The store's answer on its epoch; it counts from when it was asked.
    pub(crate) fn confirm_epoch(&mut self, no: u64, epoch: u64) {
        if let Some(question) = self.epoch_question.as_mut().filter(|q| q.no == no) {
            question.is_answered = true;
            self.lease.confirm_epoch(epoch, question.asked_at);
        }
    }

    pub(crate) fn datagram(&mut self, to: Ip, body: GossipBody) -> Vec<u8> {
        let (time_ms, updates) = (self.time_ms(), self.members.updates(to));
        pack(&Datagram {
            from: self.me,
            epoch: self.lease.epoch(),
            time_ms,
            body,
            updates,
        })
    }

    /// The store on this machine must know the others.
    pub(crate) fn tell_roster(&mut self, alive: Vec<Ip>) {
        if alive != self.roster
            && let Some(store) = &self.store
        {
            store.send(&Message::Roster { ips: alive.clone() });
            self.roster = alive;
        }
    }

    pub(crate) fn apply_decided(&mut self, items: Vec<Item>, whole: bool) {
        let new: Vec<_> = items
            .into_iter()
            .filter(|i| self.snapshot.merge(i.clone()))
            .collect();
        self.has_all_items |= whole;
        if new.is_empty() {
            return;
        }
        for tenant in new
            .iter()
            .filter(|i| i.key.kind == Kind::Tenant && i.body.is_some())
        {
            if let Ok(t) = Tenant::read(tenant) {
                self.duty.counts.limit(&t.name, t.rate);
            }
        }
        if !whole {
            log::info!(
                "news: {} items decided, to {} proxies.",
                new.len(),
                self.proxies.len()
            );
        }
        self.push_items(new);
    }

    pub(crate) fn submit(&mut self, order: Command) -> Option<oneshot::Receiver<CommandReply>> {
        self.next += 1;
        let no = self.next;
        let (to, reply) = oneshot::channel();
        let pending = PendingReply {
            to,
            since: self.now(),
        };
        self.store
            .as_ref()?
            .send(&Message::Submit { no, order })
            .then(|| self.asks.insert(no, pending))?;
        Some(reply)
    }

    /// The store asks whether a command is still wanted; no word means that it is not.
    pub(crate) fn confirm_submit(&self, no: u64) {
        let pending = self.asks.get(&no).filter(|pending| !pending.to.is_closed());
        if let (Some(pending), Some(store)) = (pending, &self.store) {
            let waited_ms = self.now().saturating_sub(pending.since).as_millis() as u64;
            store.send(&Message::SubmitConfirmed { no, waited_ms });
        }
    }

    /// How the system stands as seen from here, for `damsonbeam-ctl state`.
    pub(crate) fn describe(&self) -> Vec<u8> {
        let now = self.now();
        let texts = |ips: &[Ip]| {
            ips.iter()
                .map(|ip| addr(*ip).to_string())
                .collect::<Vec<_>>()
        };
        let coordinator = self.lease.holder(now);
        let proxies = self.proxies.values().map(|p| ProxyReport {
            node: p.status.node.clone(),
            ready: p.status.ready,
            silent_ms: (now - p.last).as_millis() as u64,
            news_not_acknowledged: p.no - p.acked,
        });
        let report = StateReport {
            registry: self.settings.node.clone(),
            up_ms: now.as_millis() as u64,
            registries: texts(&self.members.alive()),
            epoch: self.lease.epoch(),
            voters: texts(self.lease.voters().map_or(&[], |v| v.voters())),
            in_contact: self.is_in_contact(),
            contact_age_ms: self.contact.age(now).map(|age| age.as_millis() as u64),
            coordinator: coordinator.map(|(ip, term)| CoordinatorReport {
                ip: addr(ip).to_string(),
                term,
            }),
            store_reached: self.store.is_some(),
            items: self.snapshot.items().len(),
            digest: format!("{:016x}", self.snapshot.digest()),
            list: ListReport {
                term: self.backends.term,
                reading: self.backends.reading,
                backends: self.backends.servers.len(),
            },
            proxies: proxies.collect(),
        };
        report::to_json(&report)
    }
}
