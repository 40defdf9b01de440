//! Gossip of summaries: in each round a proxy sends to a few partners of its region, and every few rounds to one of
//! another region. The size and the number of datagrams are bounded, whatever the number of proxies.

use std::collections::HashMap;
use std::time::Duration;

use bitcode::{Decode, Encode};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::observation::{BackendKey, Observer};
use crate::summaries::{Origin, Summary, SummaryTable};

/// The protocol version, sent as the first byte of a datagram. Datagrams of another version are ignored.
pub const VERSION: u8 = 1;
/// Mean interval between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// One round in this many also sends to a partner of another region.
const FAR_ROUND_INTERVAL: u32 = 5;
/// Number of partners of the own region in a round.
const NEAR_PARTNERS: usize = 2;
/// Maximum number of summaries in a datagram, which keeps it small enough not to be fragmented on any link.
const MAX_SUMMARIES: usize = 64;
/// Maximum number of own summaries in a datagram, which leaves room to forward those of other proxies.
const MAX_OWN_SUMMARIES: usize = 40;
/// Maximum number of datagrams accepted from one sender in a second: a sender's two or three datagrams a round, with a
/// margin for random selection. More are treated as a flood and ignored.
const MAX_DATAGRAMS_PER_S: u32 = 24;

/// Maximum number of senders whose datagrams are counted; beyond it all counts are reset.
const MAX_SENDERS: usize = 4096;

/// A message from one proxy to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Datagram {
    /// The sender.
    pub from: Origin,
    /// The sender's own summaries and those that it forwards.
    pub summaries: Vec<Summary>,
}

/// Encodes a datagram with its version byte.
pub fn pack(datagram: &Datagram) -> Vec<u8> {
    let mut out = vec![VERSION];
    out.extend(bitcode::encode(datagram));
    out
}

/// Decodes a datagram; returns `None` if the bytes are invalid or of another version.
pub fn unpack(bytes: &[u8]) -> Option<Datagram> {
    let (version, rest) = bytes.split_first()?;
    (*version == VERSION).then(|| bitcode::decode(rest).ok())?
}

/// The gossip state of one proxy. `P` is the address type of the transport, by which partners are identified.
#[derive(Clone, Debug)]
pub struct Gossip<P> {
    own_origin: Origin,
    /// Partners of the own region, as assigned by the registry.
    pub near: Vec<P>,
    /// Partners of other regions, as assigned by the registry.
    pub far: Vec<P>,
    next_round_at: Duration,
    rounds: u32,
    /// Number of the last own summaries.
    number: u32,
    /// By sender, the number of datagrams received in a second, and that second.
    received_counts: HashMap<P, (u32, u64)>,
    rng: SmallRng,
    /// The summaries of other proxies.
    pub table: SummaryTable,
    /// The observations of this proxy.
    pub observer: Observer,
}

impl<P: Clone + Eq + std::hash::Hash> Gossip<P> {
    /// Creates the gossip state of the proxy that others know as `own_origin`, without partners.
    pub fn new(own_origin: Origin, seed: u64) -> Self {
        Gossip {
            own_origin,
            near: Vec::new(),
            far: Vec::new(),
            next_round_at: Duration::ZERO,
            rounds: 0,
            number: 0,
            received_counts: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            table: SummaryTable::default(),
            observer: Observer::default(),
        }
    }

    /// Runs a round if due; returns the datagrams to send, with their receivers.
    pub fn tick(&mut self, now: Duration) -> Vec<(P, Vec<u8>)> {
        if now < self.next_round_at {
            return vec![];
        }
        // Random jitter: synchronized proxies would all send, and all receive, at the same moment.
        self.next_round_at = now + ROUND_INTERVAL.mul_f64(self.rng.random_range(0.9..1.1));
        self.rounds += 1;
        self.number = self.number.wrapping_add(1);
        self.table.expire(now);
        let mut own = self.observer.all(now);
        // The most loaded backends first, because other proxies need to avoid these.
        own.sort_unstable_by_key(|(backend, s)| {
            (
                std::cmp::Reverse((s.full, s.failed, s.in_progress)),
                *backend,
            )
        });
        let (origin, number) = (self.own_origin, self.number);
        let mut summaries: Vec<Summary> = own
            .into_iter()
            .take(MAX_OWN_SUMMARIES)
            .map(|(backend, observation)| Summary {
                origin,
                number,
                backend,
                age_ms: 0,
                observation,
            })
            .collect();
        let forward_limit = MAX_SUMMARIES - summaries.len();
        summaries.extend(self.table.take_forwards(forward_limit, now));
        if summaries.is_empty() {
            return vec![];
        }
        let bytes = pack(&Datagram {
            from: self.own_origin,
            summaries,
        });
        let mut receivers: Vec<P> = self
            .near
            .choose_multiple(&mut self.rng, NEAR_PARTNERS)
            .cloned()
            .collect();
        if self.rounds.is_multiple_of(FAR_ROUND_INTERVAL) {
            receivers.extend(self.far.choose(&mut self.rng).cloned());
        }
        receivers
            .into_iter()
            .map(|receiver| (receiver, bytes.clone()))
            .collect()
    }

    /// Processes a received datagram; returns whether it contained new information. `wanted` returns whether a backend
    /// is known here; summaries of other backends are ignored.
    pub fn receive(
        &mut self,
        from: P,
        bytes: &[u8],
        wanted: &dyn Fn(BackendKey) -> bool,
        now: Duration,
    ) -> bool {
        let second = now.as_secs();
        if self.received_counts.len() > MAX_SENDERS {
            self.received_counts.clear();
        }
        let received = self.received_counts.entry(from).or_insert((0, second));
        if received.1 != second {
            *received = (0, second);
        }
        received.0 += 1;
        if received.0 > MAX_DATAGRAMS_PER_S {
            return false;
        }
        let Some(datagram) =
            unpack(bytes).filter(|datagram| datagram.summaries.len() <= MAX_SUMMARIES)
        else {
            return false;
        };
        let mut has_new = false;
        for summary in datagram
            .summaries
            .iter()
            .filter(|summary| summary.origin != self.own_origin && wanted(summary.backend))
        {
            has_new |= self.table.merge(summary, now);
        }
        has_new
    }
}
