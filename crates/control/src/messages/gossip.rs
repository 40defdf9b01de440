//! Datagrams between registries: probes, membership updates, and messages about the coordinator's lease.

use bitcode::{Decode, Encode};

use crate::address::Ip;

/// A datagram from one registry to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Datagram {
    /// The IP address of the sender.
    pub from: Ip,
    /// The epoch of the voter set known to the sender; 0 means none.
    pub epoch: u64,
    /// The coordinator's time in milliseconds, as known to the sender.
    pub coordinator_time_ms: Option<u64>,
    /// The content of the datagram.
    pub body: GossipBody,
    /// Recent changes of the membership.
    pub updates: Vec<MemberUpdate>,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GossipBody {
    /// A probe.
    Ping {
        /// The number of the probe, repeated in the answer.
        number: u64,
    },
    /// The answer to a probe.
    Pong {
        /// The number of the probe.
        number: u64,
    },
    /// A request to probe another registry on behalf of the sender.
    IndirectPing {
        /// The number of the probe, repeated in the answer.
        number: u64,
        /// The registry to probe.
        target: Ip,
    },
    /// A message about the coordinator's lease.
    Lease(LeaseMessage),
}

/// The state of a member. Of two updates with the same incarnation, the one with the later state in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and can still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
}

/// An update of the state of one member.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberUpdate {
    /// The IP address of the member.
    pub ip: Ip,
    /// The incarnation of the member. Only the member itself increments the number, to refute a suspicion.
    pub incarnation: u64,
    /// The state of the member.
    pub state: MemberState,
}

/// A message of the coordinator's election; see `crate::lease`. Each message contains the sender's epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum LeaseMessage {
    /// A candidate requests the lease, or the holder requests its renewal.
    Claim {
        /// The candidate's epoch.
        epoch: u64,
        /// The claimed term.
        term: u64,
        /// The time of sending by the candidate's clock in microseconds, returned with the grant.
        sent_us: u64,
    },
    /// A voter grants a claim.
    Grant {
        /// The voter's epoch.
        epoch: u64,
        /// The granted term.
        term: u64,
        /// The value of `sent_us` in the claim.
        sent_us: u64,
    },
    /// A voter refuses a claim.
    Refuse {
        /// The highest epoch that the voter knows.
        highest_epoch: u64,
        /// The highest term that the voter knows.
        highest_term: u64,
    },
    /// The holder releases its lease and names a successor.
    Transfer {
        /// The holder's epoch.
        epoch: u64,
        /// The holder's term.
        term: u64,
        /// The IP address of the successor.
        to: Ip,
    },
}

impl LeaseMessage {
    /// Returns the sender's epoch.
    pub fn epoch(&self) -> u64 {
        match *self {
            LeaseMessage::Claim { epoch, .. }
            | LeaseMessage::Grant { epoch, .. }
            | LeaseMessage::Refuse {
                highest_epoch: epoch,
                ..
            }
            | LeaseMessage::Transfer { epoch, .. } => epoch,
        }
    }
}
