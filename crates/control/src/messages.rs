//! What the system's processes tell each other on held connections and in datagrams.

use std::net::{IpAddr, SocketAddr};

use bitcode::{Decode, Encode};

use crate::items::{Ballot, Change, Invalid, Item};
use crate::lease::LeaseMessage;
use crate::membership::MemberUpdate;
use crate::transfer::{TransferMessage, split_items};

/// The version of these messages, the first byte of each.
pub const VERSION: u8 = 3;
/// Bytes of a message at most.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;

/// An IP address as it goes over the wire.
pub type Ip = [u8; 4];

pub fn ip(at: IpAddr) -> Ip {
    match at {
        IpAddr::V4(v4) => v4.octets(),
        IpAddr::V6(_) => [0; 4],
    }
}

pub fn addr(ip: Ip) -> IpAddr {
    IpAddr::V4(ip.into())
}

/// A backend as the platform's list has it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub at: (Ip, u16),
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
    /// How much longer it stays slow.
    pub cold_ms: u64,
}

/// The platform's list, by which reading of which term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct BackendSnapshot {
    pub term: u64,
    pub reading: u64,
    pub servers: Vec<Server>,
}

impl BackendSnapshot {
    pub fn is_above(&self, other: &BackendSnapshot) -> bool {
        (self.term, self.reading) > (other.term, other.reading)
    }
}

/// What a proxy tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ProxyStatus {
    pub node: String,
    /// Chosen by chance at its start.
    pub life: u64,
    pub zone: String,
    pub front: (Ip, u16),
    pub ready: bool,
    /// The highest term of a coordinator's that it knows.
    pub term: u64,
}

impl ProxyStatus {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(addr(self.front.0), self.front.1)
    }
}

/// Where the system stands, as a registry tells it with each beat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// Common time by which slots are named, in milliseconds.
    pub time_ms: u64,
    /// All registries that are not known to be dead, this one first.
    pub registries: Vec<Ip>,
    /// Whether this registry is in contact with a majority of the voters. Where it is not, all that it tells on this
    /// connection may be old.
    pub in_contact: bool,
    /// Who holds the coordinator's duty, by which term.
    pub coordinator: Option<(Ip, u64)>,
    /// Proxies known of late, and those attached to the coordinator (told by the coordinator alone).
    pub proxies: u32,
    pub attached: u32,
    /// Ready proxies in the region of the one it is told to, and its place among them.
    pub near: u32,
    pub place: u32,
    /// Digest of the decided items, 0 without all that the store has; term and reading of the list that this registry has.
    pub items: u64,
    pub list: (u64, u64),
}

/// What a proxy holds, or all proxies hold, of a shared count, and was asked for under its name.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct NamedCount {
    pub name: String,
    pub held: f64,
    pub asked: f64,
}

