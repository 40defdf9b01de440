//! Load on gateways from a seeded source: open loop (each firm's invocations arrive by a Poisson process,
//! whatever the answers) or closed (so many users a firm, each asking again once answered). Every
//! invocation's one final answer, or none within the client's patience, is recorded.
//!
//! An invocation's time runs from when it was due, not from when the tool got round to it or a connection
//! came free: a wait that the gateway causes is counted to it (no coordinated omission). What the tool itself
//! was late by is told apart ([`Reached`]), with a warning where the tool was the limit.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Empty;
use hyper::Request;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use tokio::time::Instant;

pub use crate::clients::Answer;
use crate::clients::Client;
use crate::profile::{Firm, Profile};

#[derive(Clone, Debug)]
pub struct Record {
    pub inv: String,
    pub firm: usize,
    /// Where its last try went.
    pub gateway: usize,
    pub units: u32,
    /// When it was due, from the start of the run.
    pub sent: Duration,
    pub took: Duration,
    pub answer: Answer,
    pub tries: u32,
}

/// How far the tool itself got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reached {
    /// First tries a second that were due, and that were begun in time.
    pub due: f64,
    pub begun: f64,
    /// How late the tool began a first try: 99 in 100, and the most.
    pub lag: Duration,
    pub lag_most: Duration,
    /// Connections that all clients opened.
    pub connections: u64,
}

/// A first try that began this late was held up by the tool, not by the gateway.
const LATE: Duration = Duration::from_millis(20);

impl Reached {
    /// Set where the tool was the limit: its figures then say little about the gateway.
    pub fn warning(&self) -> Option<String> {
        (self.begun < 0.99 * self.due).then(|| {
            format!(
                "warning: the tool was the limit: {:.0} of {:.0} a second were begun within {LATE:?} (99 in 100 within {:?})",
                self.begun, self.due, self.lag
            )
        })
    }
}

struct Shared {
    profile: Profile,
    gateways: Vec<SocketAddr>,
    start: Instant,
    records: Vec<Mutex<Vec<Record>>>,
    lags: Vec<Mutex<Histogram<u64>>>,
}

/// Runs the profile against the gateways; returns when every invocation is answered or given up, with how far
/// the tool itself got.
pub async fn measured(profile: &Profile, gateways: &[SocketAddr]) -> (Vec<Record>, Reached) {
    let n = profile.firms.len();
    let lag = || Mutex::new(Histogram::new_with_max(60_000_000, 3).expect("sound bounds"));
    let shared = Arc::new(Shared {
        profile: profile.clone(),
        gateways: gateways.to_vec(),
        start: Instant::now(),
        records: (0..n).map(|_| Mutex::default()).collect(),
        lags: (0..n).map(|_| lag()).collect(),
    });
    let (mut firms, mut all_clients) = (Vec::new(), Vec::new());
    for f in 0..n {
        let clients: Vec<_> = (0..profile.kind.clients.max(1))
            .map(|_| Arc::new(Client::new(&profile.kind)))
            .collect();
        all_clients.extend(clients.iter().cloned());
        let shared = shared.clone();
        firms.push(tokio::spawn(async move {
            match shared.profile.kind.users {
                Some(users) => closed(shared, f, clients, users).await,
                None => open(shared, f, clients).await,
            }
        }));
    }
    for firm in firms {
        firm.await.ok();
    }
    let mut all = Vec::new();
    let mut lags = Histogram::<u64>::new_with_max(60_000_000, 3).expect("sound bounds");
    for (records, lag) in shared.records.iter().zip(&shared.lags) {
        all.append(&mut records.lock().unwrap_or_else(|e| e.into_inner()));
        lags.add(&*lag.lock().unwrap_or_else(|e| e.into_inner()))
            .ok();
    }
    all.sort_by_key(|r| r.sent);
    let seconds = profile.lasting.as_secs_f64().max(1e-9);
    let in_time = lags.count_between(0, LATE.as_micros() as u64);
    let reached = Reached {
        due: lags.len() as f64 / seconds,
        begun: in_time as f64 / seconds,
        lag: Duration::from_micros(lags.value_at_quantile(0.99)),
        lag_most: Duration::from_micros(lags.max()),
        connections: all_clients
            .iter()
            .map(|c| c.opened.load(Ordering::Relaxed))
            .sum(),
    };
    (all, reached)
}

fn source(profile: &Profile, f: usize) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(profile.seed ^ (f as u64 + 1).wrapping_mul(0x2545_f491_4f6c_dd1d))
}

