//! How coffers agree on the items of the configuration, free of I/O.
//!
//! Any coffer takes a write. It prepares a ballot at a majority, which tells it all items accepted so far; it
//! merges them item by item (of two proposals for one, the later ballot's), applies the call to the whole, checks the result, and has a majority accept what is
//! new. There is no log and no leader: each item stands for itself, by version and, of one version, by ballot.
//! What a majority has accepted is decided; only that is acknowledged and told to the proxies.
//!
//! A coffer whose disk came back empty has forgotten what it promised: it counts in no majority until so many
//! others have told it their items that at least one of any majority was among them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use damsonbeam_market::items::{Ballot, Book, Item, Key, Kind};
use damsonbeam_market::note::{Ip, Note, Order, Reply, pack};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A phase of a write that gets no majority is given up: several ways there and back, and a slow sync.
const PHASE: Duration = Duration::from_millis(1200);
/// An order waits and is tried again for so long at most; its caller tries elsewhere then.
const ORDER: Duration = Duration::from_millis(3500);
/// An evacuation waits no longer than its caller, who goes elsewhere after a second: one that is carried out later could
/// undo what was ordered since. A configuration's items have versions, which see to that.
const EVACUATION: Duration = Duration::from_millis(900);
/// What was passed on and is not answered in this is carried out here: several ways there and back.
const PASS: Duration = Duration::from_millis(900);
/// That it has come is told at once; not told in this, it is carried out here while its caller still waits, and nothing is
/// passed on for a while: the first may be frozen, slow or cut off, and not known to be yet.
const PASSING: Duration = Duration::from_millis(350);
const DOUBT: Duration = Duration::from_millis(1200);
/// After a clash of ballots each waits a time by lot, up to this times the clashes: two ways there and back.
const BACK: Duration = Duration::from_millis(240);
/// Between two comparisons with another coffer.
const SWEEP: Duration = Duration::from_millis(1000);
/// One that is not whole asks this often.
const MEND: Duration = Duration::from_millis(250);
/// What is accepted and not known to be decided for so long is settled by a round of its own.
const LEFT: Duration = Duration::from_millis(1500);
/// Nothing is agreed upon in so long after a start: others have yet to be found.
const GATHER: Duration = Duration::from_millis(1500);

/// What must be on disk, synced, before what follows it is sent.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub struct Kept {
    pub promised: Ballot,
    pub whole: bool,
    pub accepted: Book,
    pub decided: Book,
}

