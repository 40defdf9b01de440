//! The state of a store process: the replica, its disk, and who is connected.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_texts};
use damsonbeam_control::config::Item;
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::{BackendList, Command, CommandReply, Message};
use tokio::time::Instant;

use super::SHUTDOWN_TIMEOUT;
use super::links::{LinkEvent, LinkId};
use crate::consensus::Replica;
use crate::consensus::voters::VoterSet;
use crate::disk::{Disk, DiskError, Roster};

/// A command whose registry does not confirm it within this is forgotten: its caller is gone.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// The reply to a command while the disk fails.
pub(super) const DISK_REFUSES: &str = "the disk refuses";

/// A connection that another process opened.
pub(super) struct AcceptedLink {
    pub(super) from: Ip,
    pub(super) sender: MessageSender,
}

/// Where a command came from, and its number there.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CommandSource {
    link: LinkId,
    number: u64,
}

/// A command whose registry is asked whether it is still wanted.
struct UnconfirmedCommand {
    command: Command,
    asked_at: Duration,
}

pub(super) struct StoreProcess {
    pub(super) own_ip: Ip,
    started: Instant,
    pub(super) replica: Replica,
    pub(super) directory: PathBuf,
    /// `None` while the disk fails.
    pub(super) disk: Option<Disk>,
    pub(super) next_disk_retry: Duration,
    pub(super) roster: Roster,
    backends: BackendList,
    /// The last epoch that the registry was told.
    epoch_sent: u64,
    /// Connections that this process opened.
    pub(super) peers: HashMap<Ip, MessageSender>,
    /// Connections that other processes opened.
    pub(super) accepted: HashMap<LinkId, AcceptedLink>,
    /// The connection of the registry, from which commands come.
    registry: Option<LinkId>,
    /// Commands under way, by the number that the replica knows.
    pub(super) commands: HashMap<u64, CommandSource>,
    last_command: u64,
    unconfirmed: HashMap<CommandSource, UnconfirmedCommand>,
}

impl StoreProcess {
    pub(super) fn new(
        own_ip: Ip,
        replica: Replica,
        disk: Disk,
        directory: PathBuf,
        roster: Roster,
        backends: BackendList,
    ) -> Self {
        StoreProcess {
            own_ip,
            started: Instant::now(),
            replica,
            directory,
            disk: Some(disk),
            next_disk_retry: Duration::ZERO,
            roster,
            backends,
            epoch_sent: 0,
            peers: HashMap::new(),
            accepted: HashMap::new(),
            registry: None,
            commands: HashMap::new(),
            last_command: 0,
            unconfirmed: HashMap::new(),
        }
    }

    /// The time since the start.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Time has passed.
    pub(super) fn tick(&mut self) {
        let now = self.now();
        self.reopen_disk_when_due(now);
        if self.disk.is_some() {
            self.replica.tick(now);
        }
        self.carry_out_effects(None);
    }

    /// The process is told to end.
    pub(super) fn leave(&mut self) {
        self.replica.leave();
    }

    /// Whether a process that was told to end at a time may end now.
    pub(super) fn may_end(&self, since: Duration) -> bool {
        let now = self.now();
        now >= since + SHUTDOWN_TIMEOUT || self.replica.may_end(now)
    }

    /// Machines to be connected with: those that the registry knows, and those that have a vote.
    pub(super) fn wanted_peers(&self) -> Vec<Ip> {
        let voters = self.replica.voters().into_iter().flat_map(VoterSet::voters);
        let voters = voters.map(|voter| voter.ip);
        let all = self.roster.iter().copied().chain(voters);
        let mut peers: Vec<Ip> = all.filter(|ip| *ip != self.own_ip).collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Something has happened on a connection.
    pub(super) fn handle(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::PeerUp { peer, sender } => {
                self.peers.insert(peer, sender);
            }
            LinkEvent::PeerDown { peer } => {
                self.peers.remove(&peer);
            }
            LinkEvent::Accepted { link, from, sender } => {
                self.accepted.insert(link, AcceptedLink { from, sender });
            }
            LinkEvent::Closed { link } => self.handle_closed(link),
            LinkEvent::Received { link, message } => self.handle_message(link, message),
        }
    }

    fn handle_closed(&mut self, link: LinkId) {
        self.accepted.remove(&link);
        self.unconfirmed.retain(|source, _| source.link != link);
        self.registry = self.registry.filter(|registry| *registry != link);
    }

    fn handle_message(&mut self, link: LinkId, message: Message) {
        match message {
            Message::Roster { ips } => self.handle_roster(link, ips),
            Message::StoreBackends(backends) => self.handle_backends(link, backends),
            Message::Submit { number, command } => {
                self.handle_command(CommandSource { link, number }, command);
            }
            Message::SubmitConfirmed { number, waited_ms } => {
                let source = CommandSource { link, number };
                self.handle_confirmation(source, Duration::from_millis(waited_ms));
            }
            Message::ConfirmEpoch { number } => self.answer_epoch(link, number),
            message => self.handle_replica_message(link, message),
        }
    }

    /// Only a registry sends its roster: it sends it first.
    fn handle_roster(&mut self, link: LinkId, ips: Roster) {
        if self.registry != Some(link) {
            self.registry = Some(link);
            self.greet_registry();
        }
        self.replica.set_roster(&ips);
        if ips != self.roster {
            self.persist_if_possible(|disk| disk.persist_roster(&ips));
            self.roster = ips;
        }
    }

