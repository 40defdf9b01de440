//! The links to the wardens: what they tell is merged here, item by item and list by list, so that nothing goes
//! back within a life, whichever of them tells it first.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_market::items::{Book, Item};
use damsonbeam_market::link::{self, Out};
use damsonbeam_market::note::{Beat, Ip, Note, Server, Stand, addr, ip};
use damsonbeam_market::settings::{Port, Settings};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep};

const DIAL: Duration = Duration::from_millis(800);
const REDIAL: Duration = Duration::from_millis(200);
/// Between two words to each warden.
const STAND: Duration = Duration::from_millis(400);
/// Every so many of them goes to wardens of other regions too: the directory there may be that much behind.
const FAR_STANDS: u32 = 2;
/// A warden whose connection comes up within this is near: a fraction of the way between regions.
const NEAR: Duration = Duration::from_millis(15);
/// A warden whose items differ for so long is asked for all of them; they may be on their way.
const DIFFERS: Duration = Duration::from_millis(700);
const PULL: Duration = Duration::from_millis(2000);
/// A warden that none has named for so long is not called any more.
const NAMED: Duration = Duration::from_secs(20);

/// For whoever runs the proxy.
pub enum Word {
    Items,
    List(Vec<Server>),
    Beat(Beat),
    /// How many porters a warden that is not the clerk knows.
    Porters(u32),
    Totals(Vec<(String, f64, f64)>),
    /// There is a way to the clerk, or none.
    Clerk(bool),
    /// Others to exchange load summaries with: of this region, and of others.
    Few(Vec<Ip>, Vec<Ip>),
}

/// What is known from the wardens.
pub struct Known {
    pub book: Book,
    /// By which term and reading the list came.
    list: (u64, u64),
    pub stand: Stand,
    /// The common time where it is known: when, and what it was then, by which term.
    pub time: Option<(Instant, u64, u64)>,
    wardens: BTreeMap<Ip, Instant>,
    seeds: BTreeSet<Ip>,
    links: BTreeMap<Ip, Out>,
    /// Wardens that are near: their connections came up quickly.
    home: BTreeSet<Ip>,
    clerk: Option<(Ip, u64)>,
    /// Whether partners for load summaries are wanted.
    summaries: bool,
}

impl Known {
    pub fn new(settings: &Settings, stand: Stand, summaries: bool) -> Self {
        let seeds: BTreeSet<Ip> = settings.seed_ips().into_iter().map(ip).collect();
        let now = Instant::now();
        Known {
            book: Book::default(),
            list: (0, 0),
            stand,
            time: None,
            wardens: seeds.iter().map(|s| (*s, now)).collect(),
            seeds,
            links: BTreeMap::new(),
            home: BTreeSet::new(),
            clerk: None,
            summaries,
        }
    }

    /// Term and reading of the list.
    pub fn list(&self) -> (u64, u64) {
        self.list
    }

    /// The link to the clerk.
    pub fn clerk(&self) -> Option<&Out> {
        self.links.get(&self.clerk?.0)
    }

    /// To all wardens, or to those of this region and the clerk alone.
    pub fn tell(&self, all: bool) {
        let time_ms = self.time.map(|(at, ms, _)| ms + at.elapsed().as_millis() as u64);
        let note = Note::Stand { stand: self.stand.clone(), time_ms };
        let bytes = damsonbeam_market::note::pack(&note);
        for (ip, out) in &self.links {
            if all || self.home.contains(ip) || self.clerk.is_some_and(|c| c.0 == *ip) {
                out.bytes(bytes.clone());
            }
        }
    }

    fn merge(&mut self, items: Vec<Item>) -> bool {
        let mut new = false;
        for item in items {
            new |= self.book.merge(item);
        }
        new
    }

    /// The highest term's holder is the clerk, whoever tells.
    fn hear_clerk(&mut self, told: Option<(Ip, u64)>) -> bool {
        let before = self.clerk;
        if let Some(clerk) =
            told.filter(|t| self.clerk.is_none_or(|c| t.1 > c.1 || (t.1 == c.1 && t.0 != c.0)))
        {
            self.clerk = Some(clerk);
            self.stand.term = clerk.1;
        }
        before != self.clerk
    }
}

pub type Shared = Rc<RefCell<Known>>;

