//! The side that catches up: compares, asks for what differs, and knows when a round is complete.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{CHUNKS_IN_FLIGHT, shorten};
use crate::config::{ConfigSnapshot, Item, ShardId};
use crate::messages::{Position, ShardDigests, ShardRequest, TransferMessage};

/// Shards asked for in one request at most.
const SHARDS_PER_REQUEST: usize = 64;
/// Fingerprints in one request, beyond which no shard is added to it: those of shards that don't fit into the chunk are
/// sent again.
const FINGERPRINTS_PER_REQUEST: usize = 2048;
/// A round in which nothing came for this long is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a message brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// To be merged into the snapshot before [`Receiver::requests`] is called.
    pub items: Vec<Item>,
    /// In the message that completes the round, the provider's digest when the round began: with these items merged, the
    /// receiver has all that the provider had then.
    pub complete: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Phase {
    #[default]
    Idle,
    Comparing,
    Fetching(Fetch),
}

/// What is left to be fetched in a round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fetch {
    /// The provider's digest when the round began.
    digest: u64,
    pending: VecDeque<Position>,
    /// Requests that are not answered, by number.
    in_flight: BTreeMap<u32, Vec<Position>>,
    next_chunk: u32,
}

/// One receiver's rounds, each with one provider.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Receiver {
    round: u32,
    phase: Phase,
    last_progress: Duration,
}

impl Receiver {
    /// Begins a round in place of any before it: the comparison to be sent to the provider.
    pub fn begin(&mut self, snapshot: &ConfigSnapshot, now: Duration) -> TransferMessage {
        self.round = self.round.wrapping_add(1);
        self.phase = Phase::Comparing;
        self.last_progress = now;
        let digests = snapshot.index().group_digests().iter();
        TransferMessage::Compare {
            round: self.round,
            group_digests: digests.map(|digest| shorten(*digest, self.round)).collect(),
        }
    }

    /// Gives the round up, as when the provider is gone.
    pub fn abort(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Whether no round is under way.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Whether a round is under way in which nothing has come for long: the messages may be lost.
    pub fn is_stalled(&self, now: Duration) -> bool {
        !self.is_idle() && now >= self.last_progress + STALL_TIMEOUT
    }

    /// Takes a message of the provider. What is not of this round, or was received before, brings nothing.
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
                    stopped,
                },
            ) if round == self.round => {
                let Some(requested) = fetch.in_flight.remove(&chunk) else {
                    return Received::default();
                };
                fetch.request_rest(requested, stopped);
                (items, fetch.digest)
            }
            _ => return Received::default(),
        };
        self.last_progress = now;
        let complete = self.finish_if_complete().then_some(digest);
        Received { items, complete }
    }

    /// Requests that may be sent now; the snapshot holds all items received.
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

    /// Ends the round where nothing is missing any more; returns whether it did.
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

    /// The shards of a request that its chunk did not complete are asked for again, from where it stopped.
    fn request_rest(&mut self, requested: Vec<Position>, stopped: Option<Position>) {
        let Some(stopped) = stopped else { return };
        let rest = requested
            .into_iter()
            .skip_while(|position| position.shard != stopped.shard)
            .skip(1);
        for position in rest.collect::<Vec<_>>().into_iter().rev() {
            self.pending.push_front(position);
        }
        self.pending.push_front(stopped);
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
