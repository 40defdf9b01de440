//! `damsonbeam-warden`: one warden. It carries between sockets and the state machines, and takes the outside calls.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use damsonbeam_market::claim::{Claims, Vote};
use damsonbeam_market::items::{Book, Change, Invalid, Kind, Tenant};
use damsonbeam_market::link::{self, Out};
use damsonbeam_market::members::Members;
use damsonbeam_market::note::{
    Beat, Datagram, Ip, Note, Order, Reply, Shelf, Stand, What, addr, ip, pack, unpack,
};
use damsonbeam_market::settings::{Port, Settings};
use damsonbeam_warden::calls::{self, Call, Miss};
use damsonbeam_warden::guide::{self, Post};
use damsonbeam_warden::list;
use damsonbeam_warden::tally::Tally;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

const TICK: Duration = Duration::from_millis(50);
/// A beat to each porter: three in the time after which it would look for another clerk.
const BEAT: Duration = Duration::from_millis(400);
/// Of so many, a porter of another region gets one where this warden is not the clerk: bytes between regions are paid for.
const FAR_BEATS: u32 = 3;
/// A porter that said nothing for so long is not attached any more, and not named to clients.
const SILENT: Duration = Duration::from_millis(1300);
/// Porters not seen for so long may be serving out of touch: their part of each quota stays theirs.
const ABSENT: Duration = Duration::from_secs(30);
const DIAL: Duration = Duration::from_millis(800);
const REDIAL: Duration = Duration::from_millis(200);
/// The coffer may be busy with a sweep, never for long.
const COFFER_SILENT: Duration = Duration::from_secs(3600);
/// An outside call is answered within this: its caller looks elsewhere after a second of silence.
const ANSWER: Duration = Duration::from_millis(4000);
/// Between two readings of the platform's list, as a part of the time in which a drain must be kept: the rest is for
/// a clerk's loss.
const POLL_PART: f64 = 0.2;
/// A call to the platform is given up after this.
const CLOUD: Duration = Duration::from_millis(900);
/// Without a word of the common time by then, this machine's own clock begins it.
const OWN_TIME: Duration = Duration::from_millis(700);
/// Bytes of an operator's call at most.
const CALL: usize = 16 << 20;
/// How long clients may keep an answer of the directory.
const TTL_S: f64 = 3.0;

struct Porter {
    stand: Stand,
    out: Out,
    last: Duration,
    no: u64,
    acked: u64,
    /// It exchanges load summaries with others.
    tells_loads: bool,
}

struct Warden {
    settings: Rc<Settings>,
    me: Ip,
    start: Instant,
    members: Members,
    claims: Claims,
    tally: Tally,
    /// Most wardens known at a time: a majority is more than half of them.
    size: u32,
    /// Common time less this process's, in milliseconds.
    time: Option<i64>,
    /// Term and start of this one's reign as clerk.
    reign: Option<(u64, Duration)>,
    porters: BTreeMap<u64, Porter>,
    /// Porters by node, and when each was seen last.
    seen: BTreeMap<String, Duration>,
    beat: Duration,
    beats: u32,
    book: Book,
    shelf: Shelf,
    /// This process has read the list in its present reign.
    listed: bool,
    coffer: Option<Out>,
    asks: HashMap<u64, oneshot::Sender<Reply>>,
    next: u64,
    roster: (Vec<Ip>, u32),
    leaving: bool,
}

type Shared = Rc<RefCell<Warden>>;

impl Warden {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn time_ms(&self) -> Option<u64> {
        Some((self.now().as_millis() as i64 + self.time?).max(0) as u64)
    }

    fn hear_time(&mut self, time_ms: Option<u64>, sure: bool) {
        if let Some(time) = time_ms.filter(|_| self.time.is_none() || sure) {
            self.time = Some(time as i64 - self.now().as_millis() as i64);
        }
    }

    fn region(&self, zone: &str) -> String {
        self.settings.zones.get(zone).cloned().unwrap_or_default()
    }