/// On a held connection, each way.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    // From a proxy.
    Status {
        status: ProxyStatus,
        time_ms: Option<u64>,
    },
    /// All that it holds and was asked for, by name.
    CountReport(Vec<NamedCount>),
    /// Catching up with the configuration, both ways.
    Transfer(TransferMessage),
    PullBackends,
    Ack {
        no: u64,
    },
    // From a registry to a proxy.
    Heartbeat(Heartbeat),
    /// Items decided: change number on this connection.
    ConfigUpdate {
        no: u64,
        items: Vec<Item>,
    },
    /// A page of the platform's list, numbered by its readers' terms and readings.
    BackendUpdate {
        no: u64,
        list: BackendSnapshot,
        page: u32,
        pages: u32,
    },
    /// What all proxies hold and were asked for, by the coordinator of that term.
    CountTotals {
        term: u64,
        totals: Vec<NamedCount>,
    },
    /// From a proxy: it wants to be told of others to exchange load summaries with.
    PullPartners,
    /// From a registry: a few ready proxies of its region, and of others.
    Partners {
        near: Vec<Ip>,
        far: Vec<Ip>,
    },
    /// From a registry: more items were decided than are told by themselves.
    ConfigChanged,
    // Between a store and its registry.
    /// From a registry: the core machines that it holds for alive. From a store: those that it heard of last.
    Roster {
        ips: Vec<Ip>,
    },
    /// From a store to its registry, when the link comes up and at each change: who has a vote in the agreement, and by
    /// which change of their set. Majorities of consecutive epochs have a member in common.
    Voters {
        epoch: u64,
        voters: Vec<Ip>,
    },
    /// From a registry to its store: whether the epoch is still that one.
    ConfirmEpoch {
        no: u64,
    },
    /// The store's epoch when it was asked.
    EpochConfirmed {
        no: u64,
        epoch: u64,
    },
    Submit {
        no: u64,
        order: Command,
    },
    Reply {
        no: u64,
        reply: CommandReply,
    },
    /// From a store: a submitted command is at hand. Is it still wanted, and how long has its caller waited? Asked of
    /// commands that do harm late, which may have waited before a store that stood still.
    ConfirmSubmit {
        no: u64,
    },
    SubmitConfirmed {
        no: u64,
        waited_ms: u64,
    },
    Decided {
        items: Vec<Item>,
        /// With these, all that was decided has been told.
        whole: bool,
    },
    /// The list as last read, for whoever starts without a coordinator.
    StoreBackends(BackendSnapshot),
    // Between stores.
    /// A command passed on to the replica that carries out those of many. It is named by the sender's life, which is
    /// chosen by chance at its start, and a number in that life; so is each answer to it.
    Forward {
        life: u64,
        no: u64,
        order: Command,
    },
    /// What came of it; none: it can't be carried out there.
    Forwarded {
        life: u64,
        no: u64,
        reply: Option<CommandReply>,
    },
    /// It has come, and will be carried out in its turn.
    ForwardAck {
        life: u64,
        no: u64,
    },
    /// A ballot belongs to one round of one proposer in one epoch: what answers it names the ballot.
    Prepare {
        ballot: Ballot,
        /// The voter set in which the round counts, as decided.
        voters: Item,
        /// Digests of the items accepted and decided.
        digest: (u64, u64),
    },
    Promise {
        /// The ballot that was asked for: promised if `promised` is the same.
        ballot: Ballot,
        promised: Ballot,
        disk: u64,
        /// Items accepted and decided; none where the digests are alike.
        items: Option<(Vec<Item>, Vec<Item>)>,
    },
    /// What is proposed, and what is decided of the items that it would take the place of.
    Accept {
        ballot: Ballot,
        /// Counts the proposals of a round.
        step: u32,
        voters: Item,
        items: Vec<Item>,
        decided: Vec<Item>,
        /// With a change of the voter set: the digest of all that is decided, which an acceptor must hold too.
        level: Option<u64>,
    },
    Accepted {
        ballot: Ballot,
        step: u32,
        disk: u64,
        answer: AcceptAnswer,
    },
    /// Refuses a prepare or accept of an earlier epoch.
    NewerVoters {
        ballot: Ballot,
        voters: Item,
    },
    Commit {
        items: Vec<Item>,
    },
    /// Digests of the items accepted and decided, by part.
    CompareDigests {
        digests: (Vec<u32>, Vec<u32>),
        /// The sender has no vote: once level it wants one, with this disk.
        learner: Option<u64>,
    },
    RepairItems {
        items: Vec<Item>,
        decided: Vec<Item>,
        ballot: Ballot,
    },
}

impl Message {
    /// Decided items for a registry in messages of bounded size: the last says whether they are all.
    pub fn decided(items: Vec<Item>, whole: bool) -> Vec<Message> {
        let mut pieces = split_items(items);
        let last = pieces.pop().unwrap_or_default();
        let before = pieces.into_iter().map(|items| Message::Decided {
            items,
            whole: false,
        });
        before
            .chain([Message::Decided { items: last, whole }])
            .collect()
    }
}

/// An acceptor's answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub enum AcceptAnswer {
    Accepted,
    /// A later ballot was promised.
    Promised(Ballot),
    /// It does not hold all that was decided before a change of the voter set.
    Behind,
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Hash, Encode, Decode)]
pub enum Command {
    Change(Change),
    Evacuate { zone: String, on: bool },
    Read,
}

#[derive(Clone, Debug, PartialEq, Hash, Encode, Decode)]
pub enum CommandReply {
    Done,
    Config(Vec<Item>),
    Invalid(String),
    /// Too few copies can be reached, or it took too long: try again, here or elsewhere.
    Unsettled(String),
}

impl From<Invalid> for CommandReply {
    fn from(e: Invalid) -> Self {
        CommandReply::Invalid(e.to_string())
    }
}

/// A datagram among registries.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Datagram {
    pub from: Ip,
    /// The sender's epoch of the voters, none known: 0.
    pub epoch: u64,
    pub time_ms: Option<u64>,
    pub body: GossipBody,
    pub updates: Vec<MemberUpdate>,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GossipBody {
    Ping {
        no: u64,
    },
    Pong {
        no: u64,
    },
    /// Please ask that one for me.
    Second {
        no: u64,
        whom: Ip,
    },
    Lease(LeaseMessage),
}

pub fn pack<T: Encode>(note: &T) -> Vec<u8> {
    let mut out = vec![VERSION];
    out.extend_from_slice(&bitcode::encode(note));
    out
}

/// # Errors
/// Where the bytes are of another version, or no message.
pub fn unpack<'a, T: Decode<'a>>(bytes: &'a [u8]) -> Result<T, String> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => bitcode::decode(rest).map_err(|e| format!("no message: {e}")),
        Some((v, _)) => Err(format!("message of version {v}")),
        None => Err("an empty message".into()),
    }
}