async fn open(shared: Arc<Shared>, f: usize, clients: Vec<Arc<Client>>) {
    let (profile, firm) = (&shared.profile, &shared.profile.firms[f]);
    let (mut rng, mut at, mut count, mut calls) =
        (source(profile, f), Duration::ZERO, 0u64, Vec::new());
    loop {
        let rate = profile.rate(firm, at);
        let Some(gaps) = (rate > 0.0).then(|| Exp::new(rate).ok()).flatten() else {
            at += Duration::from_millis(100); // No arrivals now; look again soon.
            if at >= profile.lasting {
                break;
            }
            continue;
        };
        at += Duration::from_secs_f64(gaps.sample(&mut rng));
        if at >= profile.lasting {
            break;
        }
        tokio::time::sleep_until(shared.start + at).await;
        count += 1;
        let (shared, client, seed) = (
            shared.clone(),
            clients[count as usize % clients.len()].clone(),
            rng.random(),
        );
        calls.push(tokio::spawn(async move {
            invoke(&shared, f, &client, count, at, seed).await
        }));
    }
    for call in calls {
        call.await.ok();
    }
}

async fn closed(shared: Arc<Shared>, f: usize, clients: Vec<Arc<Client>>, users: usize) {
    let (mut all, count) = (Vec::new(), Arc::<AtomicU64>::default());
    for user in 0..users {
        let (shared, client, count) = (
            shared.clone(),
            clients[user % clients.len()].clone(),
            count.clone(),
        );
        let mut rng = source(&shared.profile, f * 100_003 + user);
        all.push(tokio::spawn(async move {
            let think = shared.profile.kind.think;
            loop {
                tokio::time::sleep(think.mul_f64(2.0 * rng.random::<f64>())).await;
                let at = shared.start.elapsed();
                if at >= shared.profile.lasting {
                    return;
                }
                let n = 1 + count.fetch_add(1, Ordering::Relaxed);
                invoke(&shared, f, &client, n, at, rng.random()).await;
            }
        }));
    }
    for user in all {
        user.await.ok();
    }
}

/// One invocation with all its client's tries.
async fn invoke(shared: &Shared, f: usize, client: &Client, count: u64, at: Duration, seed: u64) {
    let (profile, firm) = (&shared.profile, &shared.profile.firms[f]);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let due = shared.start + at;
    let lag = due.elapsed().as_micros() as u64;
    shared.lags[f]
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .saturating_record(lag.max(1));
    let inv = format!("{:08x}{:08x}", f as u32 + 1, count as u32);
    let until = due + profile.patience;
    let mut tries = 0;
    let (mut gateway, mut answer);
    client.pays();
    loop {
        gateway =
            (firm.id as usize + rng.random_range(0..shared.gateways.len())) % shared.gateways.len();
        let (at, again, sent) = (shared.gateways[gateway], tries > 0, AtomicBool::new(false));
        tries += 1;
        // What it waited in its client's queue its client does not wait any more.
        let asks = || {
            sent.store(true, Ordering::Relaxed);
            let left = until.saturating_duration_since(Instant::now());
            request(shared, firm, at, &inv, left, again)
        };
        let Ok(tried) = tokio::time::timeout_at(until, client.ask(at, asks)).await else {
            answer = if sent.load(Ordering::Relaxed) {
                Answer::None
            } else {
                Answer::NotTaken
            };
            break;
        };
        answer = tried.answer;
        // Full jitter on a doubled wait; the gateway's own word where the client follows it.
        let wait = profile
            .kind
            .backoff
            .mul_f64(2f64.powi(tries as i32 - 1) * rng.random::<f64>());
        let wait = wait.max(
            tried
                .retry_after
                .filter(|_| profile.kind.follows)
                .unwrap_or_default(),
        );
        let over = answer == Answer::Succeeded || tries > profile.kind.retries;
        if over || Instant::now() + wait >= until || !client.may_retry() {
            break;
        }
        tokio::time::sleep(wait).await;
    }
    let record = Record {
        inv,
        firm: f,
        gateway,
        units: firm.units,
        sent: at,
        took: due.elapsed(),
        answer,
        tries,
    };
    shared.records[f]
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .push(record);
}

fn request(
    shared: &Shared,
    firm: &Firm,
    at: SocketAddr,
    inv: &str,
    left: Duration,
    again: bool,
) -> Request<Empty<Bytes>> {
    let n = shared.gateways.len();
    let mut request = Request::get(format!("/{}", firm.operation))
        .header("host", at.to_string())
        .header("x-correlation-id", inv)
        .header("x-tariff", &shared.profile.plans[firm.plan].name)
        .header("x-subscriber", format!("{:016x}", firm.id))
        .header("x-time-left-ms", left.as_millis().to_string())
        .header(
            "x-weight",
            format!(
                "units={},spread={n},first={}",
                firm.units,
                firm.id as usize % n
            ),
        );
    if again {
        request = request.header("x-repeat", "1");
    }
    request.body(Empty::new()).unwrap_or_default()
}