    /// Time passed: datagrams to send.
    fn tick(&mut self) -> Vec<(Ip, Vec<u8>)> {
        let now = self.now();
        if self.time.is_none() && now >= OWN_TIME {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            self.hear_time(Some(unix.as_millis() as u64), false);
        }
        let (out, changes) = self.members.tick(now);
        changes.iter().for_each(|(ip, state)| log::info!("members: {} is {state:?}.", addr(*ip)));
        let mut out: Vec<(Ip, Vec<u8>)> =
            out.into_iter().map(|(to, what)| (to, self.datagram(to, what))).collect();
        let alive = self.members.alive();
        self.size = self.size.max(alive.len() as u32);
        if let Some(vote) = self.claims.tick(now, &alive, self.size).filter(|_| !self.leaving) {
            let me = self.me;
            for to in alive.iter().filter(|a| **a != me) {
                out.push((*to, self.datagram(*to, What::Vote(vote.clone()))));
            }
        }
        let holds = self.claims.holds(now, self.size);
        if holds != self.reign.map(|r| r.0) {
            match holds {
                Some(term) => log::info!("clerk: took the duty, term {term}."),
                None => log::info!("clerk: the duty is over here."),
            }
            self.reign = holds.map(|term| (term, now));
            self.listed = false;
            self.tally.clear();
        }
        let news = self.tally.news();
        if !news.is_empty() && self.reign.is_some() {
            let bytes = pack(&Note::Totals(news));
            for p in self.porters.values() {
                p.out.bytes(bytes.clone());
            }
        }
        if now >= self.beat {
            self.beat = now + BEAT;
            self.beat();
        }
        self.tell_roster(alive);
        out
    }

    fn datagram(&mut self, to: Ip, what: What) -> Vec<u8> {
        let (time_ms, rumours) = (self.time_ms(), self.members.rumours(to));
        pack(&Datagram { from: self.me, time_ms, what, rumours })
    }

    /// The coffer on this machine must know the others, and how many there are.
    fn tell_roster(&mut self, alive: Vec<Ip>) {
        let size = self.size;
        if (&alive, size) != (&self.roster.0, self.roster.1)
            && let Some(coffer) = &self.coffer
        {
            coffer.send(&Note::Roster { ips: alive.clone(), size });
            self.roster = (alive, size);
        }
    }

    fn known_porters(&mut self) -> u32 {
        let now = self.now();
        self.seen.retain(|_, at| now < *at + ABSENT);
        self.seen.len() as u32
    }

    fn attached(&self) -> impl Iterator<Item = &Porter> {
        let now = self.now();
        self.porters.values().filter(move |p| now < p.last + SILENT)
    }

    /// Whether a porter is this one's to tell news: those of its region, and all where it is the clerk. The others
    /// hear from their own region's wardens, see by the beats what they lack, and ask for it.
    fn tells(&self, stand: &Stand) -> bool {
        self.reign.is_some() || self.region(&stand.zone) == self.settings.region
    }

    fn beat(&mut self) {
        let now = self.now();
        let (porters, clerk) = (self.known_porters(), self.claims.holder(now, self.size));
        let nodes: BTreeSet<&str> = self.attached().map(|p| &*p.stand.node).collect();
        let attached = nodes.len() as u32;
        let mut wardens = self.members.alive();
        wardens.retain(|w| *w != self.me);
        wardens.insert(0, self.me);
        let ready = self.attached().filter(|p| p.stand.ready);
        let ready: BTreeSet<(String, String)> =
            ready.map(|p| (self.region(&p.stand.zone), p.stand.node.clone())).collect();
        let beat = Beat {
            time_ms: self.time_ms().unwrap_or(0),
            wardens,
            clerk,
            porters,
            attached,
            near: 0,
            place: 0,
            items: self.book.digest(),
            list: (self.shelf.term, self.shelf.reading),
        };
        self.beats += 1;
        let posts = self.posts();
        let ips = |all: &[SocketAddr]| all.iter().map(|a| ip(a.ip())).collect::<Vec<Ip>>();
        for p in self.porters.values() {
            if !self.tells(&p.stand) && !self.beats.is_multiple_of(FAR_BEATS) {
                continue;
            }
            let region = self.region(&p.stand.zone);
            let home = ready.iter().filter(|r| r.0 == region);
            let (near, place) =
                (home.clone().count() as u32, home.take_while(|r| r.1 < p.stand.node).count() as u32);
            p.out.send(&Note::Beat(Beat { near, place, ..beat.clone() }));
            if p.tells_loads {
                let (near, far) = guide::partners(&posts, p.stand.front(), &region, self.beats);
                p.out.send(&Note::Few { near: ips(&near), far: ips(&far) });
            }
        }
    }

