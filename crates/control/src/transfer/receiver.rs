//! The receiver's side: compares snapshots, requests the shards that differ, and detects when a round is complete.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{CHUNKS_IN_FLIGHT, shorten};
use crate::config::{ConfigSnapshot, Item, ShardId};
use crate::messages::{Position, ShardDigests, ShardRequest, TransferMessage};

/// Maximum number of shards in one request.
const SHARDS_PER_REQUEST: usize = 64;
/// Number of fingerprints from which on no further shard is added to a request. The fingerprints of shards that do not fit
/// into the chunk have to be sent again.
const FINGERPRINTS_PER_REQUEST: usize = 2048;
/// A round counts as stalled if no message for it has arrived for this long.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of processing a provider's message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Items to merge into the snapshot before [`Receiver::requests`] is called.
    pub items: Vec<Item>,
    /// The provider's digest at the beginning of the round, if this message completes the round. Once `items` are merged,
    /// the receiver has every item that the provider had then.
    pub complete: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Phase {
    #[default]
    Idle,
    Comparing,
    Fetching(Fetch),
}

/// The state of a round after the comparison.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fetch {
    /// The provider's digest when the round began.
    digest: u64,
    /// Positions that are yet to be requested.
    pending: VecDeque<Position>,
    /// Positions of each unanswered request, by the request's number.
    in_flight: BTreeMap<u32, Vec<Position>>,
    next_chunk: u32,
}

/// The state of one receiver. Each round is with one provider.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Receiver {
    round: u32,
    phase: Phase,
    last_progress_at: Duration,
}

impl Receiver {
    /// Begins a round, abandoning any earlier one. Returns the comparison to send to the provider.
    pub fn begin(&mut self, snapshot: &ConfigSnapshot, now: Duration) -> TransferMessage {
        self.round = self.round.wrapping_add(1);
        self.phase = Phase::Comparing;
        self.last_progress_at = now;
        let digests = snapshot.index().group_digests().iter();
        TransferMessage::Compare {
            round: self.round,
            group_digests: digests.map(|digest| shorten(*digest, self.round)).collect(),
        }
    }

    /// Abandons the round, for example because the connection to the provider is lost.
    pub fn abort(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Returns whether no round is in progress.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Returns whether a round is in progress that made no progress for `STALL_TIMEOUT`; its messages may be lost.
    pub fn is_stalled(&self, now: Duration) -> bool {
        !self.is_idle() && now >= self.last_progress_at + STALL_TIMEOUT
    }

    /// Processes a message of the provider. Messages of other rounds and duplicates give an empty result.
    pub fn receive(
        &mut self,
        snapshot: &ConfigSnapshot,
        message: TransferMessage,
        now: Duration,
    ) -> Received {
        let (items, digest) = match (&mut self.phase, message) {
            (
                Phase::Comparing,
                TransferMessage::Differences {
                    round,
                    digest,
                    groups,
                },
            ) if round == self.round => {
                self.phase = Phase::Fetching(Fetch {
                    digest,
                    pending: differing_shards(snapshot, round, &groups),
                    in_flight: BTreeMap::new(),
                    next_chunk: 0,
                });
                (Vec::new(), digest)
            }
            (
                Phase::Fetching(fetch),
                TransferMessage::Chunk {
                    round,
                    chunk,
                    items,
                    resume_at,
                },
            ) if round == self.round => {
                let Some(requested) = fetch.in_flight.remove(&chunk) else {
                    return Received::default();
                };
                fetch.requeue_rest(requested, resume_at);
                (items, fetch.digest)
            }
            _ => return Received::default(),
        };
        self.last_progress_at = now;
        let complete = self.finish_if_complete().then_some(digest);
        Received { items, complete }
    }

    /// Returns the requests that may be sent now. `snapshot` must contain all items received so far.
    pub fn requests(&mut self, snapshot: &ConfigSnapshot) -> Vec<TransferMessage> {
        let round = self.round;
        let Phase::Fetching(fetch) = &mut self.phase else {
            return Vec::new();
        };
        let mut requests = Vec::new();
        while fetch.in_flight.len() < CHUNKS_IN_FLIGHT && !fetch.pending.is_empty() {
            requests.push(fetch.next_request(snapshot, round));
        }
        requests
    }

    /// Ends the round if no request is pending or in flight. Returns whether the round ended.
    fn finish_if_complete(&mut self) -> bool {
        let complete = match &self.phase {
            Phase::Fetching(fetch) => fetch.pending.is_empty() && fetch.in_flight.is_empty(),
            Phase::Idle | Phase::Comparing => false,
        };
        if complete {
            self.phase = Phase::Idle;
        }
        complete
    }
}

impl Fetch {
    fn next_request(&mut self, snapshot: &ConfigSnapshot, round: u32) -> TransferMessage {
        let mut positions = Vec::new();
        let mut shards = Vec::new();
        let mut fingerprints = 0;
        while shards.len() < SHARDS_PER_REQUEST && fingerprints < FINGERPRINTS_PER_REQUEST {
            let Some(from) = self.pending.pop_front() else {
                break;
            };
            let shard = shard_request(snapshot, round, &from);
            fingerprints += shard.fingerprints.len();
            shards.push(shard);
            positions.push(from);
        }
        let chunk = self.next_chunk;
        self.in_flight.insert(chunk, positions);
        self.next_chunk += 1;
        TransferMessage::Request {
            round,
            chunk,
            shards,
        }
    }

    /// Requeues the part of a request that its chunk did not cover, from the position where the chunk stopped.
    fn requeue_rest(&mut self, requested: Vec<Position>, resume_at: Option<Position>) {
        let Some(resume_at) = resume_at else { return };
        let rest = requested
            .into_iter()
            .skip_while(|position| position.shard != resume_at.shard)
            .skip(1);
        for position in rest.collect::<Vec<_>>().into_iter().rev() {
            self.pending.push_front(position);
        }
        self.pending.push_front(resume_at);
    }
}

fn differing_shards(
    snapshot: &ConfigSnapshot,
    round: u32,
    groups: &[ShardDigests],
) -> VecDeque<Position> {
    let mut positions = VecDeque::new();
    for ShardDigests { group, digests } in groups {
        let group = usize::from(*group);
        for (index, own) in snapshot.index().shard_digests(group).enumerate() {
            if digests.get(index) != Some(&shorten(own, round)) {
                positions.push_back(Position {
                    shard: ShardId::in_group(group, index),
                    after: None,
                });
            }
        }
    }
    positions
}

fn shard_request(snapshot: &ConfigSnapshot, round: u32, from: &Position) -> ShardRequest {
    let keys = snapshot.index().keys(from.shard, from.after.as_ref());
    let items = keys.filter_map(|key| snapshot.get(key));
    ShardRequest {
        from: from.clone(),
        fingerprints: items
            .map(|item| shorten(item.fingerprint(), round))
            .collect(),
    }
}