/// Holds a link to each warden that is known.
pub async fn run(settings: Rc<Settings>, known: Shared, to: mpsc::Sender<Word>) {
    let mut held: BTreeMap<Ip, tokio::task::JoinHandle<()>> = BTreeMap::new();
    let mut tick = interval(STAND);
    let mut turn = 0u32;
    loop {
        tick.tick().await;
        turn += 1;
        held.retain(|_, t| !t.is_finished());
        let wardens: Vec<Ip> = {
            let mut k = known.borrow_mut();
            let seeds = k.seeds.clone();
            k.wardens.retain(|w, at| seeds.contains(w) || at.elapsed() < NAMED);
            k.tell(turn.is_multiple_of(FAR_STANDS));
            k.wardens.keys().copied().collect()
        };
        for w in wardens {
            held.entry(w).or_insert_with(|| {
                let at = settings.inner(addr(w), Port::Warden);
                tokio::task::spawn_local(hold(w, at.ip(), at.port(), known.clone(), to.clone()))
            });
        }
    }
}

async fn hold(warden: Ip, at: IpAddr, port: u16, known: Shared, to: mpsc::Sender<Word>) {
    while known.borrow().wardens.contains_key(&warden) {
        let began = Instant::now();
        if let Ok(stream) = link::dial((at, port).into(), DIAL).await {
            let near = began.elapsed() < NEAR;
            let (mut from, out) = link::split(stream);
            {
                let mut k = known.borrow_mut();
                let time_ms = k.time.map(|(at, ms, _)| ms + at.elapsed().as_millis() as u64);
                out.send(&Note::Stand { stand: k.stand.clone(), time_ms });
                if k.summaries {
                    out.send(&Note::Partners);
                }
                k.links.insert(warden, out.clone());
                if near {
                    k.home.insert(warden);
                } else {
                    k.home.remove(&warden);
                }
            }
            let mut here = Here { warden, out, differs: None, pulled: None };
            while let Ok(note) = from.next::<Note>(link::SILENT).await {
                if let Some(word) = here.heard(&known, note)
                    && to.send(word).await.is_err()
                {
                    return;
                }
            }
            let lost = {
                let mut k = known.borrow_mut();
                k.links.remove(&warden);
                k.clerk.is_some_and(|c| c.0 == warden)
            };
            if lost {
                log::info!("news: the way to the clerk is lost.");
                to.send(Word::Clerk(false)).await.ok();
            }
        }
        sleep(REDIAL).await;
    }
}

struct Here {
    warden: Ip,
    out: Out,
    differs: Option<Instant>,
    pulled: Option<Instant>,
}

impl Here {
    fn heard(&mut self, known: &Shared, note: Note) -> Option<Word> {
        let mut k = known.borrow_mut();
        match note {
            Note::Beat(beat) => {
                let now = Instant::now();
                for w in &beat.wardens {
                    k.wardens.insert(*w, now);
                }
                let clerk = beat.clerk.is_some_and(|c| c.0 == self.warden);
                if let Some((_, term)) = beat.clerk.filter(|_| clerk && beat.time_ms > 0)
                    && k.time.is_none_or(|t| t.2 < term)
                {
                    k.time = Some((now, beat.time_ms, term));
                }
                self.compare(beat.items != k.book.digest(), beat.list > k.list, now);
                if k.hear_clerk(beat.clerk) {
                    log::info!("news: the clerk is {:?}.", k.clerk.map(|c| addr(c.0)));
                }
                Some(if clerk { Word::Beat(beat) } else { Word::Porters(beat.porters) })
            }
            Note::News { no, items } => {
                self.out.send(&Note::Heard { no });
                k.merge(items).then_some(Word::Items)
            }
            Note::List { no, list } => {
                self.out.send(&Note::Heard { no });
                let at = (list.term, list.reading);
                if at <= k.list {
                    return None;
                }
                k.list = at;
                Some(Word::List(list.servers))
            }
            Note::Totals(totals) => Some(Word::Totals(totals)),
            Note::Few { near, far } => Some(Word::Few(near, far)),
            _ => None,
        }
    }

    /// News come by themselves; what still differs after a while is asked for.
    fn compare(&mut self, differs: bool, behind: bool, now: Instant) {
        if !differs && !behind {
            self.differs = None;
            return;
        }
        let since = *self.differs.get_or_insert(now);
        if now - since >= DIFFERS && self.pulled.is_none_or(|p| now - p >= PULL) {
            self.pulled = Some(now);
            if differs {
                self.out.send(&Note::Pull);
            }
            if behind {
                self.out.send(&Note::PullList);
            }
        }
    }
}
