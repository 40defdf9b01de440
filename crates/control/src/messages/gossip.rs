//! Datagrams among registries: probes, updates of the membership, and the coordinator's lease.

use bitcode::{Decode, Encode};

use crate::address::Ip;

/// A datagram from one registry to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Datagram {
    /// The sender's machine.
    pub from: Ip,
    /// The epoch of the voters that the sender knows; 0: none.
    pub epoch: u64,
    /// The common time as the sender knows it, in milliseconds.
    pub time_ms: Option<u64>,
    /// What the datagram is sent for.
    pub body: GossipBody,
    /// What has changed in the membership of late.
    pub updates: Vec<MemberUpdate>,
}

/// What a datagram is sent for.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GossipBody {
    /// A probe.
    Ping {
        /// Names the probe in its answer.
        number: u64,
    },
    /// The answer to a probe.
    Pong {
        /// The probe's number.
        number: u64,
    },
    /// A request to probe another registry on the sender's behalf.
    PingRequest {
        /// Names the probe in its answer.
        number: u64,
        /// The registry to be probed.
        target: Ip,
    },
    /// A message of the coordinator's lease.
    Lease(LeaseMessage),
}

/// What is known of a member's state. The later one in this order prevails within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer, and may yet refute that it is dead.
    Suspect,
    /// It did not refute it in time.
    Dead,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberUpdate {
    /// The member.
    pub ip: Ip,
    /// Raised by the member itself, and by nobody else, to refute a suspicion.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

/// A message of the election of the coordinator; `crate::lease` explains it. Each bears the sender's epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum LeaseMessage {
    /// A candidate asks for a grant, or the holder for its renewal.
    Claim {
        /// The candidate's epoch.
        epoch: u64,
        /// The term claimed.
        term: u64,
        /// The candidate's own time, which comes back with the grant.
        sent_us: u64,
    },
    /// A voter grants a claim.
    Grant {
        /// The voter's epoch.
        epoch: u64,
        /// The term granted.
        term: u64,
        /// As in the claim.
        sent_us: u64,
    },
    /// A voter refuses a claim.
    Refuse {
        /// The highest epoch that the voter knows.
        epoch: u64,
        /// The highest term that the voter knows.
        term: u64,
    },
    /// The holder gives its lease up and names its successor.
    Transfer {
        /// The holder's epoch.
        epoch: u64,
        /// The holder's term.
        term: u64,
        /// The successor.
        to: Ip,
    },
}

impl LeaseMessage {
    /// The sender's epoch.
    pub fn epoch(&self) -> u64 {
        match *self {
            LeaseMessage::Claim { epoch, .. }
            | LeaseMessage::Grant { epoch, .. }
            | LeaseMessage::Refuse { epoch, .. }
            | LeaseMessage::Transfer { epoch, .. } => epoch,
        }
    }
}