    fn decided(&mut self, items: Vec<damsonbeam_market::items::Item>, whole: bool) {
        let new: Vec<_> = items.into_iter().filter(|i| self.book.merge(i.clone())).collect();
        if new.is_empty() {
            return;
        }
        for tenant in new.iter().filter(|i| i.key.kind == Kind::Tenant && i.body.is_some()) {
            if let Ok(t) = Tenant::read(tenant) {
                self.tally.limit(&t.name, t.rate);
            }
        }
        if !whole {
            log::info!("news: {} items decided, to {} porters.", new.len(), self.porters.len());
        }
        let tells: Vec<u64> = self.porters.iter().filter(|p| self.tells(&p.1.stand)).map(|p| *p.0).collect();
        for link in tells {
            let Some(p) = self.porters.get_mut(&link) else { continue };
            p.no += 1;
            p.out.send(&Note::News { no: p.no, items: new.clone() });
        }
    }

    fn all_items(&mut self, link: u64) {
        let items = self.book.items().values().cloned().collect();
        if let Some(p) = self.porters.get_mut(&link) {
            p.no += 1;
            p.out.send(&Note::News { no: p.no, items });
        }
    }

    /// The list as last read; by others, where this one is not the clerk: an old one is better than none.
    fn list_to(&mut self, link: Option<u64>) {
        if self.shelf.term == 0 || (self.reign.is_some() && !self.listed) {
            return;
        }
        for (id, p) in &mut self.porters {
            if link.is_none_or(|l| l == *id) {
                p.no += 1;
                p.out.send(&Note::List { no: p.no, list: self.shelf.clone() });
            }
        }
    }

    /// A message of a porter.
    fn porter(&mut self, link: u64, out: &Out, note: Note) {
        let now = self.now();
        match note {
            Note::Stand { stand, time_ms } => {
                self.hear_time(time_ms, false);
                self.claims.learn(stand.term);
                self.seen.insert(stand.node.clone(), now);
                let fresh = !self.porters.contains_key(&link);
                if fresh {
                    log::info!("porters: {} came.", stand.node);
                }
                let p = self.porters.entry(link).or_insert_with(|| Porter {
                    stand: stand.clone(),
                    out: out.clone(),
                    last: now,
                    no: 0,
                    acked: 0,
                    tells_loads: false,
                });
                (p.stand, p.last) = (stand, now);
                if fresh {
                    if self.porters.get(&link).is_some_and(|p| self.tells(&p.stand)) {
                        self.all_items(link);
                        self.list_to(Some(link));
                    }
                    self.beats = FAR_BEATS - 1;
                    self.beat();
                }
            }
            Note::Holds(holds) => self.holds(link, holds),
            Note::Pull => self.all_items(link),
            Note::PullList => self.list_to(Some(link)),
            Note::Partners => self.porters.get_mut(&link).into_iter().for_each(|p| p.tells_loads = true),
            Note::Heard { no } => {
                if let Some(p) = self.porters.get_mut(&link) {
                    p.acked = p.acked.max(no);
                }
            }
            _ => {}
        }
    }

    /// Counts only while the duty is this one's: without an answer the porter keeps to its part.
    fn holds(&mut self, link: u64, holds: Vec<(String, f64, f64)>) {
        let now = self.now();
        let Some((term, _)) = self.reign else { return };
        if self.claims.holds(now, self.size) != Some(term) {
            return;
        }
        if let Some(p) = self.porters.get_mut(&link) {
            p.last = now;
            let life = p.stand.life;
            let total = |(name, held, asked): (String, f64, f64)| {
                let (held, asked) = self.tally.hold(&name, life, (held, asked), now);
                (name, held, asked)
            };
            p.out.send(&Note::Totals(holds.into_iter().map(total).collect()));
        }
    }