    /// Everything that a registry is sent when it connects.
    fn greet_registry(&mut self) {
        let committed = self.replica.durable().committed.items();
        let items = configuration_items(committed.values().cloned());
        let ips = self.roster.clone();
        self.send_to_registry(&Message::Roster { ips });
        self.epoch_sent = 0;
        self.send_voters();
        self.send_committed(items, true);
        self.send_to_registry(&Message::StoreBackends(self.backends.clone()));
    }

    /// A later list goes from the registry to the peers, and from a peer to the registry.
    fn handle_backends(&mut self, link: LinkId, backends: BackendList) {
        if backends.version <= self.backends.version {
            return;
        }
        let message = Message::StoreBackends(backends.clone());
        if self.registry == Some(link) {
            for peer in self.peers.values() {
                peer.send(&message);
            }
        } else {
            self.send_to_registry(&message);
        }
        self.persist_if_possible(|disk| disk.persist_backends(&backends));
        self.backends = backends;
    }

    fn handle_command(&mut self, source: CommandSource, command: Command) {
        if self.disk.is_none() {
            self.reply(source, CommandReply::Unavailable(DISK_REFUSES.into()));
            return;
        }
        match command {
            Command::Evacuate { .. } => self.ask_for_confirmation(source, command),
            Command::Change(_) | Command::Read => self.submit(source, command, Duration::ZERO),
        }
    }

    /// An evacuation has no version that would tell that another was commanded since: one that waited before this process
    /// while it stood still, for its disk or altogether, must not be carried out.
    fn ask_for_confirmation(&mut self, source: CommandSource, command: Command) {
        let asked_at = self.now();
        let is_recent =
            |unconfirmed: &UnconfirmedCommand| asked_at < unconfirmed.asked_at + CONFIRM_TIMEOUT;
        self.unconfirmed
            .retain(|_, unconfirmed| is_recent(unconfirmed));
        self.unconfirmed
            .insert(source, UnconfirmedCommand { command, asked_at });
        let number = source.number;
        self.send_back(source.link, &Message::ConfirmSubmit { number });
    }

    fn handle_confirmation(&mut self, source: CommandSource, waited: Duration) {
        let Some(unconfirmed) = self.unconfirmed.remove(&source) else {
            return;
        };
        // The caller had waited so long when the registry confirmed it, which was after it was asked.
        let since_asked = self.now().saturating_sub(unconfirmed.asked_at);
        self.submit(source, unconfirmed.command, waited + since_asked);
    }

    fn submit(&mut self, source: CommandSource, command: Command, waited: Duration) {
        self.last_command += 1;
        self.commands.insert(self.last_command, source);
        let now = self.now();
        self.replica.submit(self.last_command, command, waited, now);
        self.carry_out_effects(None);
    }

    /// The registry relies on the epoch for a while after each of these answers.
    fn answer_epoch(&self, link: LinkId, number: u64) {
        if let Some(set) = self.replica.voters() {
            let epoch = set.epoch;
            self.send_back(link, &Message::EpochConfirmed { number, epoch });
        }
    }

    fn handle_replica_message(&mut self, link: LinkId, message: Message) {
        if self.disk.is_none() {
            return;
        }
        let from = match link {
            LinkId::Peer(ip) => ip,
            LinkId::Accepted(_) => match self.accepted.get(&link) {
                Some(accepted) => accepted.from,
                None => return,
            },
        };
        let now = self.now();
        self.replica.receive(from, message, now);
        self.carry_out_effects(Some((link, from)));
    }

    /// Writes what may be lost: a disk that refuses it does no harm.
    fn persist_if_possible(&self, persist: impl FnOnce(&Disk) -> Result<(), DiskError>) {
        if let Some(Err(error)) = self.disk.as_ref().map(persist) {
            log::warn!("store: not kept: {error}.");
        }
    }

    fn send_back(&self, link: LinkId, message: &Message) {
        if let Some(accepted) = self.accepted.get(&link) {
            accepted.sender.send(message);
        }
    }

    pub(super) fn reply(&self, source: CommandSource, reply: CommandReply) {
        let number = source.number;
        self.send_back(source.link, &Message::Reply { number, reply });
    }

    fn send_to_registry(&self, message: &Message) {
        if let Some(registry) = self.registry {
            self.send_back(registry, message);
        }
    }

    pub(super) fn send_committed(&self, items: Vec<Item>, complete: bool) {
        for message in Message::committed(items, complete) {
            self.send_to_registry(&message);
        }
    }

    /// The registry bases the coordinator's lease on the same voters.
    pub(super) fn send_voters(&mut self) {
        let set = self.replica.voters();
        let Some(set) = set.filter(|set| set.epoch != self.epoch_sent) else {
            return;
        };
        let epoch = set.epoch;
        let voters: Vec<Ip> = set.voters().iter().map(|voter| voter.ip).collect();
        log::info!(
            "store: voters of epoch {epoch}: {}.",
            ip_texts(voters.iter().copied()).join(", ")
        );
        self.epoch_sent = epoch;
        self.send_to_registry(&Message::Voters { epoch, voters });
    }
}

/// The items that registries and proxies get: all but the store's own.
pub(super) fn configuration_items(items: impl Iterator<Item = Item>) -> Vec<Item> {
    items.filter(|item| !item.key.kind.is_internal()).collect()
}