impl Kept {
    /// What a disk holds once it has kept that.
    pub fn keep(&mut self, keep: &Keep) {
        match keep {
            Keep::Promised(b) => self.promised = *b,
            Keep::Whole => self.whole = true,
            Keep::Accepted(items) => items.iter().for_each(|i| {
                self.accepted.replace(i.clone());
            }),
            Keep::Decided(items) => items.iter().for_each(|i| {
                self.decided.replace(i.clone());
            }),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Keep {
    Promised(Ballot),
    Whole,
    Accepted(Vec<Item>),
    Decided(Vec<Item>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Keep(Keep),
    Send(Ip, Note),
    Broadcast(Note),
    Reply(u64, Reply),
    /// Decided items that were not known before, for the warden.
    News(Vec<Item>),
}

impl Hash for Act {
    /// Notes hold figures, which have no hash: they go by their bytes.
    fn hash<H: Hasher>(&self, h: &mut H) {
        match self {
            Act::Keep(keep) => keep.hash(h),
            Act::Send(to, note) => (to, pack(note)).hash(h),
            Act::Broadcast(note) => pack(note).hash(h),
            Act::Reply(no, reply) => (no, reply).hash(h),
            Act::News(items) => items.hash(h),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Hash)]
enum Phase {
    Prepare {
        promises: BTreeSet<Ip>,
        gathered: Box<Book>,
    },
    /// What is proposed; the orders are carried out once nothing that was left is undecided.
    Accept {
        accepts: BTreeSet<Ip>,
        items: Vec<Item>,
        replies: Option<Vec<(Asker, Reply)>>,
    },
}

#[derive(Clone, Debug, PartialEq, Hash)]
struct Round {
    no: u64,
    ballot: Ballot,
    orders: Vec<Asked>,
    until: Duration,
    phase: Phase,
}

/// Who is to be told what came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
enum Asker {
    /// The warden here, by its number.
    Here(u64),
    /// Another coffer, which passed it on by its own number.
    There(Ip, u64),
}

/// An order, and until when it may be carried out.
#[derive(Clone, Debug, PartialEq, Hash)]
struct Asked {
    asker: Asker,
    order: Order,
    until: Duration,
}

#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Agree {
    me: Ip,
    kept: Kept,
    /// Chance, by the number of lots drawn.
    lots: u64,
    from: Duration,
    /// Coffers in all; a majority is more than half of them.
    size: u32,
    peers: Vec<Ip>,
    highest: u64,
    no: u64,
    round: Option<Round>,
    waiting: VecDeque<Asked>,
    /// Passed on, by the warden's number, and when it is carried out here instead.
    passed: BTreeMap<u64, (Asked, Duration)>,
    /// Nothing is passed on until then.
    doubt: Duration,
    clashes: u32,
    again: Duration,
    sweep: Duration,
    turn: usize,
    mended: BTreeSet<Ip>,
    left_since: Option<Duration>,
    /// Taken after each call.
    out: Vec<Act>,
}

fn writer(ip: Ip) -> u64 {
    u64::from(u32::from_be_bytes(ip))
}

impl Agree {
    pub fn new(me: Ip, kept: Kept, first: bool, seed: u64, now: Duration) -> Self {
        let mut a = Agree {
            me,
            highest: kept.promised.round,
            kept,
            lots: seed,
            from: now + GATHER,
            size: 0,
            peers: Vec::new(),
            no: 0,
            round: None,
            waiting: VecDeque::new(),
            passed: BTreeMap::new(),
            doubt: now,
            clashes: 0,
            again: now,
            sweep: now,
            turn: 0,
            mended: BTreeSet::new(),
            left_since: None,
            out: Vec::new(),
        };
        if first && !a.kept.whole {
            // The very first start: nobody has anything to tell.
            a.whole();
        }
        a
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    pub fn done(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.out)
    }

    /// Who there is. Until anything was agreed upon, each further one found puts the first agreement off: majorities of
    /// what two know of and of what six know of need have nobody in common.
    pub fn roster(&mut self, ips: &[Ip], size: u32, now: Duration) {
        self.peers = ips.iter().copied().filter(|ip| *ip != self.me).collect();
        let size = size.max(ips.len() as u32);
        if size > self.size && self.kept.accepted.items().is_empty() {
            self.from = self.from.max(now + GATHER);
        }
        self.size = size;
    }

    fn majority(&self) -> usize {
        self.size as usize / 2 + 1
    }

    fn whole(&mut self) {
        self.kept.whole = true;
        self.out.push(Act::Keep(Keep::Whole));
    }

    pub fn order(&mut self, no: u64, order: Order, now: Duration) {
        let evacuation = matches!(order, Order::Evacuate { .. });
        let until = now + if evacuation { EVACUATION } else { ORDER };
        let asked = Asked { asker: Asker::Here(no), order, until };
        // Many that write at once only take the turn from each other: all write through the first. It is no leader:
        // whoever hears nothing from it writes itself.
        let first = self.peers.iter().copied().chain([self.me]).min().filter(|ip| *ip != self.me);
        match first.filter(|_| !evacuation && now >= self.doubt) {
            Some(first) => {
                self.out.push(Act::Send(first, Note::Pass { no, order: asked.order.clone() }));
                self.passed.insert(no, (asked, now + PASSING));
            }
            None => self.waiting.push_back(asked),
        }
        self.tick(now);
    }

    fn tell(&mut self, asker: Asker, reply: Reply) {
        self.out.push(match asker {
            Asker::Here(no) => Act::Reply(no, reply),
            Asker::There(ip, no) => Act::Send(ip, Note::Passed { no, reply: Some(reply) }),
        });
    }

    pub fn tick(&mut self, now: Duration) {
        let due: Vec<u64> = self.passed.iter().filter(|p| now >= p.1.1).map(|p| *p.0).collect();
        for no in due {
            self.doubt = now + DOUBT;
            self.waiting.extend(self.passed.remove(&no).map(|p| p.0));
        }
        let (late, waiting): (VecDeque<_>, _) =
            std::mem::take(&mut self.waiting).into_iter().partition(|a| now >= a.until);
        self.waiting = waiting;
        for asked in late {
            self.tell(asked.asker, Reply::Unsettled("no majority in time".into()));
        }
        if self.round.as_ref().is_some_and(|r| now >= r.until) {
            self.give_up(now);
        }
        if !self.kept.whole && now >= self.sweep {
            self.sweep = now + MEND;
            self.out.push(Act::Broadcast(Note::Compare { digests: None }));
        } else if now >= self.sweep && !self.peers.is_empty() {
            self.sweep = now + SWEEP;
            self.turn += 1;
            let digests = Some((self.kept.accepted.digests(), self.kept.decided.digests()));
            let to = self.peers[self.turn % self.peers.len()];
            self.out.push(Act::Send(to, Note::Compare { digests }));
        }
        let left = self.kept.accepted.digest() != self.kept.decided.digest();
        self.left_since = if left { self.left_since.or(Some(now)) } else { None };
        let ready = self.kept.whole && now >= self.from && now >= self.again && self.size > 0;
        let settle = self.left_since.is_some_and(|s| now >= s + LEFT);
        if self.round.is_none() && ready && (settle || !self.waiting.is_empty()) {
            let orders = self.waiting.drain(..).collect();
            self.prepare(orders, now);
        }
    }

    fn prepare(&mut self, orders: Vec<Asked>, now: Duration) {
        self.highest += 1;
        self.no += 1;
        let ballot = Ballot { round: self.highest, writer: writer(self.me) };
        self.promise(ballot);
        let digest = (self.kept.accepted.digest(), self.kept.decided.digest());
        let phase =
            Phase::Prepare { promises: [self.me].into(), gathered: Box::new(self.kept.accepted.clone()) };
        self.round = Some(Round { no: self.no, ballot, orders, until: now + PHASE, phase });
        self.out.push(Act::Broadcast(Note::Prepare { no: self.no, ballot, digest }));
        self.gathered(now);
    }

    fn promise(&mut self, ballot: Ballot) {
        self.kept.promised = ballot;
        self.highest = self.highest.max(ballot.round);
        self.out.push(Act::Keep(Keep::Promised(ballot)));
    }

    /// Back into the line with what is not answered; whoever clashed waits a time by lot.
    fn give_up(&mut self, now: Duration) {
        let Some(round) = self.round.take() else { return };
        self.clashes = (self.clashes + 1).min(5);
        self.lots = self.lots.wrapping_add(1);
        let lot: f64 = SmallRng::seed_from_u64(self.lots).random();
        self.again = now + BACK.mul_f64(lot * f64::from(self.clashes));
        for order in round.orders.into_iter().rev() {
            self.waiting.push_front(order);
        }
    }

    /// A message of another coffer.
    pub fn heard(&mut self, from: Ip, note: Note, now: Duration) {
        match note {
            Note::Pass { no, order } => {
                if self.kept.whole && now >= self.from {
                    let (asker, until) = (Asker::There(from, no), now + ORDER);
                    self.waiting.push_back(Asked { asker, order, until });
                    self.out.push(Act::Send(from, Note::Passing { no }));
                    self.tick(now);
                } else {
                    self.out.push(Act::Send(from, Note::Passed { no, reply: None }));
                }
            }
            Note::Passing { no } => {
                self.passed.get_mut(&no).into_iter().for_each(|p| p.1 = now + PASS);
            }
            Note::Passed { no, reply } => {
                let Some((asked, _)) = self.passed.remove(&no) else { return };
                match reply {
                    Some(reply) => self.tell(asked.asker, reply),
                    None => {
                        self.waiting.push_back(asked);
                        self.tick(now);
                    }
                }
            }
            Note::Prepare { no, ballot, digest } => {
                let ok = ballot > self.kept.promised;
                if ok {
                    self.promise(ballot);
                }
                let same = digest == (self.kept.accepted.digest(), self.kept.decided.digest());
                let all = |b: &Book| b.items().values().cloned().collect();
                let items = (ok && !same).then(|| (all(&self.kept.accepted), all(&self.kept.decided)));
                let (whole, ballot) = (self.kept.whole, self.kept.promised);
                self.out.push(Act::Send(from, Note::Promise { no, ok, whole, ballot, items }));
            }
            Note::Promise { no, ok, whole, ballot, items } => {
                self.highest = self.highest.max(ballot.round);
                let Some(round) = self.round.as_mut().filter(|r| r.no == no) else { return };
                let Phase::Prepare { promises, gathered } = &mut round.phase else { return };
                if !ok {
                    return self.give_up(now);
                }
                let (items, decided) = items.unwrap_or_default();
                for item in items.into_iter().chain(decided.iter().cloned()) {
                    gathered.replace(item);
                }
                if whole {
                    promises.insert(from);
                }
                self.accept(decided.clone());
                self.decide(decided);
                self.gathered(now);
            }
            Note::Accept { no, ballot, items, decided } => {
                let ok = ballot >= self.kept.promised;
                if ok {
                    self.promise(ballot);
                    // Known before its place is taken: were the proposal dropped, this would stand again.
                    self.accept(decided.clone());
                    self.decide(decided);
                    self.accept(items);
                }
                // One that is not whole has the items all the same, but its word does not count yet.
                let (ok, ballot) = (ok && self.kept.whole, self.kept.promised);
                self.out.push(Act::Send(from, Note::Accepted { no, ok, ballot }));
            }
            Note::Accepted { no, ok, ballot } => {
                self.highest = self.highest.max(ballot.round);
                let Some(round) = self.round.as_mut().filter(|r| r.no == no) else { return };
                let clash = ballot > round.ballot;
                let Phase::Accept { accepts, .. } = &mut round.phase else { return };
                if ok {
                    accepts.insert(from);
                    self.accepted(now);
                } else if clash {
                    self.give_up(now);
                }
            }
            Note::Commit { items } => {
                self.accept(items.clone());
                self.decide(items);
            }
            Note::Compare { digests } => {
                let ours = (self.kept.accepted.digests(), self.kept.decided.digests());
                if digests.as_ref() != Some(&ours) {
                    self.out.push(Act::Send(from, self.mend(digests)));
                }
            }
            Note::Mend { items, decided, whole, ballot, all } => {
                self.highest = self.highest.max(ballot.round);
                self.accept(items);
                self.accept(decided.clone());
                self.decide(decided);
                if !self.kept.whole && whole && all {
                    if ballot > self.kept.promised {
                        self.promise(ballot);
                    }
                    self.mended.insert(from);
                    // Of any majority, at least one is among so many others.
                    let size = self.size as usize;
                    if size > 0 && now >= self.from && self.mended.len() > size - self.majority() {
                        self.whole();
                    }
                }
            }
            _ => {}
        }
    }

    /// What another lacks, or may lack: the items of the parts that differ, or all.
    fn mend(&self, digests: Option<(Vec<u32>, Vec<u32>)>) -> Note {
        let all = digests.is_none();
        let (accepted, decided) = digests.unwrap_or_default();
        let mut items = self.kept.accepted.beside(&accepted);
        items.retain(|i| self.kept.decided.get(&i.key) != Some(i));
        let decided = self.kept.decided.beside(&decided);
        Note::Mend { items, decided, whole: self.kept.whole, ballot: self.kept.promised, all }
    }

    fn accept(&mut self, items: Vec<Item>) {
        let new: Vec<Item> = items.into_iter().filter(|i| self.kept.accepted.replace(i.clone())).collect();
        if !new.is_empty() {
            self.out.push(Act::Keep(Keep::Accepted(new)));
        }
    }

    fn decide(&mut self, items: Vec<Item>) {
        let new: Vec<Item> = items.into_iter().filter(|i| self.kept.decided.replace(i.clone())).collect();
        if !new.is_empty() {
            self.out.push(Act::Keep(Keep::Decided(new.clone())));
            self.out.push(Act::News(new));
        }
    }

    /// A majority has told what it accepted. What was left undecided by others' writes is decided first: an order may
    /// take the place of an item only where it is known to be decided, and is told so along with what replaces it.
    fn gathered(&mut self, now: Duration) {
        let majority = self.majority();
        let Some(round) = &mut self.round else { return };
        let Phase::Prepare { promises, gathered } = &mut round.phase else { return };
        if promises.len() < majority {
            return;
        }
        let mut book = std::mem::take(&mut **gathered);
        settle(&mut book, &self.kept.decided);
        let ballot = round.ballot;
        let left = beyond(&book, &self.kept.decided).map(|i| Item { ballot, ..i.clone() });
        let left: Vec<Item> = left.collect();
        if left.is_empty() {
            self.carry_out(now);
        } else {
            self.propose(left, None, now);
        }
    }

    /// All that may have been decided is decided here, and nobody else's write can be by a lower ballot any more.
    fn carry_out(&mut self, now: Duration) {
        let Some(round) = &self.round else { return };
        let (mut book, ballot, mut replies) = (self.kept.decided.clone(), round.ballot, Vec::new());
        for Asked { asker, order, until } in &round.orders {
            if now >= *until && matches!(order, Order::Evacuate { .. }) {
                replies.push((*asker, Reply::Unsettled("it took too long".into())));
                continue;
            }
            let (next, reply) = carry_out(&book, order, ballot);
            book = next.unwrap_or(book);
            replies.push((*asker, reply));
        }
        for (_, reply) in replies.iter_mut().filter(|r| r.1 == Reply::Book(Vec::new())) {
            *reply = Reply::Book(book.items().values().cloned().collect());
        }
        let new: Vec<Item> = beyond(&book, &self.kept.decided).cloned().collect();
        if new.is_empty() {
            self.round = None;
            self.clashes = 0;
            replies.into_iter().for_each(|(asker, reply)| self.tell(asker, reply));
        } else {
            self.propose(new, Some(replies), now);
        }
    }

    fn propose(&mut self, items: Vec<Item>, replies: Option<Vec<(Asker, Reply)>>, now: Duration) {
        let me = self.me;
        let before = items.iter().filter_map(|i| self.kept.decided.get(&i.key));
        let decided: Vec<Item> = before.cloned().collect();
        let Some(round) = &mut self.round else { return };
        if self.kept.promised > round.ballot {
            // Promised to another since: this one's own word, too, is for the later ballot.
            return self.give_up(now);
        }
        let (no, ballot) = (round.no, round.ballot);
        round.until = now + PHASE;
        round.phase = Phase::Accept { accepts: [me].into(), items: items.clone(), replies };
        self.accept(items.clone());
        self.out.push(Act::Broadcast(Note::Accept { no, ballot, items, decided }));
        self.accepted(now);
    }

    fn accepted(&mut self, now: Duration) {
        let majority = self.majority();
        let Some(round) = &mut self.round else { return };
        let Phase::Accept { accepts, items, replies } = &mut round.phase else { return };
        if accepts.len() < majority {
            return;
        }
        let (items, replies) = (std::mem::take(items), replies.take());
        self.decide(items.clone());
        self.out.push(Act::Broadcast(Note::Commit { items }));
        match replies {
            Some(replies) => {
                self.round = None;
                self.clashes = 0;
                replies.into_iter().for_each(|(asker, reply)| self.tell(asker, reply));
            }
            None => {
                // The next proposal is numbered anew: an answer to the last must not count for it.
                self.no += 1;
                let no = self.no;
                self.round.iter_mut().for_each(|r| r.no = no);
                self.carry_out(now);
            }
        }
    }
}

/// The items of a book that are not so decided.
fn beyond<'a>(book: &'a Book, decided: &'a Book) -> impl Iterator<Item = &'a Item> {
    book.items().values().filter(move |i| decided.get(&i.key) != Some(i))
}

/// Leftovers of writes that were given up may clash with what was decided without them: they go, oldest first.
/// What was decided never clashes, for each write was checked against all decided before it.
fn settle(book: &mut Book, decided: &Book) {
    while book.check().is_err() {
        let mut left: Vec<(Ballot, Key)> = beyond(book, decided).map(|i| (i.ballot, i.key.clone())).collect();
        left.sort_unstable();
        let Some(first) = left.first().cloned() else { return };
        let without = |key: &Key| {
            let mut b = book.clone();
            match decided.get(key) {
                Some(known) => b.set(known.clone()),
                None => b.remove(key),
            }
            b
        };
        let cure = left.iter().map(|(_, key)| without(key)).find(|b| b.check().is_ok());
        *book = cure.unwrap_or_else(|| without(&first.1));
    }
}

/// An order on the whole as it stands: what stands after it, and what its caller is told.
fn carry_out(book: &Book, order: &Order, ballot: Ballot) -> (Option<Book>, Reply) {
    match order {
        Order::Read => (None, Reply::Book(Vec::new())),
        Order::Change(change) => {
            let mut next = book.clone();
            for item in book.news(change) {
                next.merge(Item { ballot, ..item });
            }
            let copies = change.items.iter().any(|i| i.key.kind == Kind::Copy);
            match next.check().and_then(|()| if copies { next.check_copies() } else { Ok(()) }) {
                Ok(()) => (Some(next), Reply::Done),
                Err(e) => (None, e.into()),
            }
        }
        Order::Evacuate { zone, on } => {
            let key = Key { kind: Kind::Evacuation, name: zone.clone() };
            let known = book.get(&key);
            if known.is_some_and(|i| i.body.is_some()) == *on {
                return (None, Reply::Done);
            }
            let version = known.map_or(1, |i| i.version + 1);
            let mut next = book.clone();
            next.merge(Item { key, version, ballot, body: on.then(|| b"true".to_vec()) });
            (Some(next), Reply::Done)
        }
    }
}