    fn ask(&mut self, order: Order) -> Option<oneshot::Receiver<Reply>> {
        self.next += 1;
        let no = self.next;
        let (to, reply) = oneshot::channel();
        self.coffer.as_ref()?.send(&Note::Ask { no, order }).then(|| self.asks.insert(no, to))?;
        Some(reply)
    }

    /// How the system stands as seen from here, for `damsonbeam-beadle state`.
    fn state(&self) -> String {
        let now = self.now();
        let ips =
            |all: &[Ip]| all.iter().map(|ip| format!("\"{}\"", addr(*ip))).collect::<Vec<_>>().join(",");
        let clerk = self.claims.holder(now, self.size);
        let clerk =
            clerk.map_or("null".into(), |(ip, term)| format!("{{\"ip\":\"{}\",\"term\":{term}}}", addr(ip)));
        let porters = self.porters.values().map(|p| {
            let (node, ready, lag) = (&p.stand.node, p.stand.ready, p.no - p.acked);
            let silent = (now - p.last).as_millis();
            format!("\n  {{\"node\":\"{node}\",\"ready\":{ready},\"silent_ms\":{silent},\"news_not_acknowledged\":{lag}}}")
        });
        let porters: Vec<String> = porters.collect();
        format!(
            "{{\"warden\":\"{}\",\"up_ms\":{},\n\"wardens\":[{}],\"most_wardens\":{},\n\"clerk\":{clerk},\n\
             \"coffer_reached\":{},\"items\":{},\"digest\":\"{:016x}\",\n\
             \"list\":{{\"term\":{},\"reading\":{},\"backends\":{}}},\n\"porters\":[{}]}}\n",
            self.settings.node,
            now.as_millis(),
            ips(&self.members.alive()),
            self.size,
            self.coffer.is_some(),
            self.book.items().len(),
            self.book.digest(),
            self.shelf.term,
            self.shelf.reading,
            self.shelf.servers.len(),
            porters.join(",")
        )
    }

    fn posts(&self) -> Vec<Post> {
        let mut by_node: BTreeMap<&str, Post> = BTreeMap::new();
        for p in self.attached() {
            let s = &p.stand;
            let post =
                Post { front: s.front(), zone: s.zone.clone(), region: self.region(&s.zone), ready: s.ready };
            by_node.insert(&s.node, post);
        }
        by_node.into_values().collect()
    }
}

async fn inner(warden: Shared, listener: TcpListener) {
    for link in 1u64.. {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(REDIAL).await;
            continue;
        };
        link::tend(&stream);
        let warden = warden.clone();
        tokio::task::spawn_local(async move {
            let (mut from, out) = link::split(stream);
            while let Ok(note) = from.next::<Note>(link::SILENT).await {
                warden.borrow_mut().porter(link, &out, note);
            }
            if let Some(p) = warden.borrow_mut().porters.remove(&link) {
                log::info!("porters: {} left.", p.stand.node);
            }
        });
    }
}

async fn coffer(warden: Shared) {
    let (at, me) = {
        let w = warden.borrow();
        (w.settings.inner(w.settings.ip, Port::Coffer), w.me)
    };
    loop {
        if let Ok(stream) = link::dial(at, DIAL).await {
            let (mut from, out) = link::split(stream);
            {
                let mut w = warden.borrow_mut();
                let (ips, size) = (w.members.alive(), w.size.max(1));
                out.send(&Note::Roster { ips: ips.clone(), size });
                w.roster = (ips, size);
                w.coffer = Some(out);
                log::info!("coffer: reached.");
            }
            while let Ok(note) = from.next::<Note>(COFFER_SILENT).await {
                let mut w = warden.borrow_mut();
                match note {
                    Note::Roster { ips, size } => {
                        w.members.hint(ips.into_iter().filter(|ip| *ip != me));
                        w.size = w.size.max(size);
                    }
                    Note::Decided { items, whole } => w.decided(items, whole),
                    Note::Shelve(shelf) => {
                        w.claims.learn(shelf.term);
                        if shelf.is_above(&w.shelf) && w.reign.is_none() {
                            w.shelf = shelf;
                        }
                    }
                    Note::Reply { no, reply } => {
                        w.asks.remove(&no).map(|to| to.send(reply).ok());
                    }
                    _ => {}
                }
            }
            let mut w = warden.borrow_mut();
            w.coffer = None;
            w.asks.clear();
            log::warn!("coffer: lost.");
        }
        sleep(REDIAL).await;
    }
}

