//! The state of a store process: the replica, its disk and the connections.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

use damsonbeam_control::address::{Ip, ip_strings};
use damsonbeam_control::config::{Item, ProposalNumber};
use damsonbeam_control::link::MessageSender;
use damsonbeam_control::messages::{BackendList, Command, CommandReply, Message};
use tokio::time::Instant;

use super::SHUTDOWN_TIMEOUT;
use super::links::{LinkEvent, LinkId};
use crate::consensus::voters::VoterSet;
use crate::consensus::{Replica, Submission};
use crate::disk::{Disk, DiskError, Roster};

/// How long a command waits for its registry's confirmation. After that it is dropped, because its caller no longer
/// waits.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// A caller that waited this long may have turned to another machine without a sign of it here. Callers wait for a second.
const CALLER_PATIENCE: Duration = Duration::from_millis(900);
/// The reply to a command while the disk fails.
pub(super) const DISK_UNAVAILABLE: &str = "the disk cannot be written";

/// A connection opened by another process.
pub(super) struct AcceptedLink {
    pub(super) from: Ip,
    pub(super) sender: MessageSender,
}

/// The connection on which a command was received, and the sender's number for the command.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CommandSource {
    link: LinkId,
    number: u64,
}

/// A command whose registry has been asked whether the caller still waits for it.
struct UnconfirmedCommand {
    command: Command,
    asked_at: Duration,
    /// The newest commit known when the registry was asked.
    as_of: ProposalNumber,
}

