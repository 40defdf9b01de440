//! Everything that goes over a held connection.

use bitcode::{Decode, Encode};

use super::{
    AcceptAnswer, Allotment, BackendList, Command, CommandReply, Heartbeat, NamedCount,
    ProxyStatus, ReplicaItems, StateDigest, StateGroupDigests, TransferMessage,
};
use crate::address::Ip;
use crate::config::{Item, ProposalNumber};

/// A message on a held connection. New variants are appended; see the module's documentation.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    // From a proxy to a registry.
    /// What the proxy reports of itself, now and then and at each change.
    Status {
        /// The proxy's status.
        status: ProxyStatus,
        /// The common time as the proxy knows it, in milliseconds.
        time_ms: Option<u64>,
    },
    /// All that the proxy has admitted and was asked for, by name.
    CountReport(Vec<NamedCount>),
    /// Catching up with the configuration, both ways.
    Transfer(TransferMessage),
    /// The proxy wants the list of backends.
    PullBackends,
    /// The proxy has got an update.
    Ack {
        /// The update's number.
        number: u64,
    },

    // From a registry to a proxy.
    /// The state of the system.
    Heartbeat(Heartbeat),
    /// Items just committed.
    ConfigUpdate {
        /// Numbers the updates on this connection.
        number: u64,
        /// The items.
        items: Vec<Item>,
    },
    /// A page of the list of backends.
    BackendUpdate {
        /// Numbers the updates on this connection.
        number: u64,
        /// The version and the page's backends.
        list: BackendList,
        /// The page's number, from 0.
        page: u32,
        /// How many pages the list has.
        pages: u32,
    },
    /// What all proxies together have admitted and were asked for.
    CountTotals {
        /// The term of the coordinator that keeps the counts.
        term: u64,
        /// The totals, by name.
        totals: Vec<NamedCount>,
    },
    /// From a proxy: it wants to know other proxies, to exchange load reports with.
    PullPartners,
    /// From a registry: a few ready proxies.
    Partners {
        /// Of the receiver's region.
        near: Vec<Ip>,
        /// Of other regions.
        far: Vec<Ip>,
    },
    /// From a registry: more items were committed than are pushed; the proxy is to catch up.
    ConfigChanged,

    // Between a registry and the store on its machine.
    /// From a registry: the core machines that it takes to be alive. From a store: those that it heard of last.
    Roster {
        /// The machines.
        ips: Vec<Ip>,
    },
    /// From a store, when the connection comes up and at each change: the voters. Majorities of consecutive epochs have a
    /// member in common.
    Voters {
        /// The epoch of the voter set.
        epoch: u64,
        /// The voters' machines.
        voters: Vec<Ip>,
    },
    /// From a registry: which is the epoch now?
    ConfirmEpoch {
        /// Names the question.
        number: u64,
    },
    /// From a store: the epoch when it was asked.
    EpochConfirmed {
        /// The question.
        number: u64,
        /// The epoch.
        epoch: u64,
    },
    /// From a registry: an operator's command.
    Submit {
        /// Names the command.
        number: u64,
        /// The command.
        command: Command,
    },
    /// From a store: what came of a command.
    Reply {
        /// The command's number.
        number: u64,
        /// The reply.
        reply: CommandReply,
    },
    /// From a store: is this command still wanted, and how long has its caller waited? Asked of commands that do harm
    /// when they are late, and may have waited before a store that stood still.
    ConfirmSubmit {
        /// The command's number.
        number: u64,
    },
    /// From a registry: the command is still wanted.
    SubmitConfirmed {
        /// The command's number.
        number: u64,
        /// How long its caller has waited, in milliseconds.
        waited_ms: u64,
    },
    /// From a store: items that are committed.
    Committed {
        /// The items.
        items: Vec<Item>,
        /// With these, everything that is committed has been sent.
        complete: bool,
    },
    /// Both ways: the list as last read, for a registry that starts while there is no coordinator.
    StoreBackends(BackendList),

    // Between stores.
    /// A command forwarded to the replica that carries out those of many.
    Forward {
        /// The sender's incarnation, chosen at random at its start. It names the command together with the number.
        incarnation: u64,
        /// The command's number in that incarnation.
        number: u64,
        /// The command.
        command: Command,
    },
    /// What came of a forwarded command.
    Forwarded {
        /// As in the request.
        incarnation: u64,
        /// As in the request.
        number: u64,
        /// The reply; `None` where the command can't be carried out there.
        reply: Option<CommandReply>,
    },
    /// A forwarded command has arrived, and will be carried out in its turn.
    ForwardAck {
        /// As in the request.
        incarnation: u64,
        /// As in the request.
        number: u64,
    },
    /// A proposer asks for a promise. Its number belongs to one round of one proposer in one epoch; answers repeat it.
    Prepare {
        /// The number.
        proposal_number: ProposalNumber,
        /// The voter set in which the round counts, as committed.
        voters: Item,
        /// Of the proposer's items: where the acceptor's is the same it sends none.
        digest: StateDigest,
    },
    /// An acceptor's answer to `Prepare`.
    Promise {
        /// The number that was asked for.
        proposal_number: ProposalNumber,
        /// The number promised; the one asked for, unless the acceptor has promised a later one.
        promised: ProposalNumber,
        /// The id of the acceptor's disk.
        disk_id: u64,
        /// The acceptor's items; `None` where the digests are the same.
        items: Option<ReplicaItems>,
    },
    /// A proposer asks to accept items.
    Accept {
        /// The number.
        proposal_number: ProposalNumber,
        /// Counts the proposals of a round.
        step: u32,
        /// The voter set in which the round counts.
        voters: Item,
        /// What is proposed.
        items: Vec<Item>,
        /// What is committed of the items that the proposal replaces.
        committed: Vec<Item>,
        /// With a change of the voter set: the digest of everything committed, which the acceptor must have too.
        required_digest: Option<u64>,
    },
    /// An acceptor's answer to `Accept`.
    Accepted {
        /// The number.
        proposal_number: ProposalNumber,
        /// The proposal within the round.
        step: u32,
        /// The id of the acceptor's disk.
        disk_id: u64,
        /// The answer.
        answer: AcceptAnswer,
    },
    /// Refuses a `Prepare` or `Accept` of an earlier epoch.
    NewerVoters {
        /// The number that was refused.
        proposal_number: ProposalNumber,
        /// The later voter set.
        voters: Item,
    },
    /// Items that a majority has accepted.
    Commit {
        /// The items.
        items: Vec<Item>,
    },
    /// The sender's digests by group of shards, to find what one side lacks.
    CompareDigests {
        /// The digests.
        digests: StateGroupDigests,
        /// The disk id of a sender that has no vote: once it has everything it wants one.
        learner: Option<u64>,
    },
    /// Items that the receiver lacks, or may lack.
    RepairItems {
        /// Items accepted.
        items: Vec<Item>,
        /// Items committed.
        committed: Vec<Item>,
        /// What the sender has promised.
        promised: ProposalNumber,
    },

    // Allotments, between a proxy and the coordinator.
    /// From a proxy, when the connection to the coordinator of a term comes up: what it holds.
    AllotmentsHeld {
        /// The coordinator's term. The proxy takes nothing of earlier ones any more.
        term: u64,
        /// What it holds, of each tenant of which it holds anything.
        allotments: Vec<Allotment>,
    },
    /// From the coordinator: what the proxy holds from now on, of these tenants.
    SetAllotments {
        /// The coordinator's term.
        term: u64,
        /// Numbers the changes of a proxy in a term.
        revision: u64,
        /// The new allotments.
        allotments: Vec<Allotment>,
    },
    /// From a proxy: it has taken a change.
    AllotmentsSet {
        /// The coordinator's term.
        term: u64,
        /// The change's number.
        revision: u64,
    },
    /// From the coordinator, with each heartbeat, to a proxy whose report it has.
    AllotmentStatus {
        /// The coordinator's term.
        term: u64,
        /// Proxies that left by plan in this term and are not back.
        departed_proxies: u32,
        /// What proxies out of contact may hold, by tenant.
        absent: Vec<Allotment>,
        /// The parts that they may hold of each tenant that is not listed.
        absent_of_unlisted: u32,
    },
    /// From a proxy, to all registries: it is ending, and admits nothing any more.
    Departed,
}