async fn gossip(warden: Shared, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; 64 << 10];
    let port = warden.borrow().settings.inner(warden.borrow().settings.ip, Port::Gossip).port();
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buf).await else { continue };
        let Ok(d) = unpack::<Datagram>(&buf[..n]) else { continue };
        if from.ip() != addr(d.from) {
            continue;
        }
        let out: Vec<(Ip, Vec<u8>)> = {
            let mut w = warden.borrow_mut();
            let now = w.now();
            // The clerk's time is the common time.
            let clerk = w.claims.holder(now, w.size).is_some_and(|h| h.0 == d.from);
            w.hear_time(d.time_ms, clerk);
            let (mut back, changes) = w.members.heard(d.from, &d.what, &d.rumours, now);
            changes.iter().for_each(|(ip, state)| log::info!("members: {} is {state:?}.", addr(*ip)));
            if let What::Vote(vote) = &d.what
                && let Some(vote) = w.claims.heard(d.from, vote, now)
            {
                back.push((d.from, What::Vote(vote)));
            }
            back.into_iter().map(|(to, what)| (to, w.datagram(to, what))).collect()
        };
        for (to, bytes) in out {
            socket.send_to(&bytes, SocketAddr::new(addr(to), port)).await.ok();
        }
    }
}

async fn get(at: SocketAddr, path: String) -> Result<(StatusCode, Vec<u8>), String> {
    let stream = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).ok();
    let (mut send, conn) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    tokio::task::spawn_local(async move { conn.await.ok() });
    let request = Request::get(path).header("host", at.to_string()).body(Empty::<Bytes>::new());
    let answer = send.send_request(request.map_err(|e| e.to_string())?).await.map_err(|e| e.to_string())?;
    let status = answer.status();
    let body = answer.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
    Ok((status, body.to_vec()))
}

/// The clerk reads the platform's list, page by page, within the rate that all share: one holder, so it is its alone.
async fn poll(warden: Shared) {
    let Some((at, rate)) = warden.borrow().settings.cloud else { return };
    // Half of the rate: two holders in a row, each with its own calls in one second, stay within it.
    let apart = Duration::from_secs_f64(2.0 / rate);
    let every = warden.borrow().settings.bound_ms("drain_ms", 2500).mul_f64(POLL_PART);
    loop {
        let Some((term, _)) = warden.borrow().reign else {
            sleep(TICK).await;
            continue;
        };
        let (mut all, mut token, mut whole) = (Vec::new(), None::<String>, false);
        let began = Instant::now();
        loop {
            let path = token.as_ref().map_or("/instances".into(), |t| format!("/instances?page_token={t}"));
            match timeout(CLOUD, get(at, path)).await {
                Ok(Ok((StatusCode::OK, body))) => match list::page(body) {
                    Ok((servers, next)) => {
                        all.extend(servers);
                        token = next;
                        whole = token.is_none();
                    }
                    Err(why) => log::warn!("list: {why}."),
                },
                Ok(Ok((status, _))) => log::warn!("list: answered {status}."),
                Ok(Err(why)) => log::warn!("list: {why}."),
                Err(_) => log::warn!("list: no answer in time."),
            }
            if token.is_none() || whole {
                break;
            }
            sleep(apart).await;
        }
        if whole {
            let mut w = warden.borrow_mut();
            all.sort_unstable_by(|a, b| a.id.cmp(&b.id));
            if w.reign.is_some_and(|r| r.0 == term) {
                let news = !w.listed || list::is_news(&w.shelf.servers, &all);
                let reading = if w.shelf.term == term { w.shelf.reading + 1 } else { 1 };
                w.listed = true;
                w.shelf = Shelf { term, reading, servers: all };
                if news {
                    log::info!("list: {} backends.", w.shelf.servers.len());
                    w.list_to(None);
                    if let Some(coffer) = &w.coffer {
                        coffer.send(&Note::Shelve(w.shelf.clone()));
                    }
                }
            }
        }
        sleep(every.saturating_sub(began.elapsed()).max(apart)).await;
    }
}

