//! The messages on persistent connections.

use bitcode::{Decode, Encode};

use super::{
    AcceptAnswer, Allotment, BackendList, Command, CommandReply, Heartbeat, NamedCount,
    ProxyStatus, ReplicaItems, StateDigest, StateGroupDigests, TransferMessage,
};
use crate::address::Ip;
use crate::config::{Item, ProposalNumber};

/// A message on a persistent connection. New variants must be appended at the end; see the documentation of
/// `crate::messages`.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    // From a proxy to a registry.
    /// The status of the proxy, sent periodically and at each change.
    Status {
        /// The status of the proxy.
        status: ProxyStatus,
        /// The coordinator's time in milliseconds, as known to the proxy.
        coordinator_time_ms: Option<u64>,
    },
    /// The units that the proxy has admitted and that were requested from it, by name.
    CountReport(Vec<NamedCount>),
    /// A message of the configuration transfer, in both directions.
    Transfer(TransferMessage),
    /// Requests the list of backends.
    RequestBackends,
    /// Acknowledges an update.
    UpdateAck {
        /// The number of the update.
        number: u64,
    },

    // From a registry to a proxy.
    /// The state of the system.
    Heartbeat(Heartbeat),
    /// Newly committed items.
    ConfigUpdate {
        /// The number of the update on this connection.
        number: u64,
        /// The items.
        items: Vec<Item>,
    },
    /// A page of the list of backends.
    BackendUpdate {
        /// The number of the update on this connection.
        number: u64,
        /// The version of the list, and the backends of the page.
        list: BackendList,
        /// The number of the page, starting with 0.
        page: u32,
        /// The number of pages of the list.
        pages: u32,
    },
    /// The units that all proxies together have admitted and that were requested from them.
    CountTotals {
        /// The term of the coordinator that keeps the counts.
        term: u64,
        /// The totals, by name.
        totals: Vec<NamedCount>,
    },
    /// From a proxy: requests the addresses of other proxies, to exchange load reports with.
    RequestPeers,
    /// From a registry: the addresses of a few ready proxies.
    Peers {
        /// Proxies in the receiver's region.
        same_region: Vec<Ip>,
        /// Proxies in other regions.
        other_regions: Vec<Ip>,
    },
    /// From a registry: more items were committed than are sent in updates; the proxy must start a configuration
    /// transfer.
    ConfigChanged,

    // Between a registry and the store on its machine.
    /// From a registry: the core machines that it considers alive. From a store: the last such list that it received.
    CoreMachines {
        /// The IP addresses of the machines.
        ips: Vec<Ip>,
    },
    /// From a store, when the connection is established and at each change: the voter set. Majorities of consecutive
    /// epochs have at least one common member.
    Voters {
        /// The epoch of the voter set.
        epoch: u64,
        /// The IP addresses of the voters.
        voters: Vec<Ip>,
    },
    /// From a registry: requests the current epoch.
    ConfirmEpoch {
        /// The number of the request.
        number: u64,
    },
    /// From a store: the epoch at the time of the request.
    EpochConfirmed {
        /// The number of the request.
        number: u64,
        /// The epoch.
        epoch: u64,
    },
    /// From a registry: an operator's command.
    Submit {
        /// The number of the command.
        number: u64,
        /// The command.
        command: Command,
    },
    /// From a store: the reply to a command.
    Reply {
        /// The command's number.
        number: u64,
        /// The reply.
        reply: CommandReply,
    },
    /// From a store: asks whether the caller of a command still waits for the reply, and for how long. The store asks
    /// this about commands that cause damage when executed late, because they may have been queued while the store was
    /// stalled.
    ConfirmSubmit {
        /// The command's number.
        number: u64,
    },
    /// From a registry: the caller still waits for the reply.
    SubmitConfirmed {
        /// The command's number.
        number: u64,
        /// The time that the caller has waited, in milliseconds.
        waited_ms: u64,
    },
    /// From a store: committed items.
    Committed {
        /// The items.
        items: Vec<Item>,
        /// Whether all committed items have been sent with this message.
        complete: bool,
    },
    /// In both directions: the last known list of backends, for a registry that starts while there is no coordinator.
    LastKnownBackends(BackendList),

    // Between stores.
    /// A command forwarded by a store of an earlier version, which is not executed; see `ForwardCommand`.
    Forward {
        /// The sender's incarnation, a random number chosen when the sender starts. Incarnation and number together
        /// identify the command.
        incarnation: u64,
        /// The number of the command in this incarnation.
        number: u64,
        /// The command.
        command: Command,
    },
    /// The reply to a forwarded command.
    ForwardReply {
        /// The incarnation in the `ForwardCommand` message.
        incarnation: u64,
        /// The number in the `ForwardCommand` message.
        number: u64,
        /// The reply; `None` if the receiver of the command cannot execute it.
        reply: Option<CommandReply>,
    },
    /// Acknowledges a forwarded command, which is queued for execution.
    ForwardAck {
        /// The incarnation in the `ForwardCommand` message.
        incarnation: u64,
        /// The number in the `ForwardCommand` message.
        number: u64,
    },
    /// A proposer requests a promise. The proposal number belongs to one round of one proposer in one epoch, and is
    /// repeated in the answers.
    Prepare {
        /// The proposal number.
        proposal_number: ProposalNumber,
        /// The committed voter set of the round.
        voters: Item,
        /// The digest of the proposer's items. If the acceptor's digest is equal, the acceptor sends no items.
        digest: StateDigest,
    },
    /// An acceptor's answer to `Prepare`.
    Promise {
        /// The requested number.
        proposal_number: ProposalNumber,
        /// The promised number: the requested one, or a higher one that the acceptor has promised before.
        promised: ProposalNumber,
        /// The id of the acceptor's disk.
        disk_id: u64,
        /// The acceptor's items; `None` if the digests are equal.
        items: Option<ReplicaItems>,
    },
    /// A proposer requests that items be accepted.
    Accept {
        /// The proposal number.
        proposal_number: ProposalNumber,
        /// The number of the proposal within the round.
        step: u32,
        /// The voter set of the round.
        voters: Item,
        /// The proposed items.
        items: Vec<Item>,
        /// The committed versions of the items that the proposal replaces.
        committed: Vec<Item>,
        /// For a change of the voter set: the digest of all committed items, which the acceptor's digest must equal.
        required_digest: Option<u64>,
    },
    /// An acceptor's answer to `Accept`.
    Accepted {
        /// The proposal number.
        proposal_number: ProposalNumber,
        /// The number of the proposal within the round.
        step: u32,
        /// The id of the acceptor's disk.
        disk_id: u64,
        /// The answer.
        answer: AcceptAnswer,
    },
    /// Rejects a `Prepare` or `Accept` of an earlier epoch.
    NewerVoters {
        /// The rejected proposal number.
        proposal_number: ProposalNumber,
        /// The voter set of the later epoch.
        voters: Item,
    },
    /// Commits items that a majority has accepted.
    Commit {
        /// The items.
        items: Vec<Item>,
    },
    /// The sender's digests by group of shards, to find items that either side lacks.
    CompareDigests {
        /// The digests.
        digests: StateGroupDigests,
        /// The disk id of a sender without a vote, which requests a vote once it has all items; `None` for a voter.
        learner_disk_id: Option<u64>,
    },
    /// Items that the receiver lacks or may lack.
    RepairItems {
        /// Accepted items that are not known to be committed, as earlier versions sent them; ignored and left empty.
        items: Vec<Item>,
        /// Committed items.
        committed: Vec<Item>,
        /// The highest number that the sender has promised.
        promised: ProposalNumber,
    },

    // Allotments, between a proxy and the coordinator.
    /// From a proxy, when it connects to the coordinator of a term: the allotments that it holds.
    AllotmentReport {
        /// The coordinator's term. From now on the proxy ignores allotments of earlier terms.
        term: u64,
        /// The allotments of the proxy; tenants without an allotment are not listed.
        allotments: Vec<Allotment>,
    },
    /// From the coordinator: replaces the proxy's allotments of the listed tenants.
    SetAllotments {
        /// The coordinator's term.
        term: u64,
        /// The number of the change for this proxy in the term.
        revision: u64,
        /// The new allotments.
        allotments: Vec<Allotment>,
    },
    /// From a proxy: acknowledges a change of its allotments.
    AllotmentsAck {
        /// The coordinator's term.
        term: u64,
        /// The number of the change.
        revision: u64,
    },
    /// From the coordinator, with each heartbeat, to a proxy whose allotments it has received.
    AllotmentStatus {
        /// The coordinator's term.
        term: u64,
        /// The number of proxies that left by a planned shutdown in this term and have not returned.
        departed_proxies: u32,
        /// The allotments that may be held by proxies out of contact, as a total for each tenant.
        absent: Vec<Allotment>,
        /// The parts that proxies out of contact may hold of each tenant not listed in `absent`.
        absent_parts_per_unlisted_tenant: u32,
    },
    /// From a proxy, to all registries: the proxy shuts down and admits no more requests.
    ProxyShutdown,

    // Between stores.
    /// A command forwarded to the replica that executes the commands of several replicas. Replaces `Forward`.
    ForwardCommand {
        /// The sender's incarnation, a random number chosen when the sender starts. Incarnation and number together
        /// identify the command.
        incarnation: u64,
        /// The number of the command in this incarnation.
        number: u64,
        /// The command.
        command: Command,
        /// The newest commit that the sender knew before the caller of the command was asked whether it still waits.
        as_of: ProposalNumber,
    },
    /// A forwarded command is not executed, because items of it were written after its caller was last known to wait.
    ForwardOutdated {
        /// The incarnation in the `ForwardCommand` message.
        incarnation: u64,
        /// The number in the `ForwardCommand` message.
        number: u64,
        /// The command's items as they are committed now.
        committed: Vec<Item>,
    },
}
