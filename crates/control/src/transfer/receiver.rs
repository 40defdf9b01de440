//! The side that catches up: compares, asks for what differs, and knows when a round is complete.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{CHUNKS_IN_FLIGHT, GroupSums, PartRequest, Position, TransferMessage, shorten};
use crate::items::{ConfigSnapshot, Item, mark};
use crate::part_index::PartId;

/// Parts asked for in one request at most.
const PARTS_PER_REQUEST: usize = 64;
/// Marks in one request, beyond which no part is added to it: those of parts that don't fit into the chunk are sent
/// again.
const MARKS_PER_REQUEST: usize = 2048;
/// A round in which nothing came for so long is given up.
const STALLED_AFTER: Duration = Duration::from_secs(2);

/// What a message brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// To be merged into the snapshot before [`Receiver::requests`] is called.
    pub items: Vec<Item>,
    /// Digest that the provider had when the round began, in the message that completes the round: with these items
    /// merged, the receiver has all that the provider had then.
    pub complete: Option<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum State {
    #[default]
    Idle,
    Comparing,
    Fetching(Fetch),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fetch {
    digest: u64,
    waiting: VecDeque<Position>,
    in_flight: BTreeMap<u32, Vec<Position>>,
    next_chunk: u32,
}

/// One receiver's rounds, each with one provider.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Receiver {
    round: u32,
    state: State,
    last_progress: Duration,
}

impl Receiver {
    /// Begins a round in place of any before it: the comparison to send to the provider.
    pub fn begin(&mut self, snapshot: &ConfigSnapshot, now: Duration) -> TransferMessage {
        self.round = self.round.wrapping_add(1);
        self.state = State::Comparing;
        self.last_progress = now;
        let sums = snapshot.index().group_sums().iter();
        let group_sums = sums.map(|sum| shorten(*sum, self.round)).collect();
        TransferMessage::Compare {
            round: self.round,
            group_sums,
        }
    }

    /// Gives the round up, as when the provider is gone.
    pub fn abort(&mut self) {
        self.state = State::Idle;
    }

    pub fn is_idle(&self) -> bool {
        self.state == State::Idle
    }

    /// Whether a round is under way in which nothing has come for long: the messages may be lost.
    pub fn is_stalled(&self, now: Duration) -> bool {
        !self.is_idle() && now >= self.last_progress + STALLED_AFTER
    }

    /// A message of the provider. What is not of this round, or was received before, brings nothing.
    pub fn receive(
        &mut self,
        snapshot: &ConfigSnapshot,
        message: TransferMessage,
        now: Duration,
    ) -> Received {
        let (items, digest) = match (&mut self.state, message) {
            (
                State::Comparing,
                TransferMessage::Differences {
                    round,
                    digest,
                    groups,
                },
            ) if round == self.round => {
                let fetch = Fetch {
                    digest,
                    waiting: differing_parts(snapshot, round, &groups),
                    in_flight: BTreeMap::new(),
                    next_chunk: 0,
                };
                self.state = State::Fetching(fetch);
                (Vec::new(), digest)
            }
            (
                State::Fetching(fetch),
                TransferMessage::Chunk {
                    round,
                    chunk,
                    items,
                    stopped,
                },
            ) if round == self.round => {
                let Some(parts) = fetch.in_flight.remove(&chunk) else {
                    return Received::default();
                };
                fetch.put_back(parts, stopped);
                (items, fetch.digest)
            }
            _ => return Received::default(),
        };
        self.last_progress = now;
        let complete = self.finish().then_some(digest);
        Received { items, complete }
    }

    /// Requests that may be sent now; the snapshot holds all items received.
    pub fn requests(&mut self, snapshot: &ConfigSnapshot) -> Vec<TransferMessage> {
        let round = self.round;
        let State::Fetching(fetch) = &mut self.state else {
            return Vec::new();
        };
        let mut requests = Vec::new();
        while fetch.in_flight.len() < CHUNKS_IN_FLIGHT && !fetch.waiting.is_empty() {
            let (mut positions, mut parts, mut marks) = (Vec::new(), Vec::new(), 0);
            while parts.len() < PARTS_PER_REQUEST && marks < MARKS_PER_REQUEST {
                let Some(from) = fetch.waiting.pop_front() else {
                    break;
                };
                let part = part_request(snapshot, round, &from);
                marks += part.marks.len();
                parts.push(part);
                positions.push(from);
            }
            requests.push(TransferMessage::Request {
                round,
                chunk: fetch.next_chunk,
                parts,
            });
            fetch.in_flight.insert(fetch.next_chunk, positions);
            fetch.next_chunk += 1;
        }
        requests
    }

    /// Ends the round where nothing is missing any more; says whether it did.
    fn finish(&mut self) -> bool {
        let done = matches!(&self.state, State::Fetching(f) if f.waiting.is_empty() && f.in_flight.is_empty());
        if done {
            self.state = State::Idle;
        }
        done
    }
}

impl Fetch {
    /// The parts of a request that its chunk did not complete are asked for again, from where it stopped.
    fn put_back(&mut self, parts: Vec<Position>, stopped: Option<Position>) {
        let Some(stopped) = stopped else { return };
        let rest = parts
            .into_iter()
            .skip_while(|position| position.part != stopped.part)
            .skip(1);
        for position in rest.collect::<Vec<_>>().into_iter().rev() {
            self.waiting.push_front(position);
        }
        self.waiting.push_front(stopped);
    }
}

fn differing_parts(
    snapshot: &ConfigSnapshot,
    round: u32,
    groups: &[GroupSums],
) -> VecDeque<Position> {
    let mut parts = VecDeque::new();
    for GroupSums { group, part_sums } in groups {
        let group = usize::from(*group);
        for (place, ours) in snapshot.index().part_sums(group).enumerate() {
            if part_sums.get(place) != Some(&shorten(ours, round)) {
                parts.push_back(Position {
                    part: PartId::in_group(group, place),
                    after: None,
                });
            }
        }
    }
    parts
}

fn part_request(snapshot: &ConfigSnapshot, round: u32, from: &Position) -> PartRequest {
    let held = snapshot
        .index()
        .keys(from.part, from.after.as_ref())
        .filter_map(|key| snapshot.get(key));
    let marks = held.map(|item| shorten(mark(item), round)).collect();
    PartRequest {
        from: from.clone(),
        marks,
    }
}