type Answer = Response<Full<Bytes>>;

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut a = Response::new(Full::new(body.into()));
    *a.status_mut() = status;
    a.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    a
}

fn error(status: StatusCode, why: &str) -> Answer {
    let why: String =
        why.chars().map(|c| if c == '"' || c == '\\' || c.is_control() { ' ' } else { c }).collect();
    answer(status, format!("{{\"error\":\"{why}\"}}"))
}

async fn order(warden: &Shared, order: Order, show: fn(&Book) -> Vec<u8>) -> Answer {
    let asked = warden.borrow_mut().ask(order);
    let Some(reply) = asked else {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the store is not reached");
    };
    match timeout(ANSWER, reply).await {
        Ok(Ok(Reply::Done)) => answer(StatusCode::OK, "{}"),
        Ok(Ok(Reply::Book(items))) => {
            let mut book = Book::default();
            items.into_iter().for_each(|i| {
                book.merge(i);
            });
            answer(StatusCode::OK, show(&book))
        }
        Ok(Ok(Reply::Invalid(why))) => {
            log::info!("operator: a call is turned down: {why}.");
            error(StatusCode::BAD_REQUEST, &why)
        }
        Ok(Ok(Reply::Unsettled(why))) => error(StatusCode::SERVICE_UNAVAILABLE, &why),
        Ok(Err(_)) | Err(_) => error(StatusCode::SERVICE_UNAVAILABLE, "the store did not answer in time"),
    }
}

async fn change(
    warden: &Shared,
    request: Request<Incoming>,
    read: fn(Vec<u8>) -> Result<Change, Invalid>,
) -> Answer {
    match Limited::new(request.into_body(), CALL).collect().await {
        Err(_) => error(StatusCode::BAD_REQUEST, "the body breaks off, or is too large"),
        Ok(body) => match read(body.to_bytes().to_vec()) {
            Ok(change) => order(warden, Order::Change(change), Book::show).await,
            Err(e) => error(StatusCode::BAD_REQUEST, &e.to_string()),
        },
    }
}

async fn call(warden: Shared, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let uri = request.uri().clone();
    Ok(match calls::read(request.method().as_str(), uri.path(), uri.query()) {
        Err(Miss::Path) => error(StatusCode::NOT_FOUND, "no such call"),
        Err(Miss::Method) => error(StatusCode::METHOD_NOT_ALLOWED, "no such method here"),
        Ok(Call::Lookup { region, zone }) => {
            let w = warden.borrow();
            let all = guide::near(&w.posts(), &region, &zone);
            let ttl = TTL_S.min(w.settings.bound("ttl_max_s", TTL_S));
            if all.is_empty() {
                error(StatusCode::SERVICE_UNAVAILABLE, "no proxy is known")
            } else {
                let all: Vec<String> = all.into_iter().map(|a| format!("\"{a}\"")).collect();
                answer(StatusCode::OK, format!("{{\"addresses\":[{}],\"ttl_s\":{ttl}}}", all.join(",")))
            }
        }
        Ok(Call::State) => answer(StatusCode::OK, warden.borrow().state()),
        Ok(Call::Read) => order(&warden, Order::Read, Book::show).await,
        Ok(Call::ReadCopies) => order(&warden, Order::Read, Book::show_copies).await,
        Ok(Call::Evacuate { zone, .. }) if !warden.borrow().settings.zones.contains_key(&zone) => {
            error(StatusCode::NOT_FOUND, "no such zone")
        }
        Ok(Call::Evacuate { zone, on }) => {
            log::info!("operator: evacuation of {zone}: {}.", if on { "asked for" } else { "taken back" });
            order(&warden, Order::Evacuate { zone, on }, Book::show).await
        }
        Ok(Call::Change) => change(&warden, request, Change::read).await,
        Ok(Call::ChangeCopies) => change(&warden, request, Change::read_copies).await,
    })
}

