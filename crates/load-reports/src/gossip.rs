//! Who is told what, when: each round a few partners, some of the own region, now and then one of another; datagrams of
//! bounded size in bounded number, whatever the number of proxies.

use std::collections::HashMap;
use std::time::Duration;

use bitcode::{Decode, Encode};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::observation::{BackendKey, Observer};
use crate::summaries::{Origin, Summary, SummaryTable};

/// The first byte of a datagram. Of another version nothing is read.
pub const VERSION: u8 = 1;
/// Between two rounds, and of so many one goes to another region too.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(200);
const FAR_EVERY: u32 = 5;
/// Partners of the own region in a round.
const NEAR_PARTNERS: usize = 2;
/// Summaries in a datagram: it stays whole on any link.
const MAX_SUMMARIES: usize = 64;
/// Of which so many may be the own: others' must come through too.
const MAX_OWN_SUMMARIES: usize = 40;
/// Datagrams heard of one sender in a second: its two or three partners' share and chance. More is a flood.
const MAX_DATAGRAMS_PER_S: u32 = 24;

/// Senders whose datagrams are counted; beyond these all counts begin anew.
const MAX_SENDERS: usize = 4096;

/// What goes from one proxy to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Datagram {
    /// Who sends it.
    pub from: Origin,
    /// What it tells of backends.
    pub summaries: Vec<Summary>,
}

/// A datagram's bytes.
pub fn pack(datagram: &Datagram) -> Vec<u8> {
    let mut out = vec![VERSION];
    out.extend(bitcode::encode(datagram));
    out
}

/// A datagram of these bytes; `None` where they are none, or of another version.
pub fn unpack(bytes: &[u8]) -> Option<Datagram> {
    let (version, rest) = bytes.split_first()?;
    (*version == VERSION).then(|| bitcode::decode(rest).ok())?
}

/// Partners as the registry names them: addresses, told apart by whatever the carrier uses.
#[derive(Clone, Debug)]
pub struct Gossip<P> {
    me: Origin,
    /// The partners of the own region.
    pub near: Vec<P>,
    /// The partners of other regions.
    pub far: Vec<P>,
    next: Duration,
    rounds: u32,
    number: u32,
    heard: HashMap<P, (u32, u64)>,
    rng: SmallRng,
    /// What others have reported.
    pub table: SummaryTable,
    /// What was observed here.
    pub observer: Observer,
}

impl<P: Clone + Eq + std::hash::Hash> Gossip<P> {
    /// Nobody is known yet. `me`: by which others know this proxy.
    pub fn new(me: Origin, seed: u64) -> Self {
        Gossip {
            me,
            near: Vec::new(),
            far: Vec::new(),
            next: Duration::ZERO,
            rounds: 0,
            number: 0,
            heard: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            table: SummaryTable::default(),
            observer: Observer::default(),
        }
    }

    /// Time passed: what goes to whom.
    pub fn tick(&mut self, now: Duration) -> Vec<(P, Vec<u8>)> {
        if now < self.next {
            return vec![];
        }
        // By lot a little apart: all at once would be heard all at once.
        self.next = now + ROUND_INTERVAL.mul_f64(self.rng.random_range(0.9..1.1));
        self.rounds += 1;
        self.number = self.number.wrapping_add(1);
        self.table.expire(now);
        let mut own = self.observer.all(now);
        // The busiest first: they are what others want to know of.
        own.sort_unstable_by_key(|(mark, s)| (std::cmp::Reverse((s.full, s.failed, s.out)), *mark));
        let (origin, number) = (self.me, self.number);
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
        let room = MAX_SUMMARIES - summaries.len();
        summaries.extend(self.table.take_forwards(room, now));
        if summaries.is_empty() {
            return vec![];
        }
        let bytes = pack(&Datagram {
            from: self.me,
            summaries,
        });
        let mut to: Vec<P> = self
            .near
            .choose_multiple(&mut self.rng, NEAR_PARTNERS)
            .cloned()
            .collect();
        if self.rounds.is_multiple_of(FAR_EVERY) {
            to.extend(self.far.choose(&mut self.rng).cloned());
        }
        to.into_iter().map(|p| (p, bytes.clone())).collect()
    }

    /// A datagram came; says whether anything was taken from it.
    pub fn receive(
        &mut self,
        from: P,
        bytes: &[u8],
        wanted: &dyn Fn(BackendKey) -> bool,
        now: Duration,
    ) -> bool {
        let second = now.as_secs();
        if self.heard.len() > MAX_SENDERS {
            self.heard.clear();
        }
        let heard = self.heard.entry(from).or_insert((0, second));
        if heard.1 != second {
            *heard = (0, second);
        }
        heard.0 += 1;
        if heard.0 > MAX_DATAGRAMS_PER_S {
            return false;
        }
        let Some(datagram) = unpack(bytes).filter(|d| d.summaries.len() <= MAX_SUMMARIES) else {
            return false;
        };
        let mut news = false;
        for summary in datagram
            .summaries
            .iter()
            .filter(|s| s.origin != self.me && wanted(s.backend))
        {
            news |= self.table.merge(summary, now);
        }
        news
    }
}