/// The state of a store process.
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
    /// The last epoch sent to the registry.
    epoch_sent: u64,
    /// Connections opened by this process.
    pub(super) peers: HashMap<Ip, MessageSender>,
    /// Connections opened by other processes.
    pub(super) accepted: HashMap<LinkId, AcceptedLink>,
    /// The connection of the local registry, which sends the commands.
    registry: Option<LinkId>,
    /// Commands under way, by the number under which they were submitted to the replica.
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

    /// Returns the time since the start of the process.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Retries a failed disk if due, advances the replica's time and executes its effects.
    pub(super) fn tick(&mut self) {
        let now = self.now();
        self.reopen_disk_if_due(now);
        if self.disk.is_some() {
            self.replica.tick(now);
        }
        self.execute_effects(None);
    }

    /// Starts the shutdown.
    pub(super) fn leave(&mut self) {
        self.replica.leave();
    }

    /// Returns whether a process whose shutdown started at `since` may end now.
    pub(super) fn can_stop(&self, since: Duration) -> bool {
        let now = self.now();
        now >= since + SHUTDOWN_TIMEOUT || self.replica.can_stop(now)
    }

    /// Returns the machines to connect to: the registry's roster and all voters.
    pub(super) fn desired_peers(&self) -> Vec<Ip> {
        let voters = self.replica.voters().into_iter().flat_map(VoterSet::voters);
        let voters = voters.map(|voter| voter.ip);
        let all = self.roster.iter().copied().chain(voters);
        let mut peers: Vec<Ip> = all.filter(|ip| *ip != self.own_ip).collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Handles an event on a connection.
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
            LinkEvent::Closed { link } => self.remove_link(link),
            LinkEvent::Received { link, message } => self.handle_message(link, message),
        }
    }

    fn remove_link(&mut self, link: LinkId) {
        self.accepted.remove(&link);
        self.unconfirmed.retain(|source, _| source.link != link);
        self.registry = self.registry.filter(|registry| *registry != link);
    }

    fn handle_message(&mut self, link: LinkId, message: Message) {
        match message {
            Message::CoreMachines { ips } => self.handle_roster(link, ips),
            Message::LastKnownBackends(backends) => self.handle_backends(link, backends),
            Message::Submit { number, command } => {
                self.handle_command(CommandSource { link, number }, command);
            }
            Message::SubmitConfirmed { number, waited_ms } => {
                let source = CommandSource { link, number };
                self.handle_confirmation(source, Duration::from_millis(waited_ms));
            }
            Message::ConfirmEpoch { number } => self.confirm_epoch(link, number),
            message => self.handle_replica_message(link, message),
        }
    }

    /// Handles a roster. Only a registry sends one, as its first message, so the connection is the registry's.
    fn handle_roster(&mut self, link: LinkId, ips: Roster) {
        if self.registry != Some(link) {
            self.registry = Some(link);
            self.send_state_to_registry();
        }
        self.replica.set_roster(&ips);
        if ips != self.roster {
            self.persist_best_effort(|disk| disk.persist_roster(&ips));
            self.roster = ips;
        }
    }

    /// Sends a newly connected registry the roster, the voters, all committed items and the list of backends.
    fn send_state_to_registry(&mut self) {
        let committed = self.replica.durable().committed.items();
        let items = configuration_items(committed.values().cloned());
        let ips = self.roster.clone();
        self.send_to_registry(&Message::CoreMachines { ips });
        self.epoch_sent = 0;
        self.send_voters();
        self.send_committed(items, true);
        self.send_to_registry(&Message::LastKnownBackends(self.backends.clone()));
    }

    /// Handles a list of backends: passes a later one from the registry to the peers, or from a peer to the registry.
    fn handle_backends(&mut self, link: LinkId, backends: BackendList) {
        if backends.version <= self.backends.version {
            return;
        }
        let message = Message::LastKnownBackends(backends.clone());
        if self.registry == Some(link) {
            for peer in self.peers.values() {
                peer.send(&message);
            }
        } else {
            self.send_to_registry(&message);
        }
        self.persist_best_effort(|disk| disk.persist_backends(&backends));
        self.backends = backends;
    }

    fn handle_command(&mut self, source: CommandSource, command: Command) {
        if self.disk.is_none() {
            self.reply(source, CommandReply::Unavailable(DISK_UNAVAILABLE.into()));
            return;
        }
        match command {
            Command::Evacuate { .. } | Command::Change(_) => {
                self.request_confirmation(source, command);
            }
            Command::Read => {
                let number = self.start_command(source);
                let now = self.now();
                self.replica.submit_at_once(number, command, now);
                self.execute_effects(None);
            }
        }
    }

    /// Asks the registry whether the caller of a command still waits. A command that was queued while this process or the
    /// registry was stalled must not be applied: its caller has turned to another machine, where a change may have been
    /// refused, and a newer evacuation may have been ordered.
    pub(super) fn request_confirmation(&mut self, source: CommandSource, command: Command) {
        let asked_at = self.now();
        let is_recent =
            |unconfirmed: &UnconfirmedCommand| asked_at < unconfirmed.asked_at + CONFIRM_TIMEOUT;
        self.unconfirmed
            .retain(|_, unconfirmed| is_recent(unconfirmed));
        let unconfirmed = UnconfirmedCommand {
            command,
            asked_at,
            as_of: self.replica.newest_commit(),
        };
        self.unconfirmed.insert(source, unconfirmed);
        let number = source.number;
        self.send_to_accepted(source.link, &Message::ConfirmSubmit { number });
    }

    fn handle_confirmation(&mut self, source: CommandSource, waited: Duration) {
        let Some(unconfirmed) = self.unconfirmed.remove(&source) else {
            return;
        };
        // `waited` is how long the caller had waited when the registry answered, which was after `asked_at`. Adding the
        // whole time since `asked_at` overestimates the wait, which is safe.
        let since_asked = self.now().saturating_sub(unconfirmed.asked_at);
        if waited >= CALLER_PATIENCE {
            let reason = "the caller may have turned to another machine".into();
            self.reply(source, CommandReply::Unavailable(reason));
            return;
        }
        let number = self.start_command(source);
        let UnconfirmedCommand { command, as_of, .. } = unconfirmed;
        self.submit(Submission {
            number,
            command,
            waited: waited + since_asked,
            as_of,
        });
    }

    /// Records a command as under way and returns its number.
    fn start_command(&mut self, source: CommandSource) -> u64 {
        self.last_command += 1;
        self.commands.insert(self.last_command, source);
        self.last_command
    }

    fn submit(&mut self, submission: Submission) {
        let now = self.now();
        self.replica.submit(submission, now);
        self.execute_effects(None);
    }

    /// Answers a registry's request for the epoch, on which the registry relies for a limited time after each answer.
    fn confirm_epoch(&self, link: LinkId, number: u64) {
        if let Some(set) = self.replica.voters() {
            let epoch = set.epoch;
            self.send_to_accepted(link, &Message::EpochConfirmed { number, epoch });
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
        self.execute_effects(Some((link, from)));
    }

    /// Writes state that may be lost; a failure is only logged.
    fn persist_best_effort(&self, persist: impl FnOnce(&Disk) -> Result<(), DiskError>) {
        if let Some(Err(error)) = self.disk.as_ref().map(persist) {
            log::warn!("store: state not written to disk: {error}.");
        }
    }

    fn send_to_accepted(&self, link: LinkId, message: &Message) {
        if let Some(accepted) = self.accepted.get(&link) {
            accepted.sender.send(message);
        }
    }

    pub(super) fn reply(&self, source: CommandSource, reply: CommandReply) {
        let number = source.number;
        self.send_to_accepted(source.link, &Message::Reply { number, reply });
    }

    fn send_to_registry(&self, message: &Message) {
        if let Some(registry) = self.registry {
            self.send_to_accepted(registry, message);
        }
    }

    pub(super) fn send_committed(&self, items: Vec<Item>, complete: bool) {
        for message in Message::committed(items, complete) {
            self.send_to_registry(&message);
        }
    }

    /// Sends a new voter set to the registry, which bases the coordinator's lease on the same voters.
    pub(super) fn send_voters(&mut self) {
        let set = self.replica.voters();
        let Some(set) = set.filter(|set| set.epoch != self.epoch_sent) else {
            return;
        };
        let epoch = set.epoch;
        let voters: Vec<Ip> = set.voters().iter().map(|voter| voter.ip).collect();
        log::info!(
            "store: voters of epoch {epoch}: {}.",
            ip_strings(voters.iter().copied()).join(", ")
        );
        self.epoch_sent = epoch;
        self.send_to_registry(&Message::Voters { epoch, voters });
    }
}

/// Returns the items sent to registries and proxies: all except the store's internal ones, and those that are not set.
pub(super) fn configuration_items(items: impl Iterator<Item = Item>) -> Vec<Item> {
    let items = items.filter(|item| !item.key.kind.is_internal() && !item.is_unset());
    items.collect()
}