async fn outside(warden: Shared, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(REDIAL).await;
            continue;
        };
        stream.set_nodelay(true).ok();
        let warden = warden.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| call(warden.clone(), request));
            let http =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            timeout(Duration::from_secs(60), http).await.ok();
        });
    }
}

async fn run(settings: Settings) -> Result<(), String> {
    // SIGHUP ends a program that has not asked for it.
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let settings = Rc::new(settings);
    let me = ip(settings.ip);
    let seeds: BTreeSet<Ip> = settings.seed_ips().into_iter().map(ip).collect();
    let warden = Rc::new(RefCell::new(Warden {
        me,
        start: Instant::now(),
        members: Members::new(me, seeds.iter().copied().collect(), Duration::ZERO),
        claims: Claims::new(me, Duration::ZERO),
        tally: Tally::default(),
        // At the very first start the seeds are up, whoever else there may be; later they may name what is gone.
        size: if settings.first_start { seeds.len() as u32 + 1 } else { 1 },
        time: None,
        reign: None,
        porters: BTreeMap::new(),
        seen: BTreeMap::new(),
        beat: Duration::ZERO,
        beats: 0,
        book: Book::default(),
        shelf: Shelf::default(),
        listed: false,
        coffer: None,
        asks: HashMap::new(),
        next: 0,
        roster: (Vec::new(), 0),
        leaving: false,
        settings: settings.clone(),
    }));
    let socket = UdpSocket::bind(settings.inner(settings.ip, Port::Gossip)).await;
    let socket = Rc::new(socket.map_err(|e| format!("the port for datagrams: {e}"))?);
    tokio::task::spawn_local(inner(warden.clone(), link::listen(settings.inner(settings.ip, Port::Warden))?));
    tokio::task::spawn_local(coffer(warden.clone()));
    tokio::task::spawn_local(gossip(warden.clone(), socket.clone()));
    tokio::task::spawn_local(poll(warden.clone()));
    for name in ["control", "directory"] {
        if let Ok(at) = settings.listens(name) {
            tokio::task::spawn_local(outside(warden.clone(), link::listen(at)?));
        }
    }
    let port = settings.inner(settings.ip, Port::Gossip).port();
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    log::info!("warden: {} serves.", settings.node);
    let send = async |out: Vec<(Ip, Vec<u8>)>| {
        for (to, bytes) in out {
            socket.send_to(&bytes, SocketAddr::new(addr(to), port)).await.ok();
        }
    };
    loop {
        tokio::select! {
            _ = tick.tick() => {
                let out = warden.borrow_mut().tick();
                send(out).await;
            }
            _ = hangup.recv() => damsonbeam_market::reloaded("warden"),
            _ = terminate.recv() => {
                let out: Vec<(Ip, Vec<u8>)> = {
                    let mut w = warden.borrow_mut();
                    w.leaving = true;
                    let (now, alive, size) = (w.now(), w.members.alive(), w.size);
                    match w.claims.leave(now, &alive, size) {
                        Some(vote) => {
                            if let Vote::Yield { to, .. } = &vote {
                                log::info!("clerk: names {} its successor.", addr(*to));
                            }
                            w.reign = None;
                            let others = alive.into_iter().filter(|a| *a != me);
                            others.map(|a| (a, w.datagram(a, What::Vote(vote.clone())))).collect()
                        }
                        None => vec![],
                    }
                };
                send(out).await;
                // Calls that are under way are answered.
                sleep(Duration::from_millis(1200)).await;
                log::info!("warden: ends.");
                return Ok(());
            }
        }
    }
}

fn main() -> ExitCode {
    let about = "One warden: the registry, and the outside calls. Configured by DAMSONBEAM_CONFIG.";
    damsonbeam_market::program("warden", about, run)
}
