//! Generates load on gateways from a seed, either in an open loop (the invocations of each customer arrive as a Poisson
//! process, independent of the answers) or in a closed loop (a number of users per customer, each of which sends the
//! next invocation after the answer). The final result of every invocation is recorded, also where no answer arrives
//! before the client timeout.
//!
//! The latency of an invocation counts from its due time and not from the time at which it was sent, so that it
//! includes delays that the gateway causes (no coordinated omission). Delays that the load generator causes are
//! measured separately in [`GeneratorStats`], with a warning where the generator was the bottleneck.

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

use crate::clients::Client;
pub use crate::clients::InvocationResult;
use crate::profile::{Firm, Profile};

/// The record of one invocation.
#[derive(Clone, Debug)]
pub struct Record {
    /// Correlation id, unique in the run.
    pub correlation_id: String,
    /// Index of the customer.
    pub firm: usize,
    /// Index of the gateway that the last try used.
    pub gateway: usize,
    /// Units of the invocation.
    pub units: u32,
    /// Due time, from the start of the run.
    pub due_at: Duration,
    /// Time from the due time to the final result.
    pub latency: Duration,
    /// Final result.
    pub result: InvocationResult,
    /// Number of tries.
    pub tries: u32,
}

/// Statistics of the load generator.
#[derive(Clone, Copy, Debug, Default)]
pub struct GeneratorStats {
    /// First tries per second that were due.
    pub due_per_s: f64,
    /// First tries per second that began within `MAX_START_LAG` of their due time.
    pub begun_per_s: f64,
    /// 99th percentile of the delay between the due time and the start of a first try.
    pub lag_p99: Duration,
    /// Maximum of this delay.
    pub lag_max: Duration,
    /// Number of connections that all clients opened.
    pub opened_connections: u64,
}

/// Maximum delay of a first try that counts as begun in time. A longer delay is caused by the load generator and not by
/// the gateway.
const MAX_START_LAG: Duration = Duration::from_millis(20);

impl GeneratorStats {
    /// Returns a warning where less than 99% of the first tries began in time. The load generator was then the
    /// bottleneck, and the results say little about the gateway.
    pub fn warning(&self) -> Option<String> {
        (self.begun_per_s < 0.99 * self.due_per_s).then(|| {
            format!(
                "warning: the load generator was the bottleneck: {:.0} of {:.0} first tries per second began within {MAX_START_LAG:?} (99% within {:?})",
                self.begun_per_s, self.due_per_s, self.lag_p99
            )
        })
    }
}

/// State that the tasks of a run share. The records and delays are indexed by customer.
struct RunState {
    profile: Profile,
    gateways: Vec<SocketAddr>,
    start: Instant,
    records: Vec<Mutex<Vec<Record>>>,
    lags: Vec<Mutex<Histogram<u64>>>,
}

/// Runs the profile against the gateways until every invocation has its final result. Returns the records, ordered by
/// due time, and the statistics of the load generator.
///
/// # Panics
/// Panics only where the constant bounds of the histograms are invalid.
pub async fn run_profile(
    profile: &Profile,
    gateways: &[SocketAddr],
) -> (Vec<Record>, GeneratorStats) {
    let firm_count = profile.firms.len();
    let new_histogram =
        || Mutex::new(Histogram::new_with_max(60_000_000, 3).expect("valid histogram bounds"));
    let state = Arc::new(RunState {
        profile: profile.clone(),
        gateways: gateways.to_vec(),
        start: Instant::now(),
        records: (0..firm_count).map(|_| Mutex::default()).collect(),
        lags: (0..firm_count).map(|_| new_histogram()).collect(),
    });
    let (mut firm_tasks, mut all_clients) = (Vec::new(), Vec::new());
    for firm_index in 0..firm_count {
        let clients: Vec<_> = (0..profile.client_options.clients.max(1))
            .map(|_| Arc::new(Client::new(&profile.client_options)))
            .collect();
        all_clients.extend(clients.iter().cloned());
        let state = state.clone();
        firm_tasks.push(tokio::spawn(async move {
            match state.profile.client_options.users {
                Some(users) => run_closed_loop(state, firm_index, clients, users).await,
                None => run_open_loop(state, firm_index, clients).await,
            }
        }));
    }
    for task in firm_tasks {
        task.await.ok();
    }
    let mut all = Vec::new();
    let mut lags = Histogram::<u64>::new_with_max(60_000_000, 3).expect("valid histogram bounds");
    for (records, lag) in state.records.iter().zip(&state.lags) {
        all.append(&mut records.lock().unwrap_or_else(|e| e.into_inner()));
        lags.add(&*lag.lock().unwrap_or_else(|e| e.into_inner()))
            .ok();
    }
    all.sort_by_key(|r| r.due_at);
    let seconds = profile.duration.as_secs_f64().max(1e-9);
    let in_time = lags.count_between(0, MAX_START_LAG.as_micros() as u64);
    let generator_stats = GeneratorStats {
        due_per_s: lags.len() as f64 / seconds,
        begun_per_s: in_time as f64 / seconds,
        lag_p99: Duration::from_micros(lags.value_at_quantile(0.99)),
        lag_max: Duration::from_micros(lags.max()),
        opened_connections: all_clients
            .iter()
            .map(|c| c.opened_connections.load(Ordering::Relaxed))
            .sum(),
    };
    (all, generator_stats)
}

/// Returns a random number generator seeded from the profile; each `stream` yields a different sequence.
fn seeded_rng(profile: &Profile, stream: usize) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(
        profile.seed ^ (stream as u64 + 1).wrapping_mul(0x2545_f491_4f6c_dd1d),
    )
}

/// Runs the invocations of a customer as a Poisson process.
async fn run_open_loop(state: Arc<RunState>, firm_index: usize, clients: Vec<Arc<Client>>) {
    let (profile, firm) = (&state.profile, &state.profile.firms[firm_index]);
    let (mut rng, mut at, mut count, mut invocations) = (
        seeded_rng(profile, firm_index),
        Duration::ZERO,
        0u64,
        Vec::new(),
    );
    loop {
        let rate = profile.rate(firm, at);
        let Some(interarrival) = (rate > 0.0).then(|| Exp::new(rate).ok()).flatten() else {
            at += Duration::from_millis(100); // The rate is 0; check again in 100 ms.
            if at >= profile.duration {
                break;
            }
            continue;
        };
        at += Duration::from_secs_f64(interarrival.sample(&mut rng));
        if at >= profile.duration {
            break;
        }
        tokio::time::sleep_until(state.start + at).await;
        count += 1;
        let (state, client, seed) = (
            state.clone(),
            clients[count as usize % clients.len()].clone(),
            rng.random(),
        );
        invocations.push(tokio::spawn(async move {
            invoke(&state, firm_index, &client, count, at, seed).await
        }));
    }
    for invocation in invocations {
        invocation.await.ok();
    }
}

/// Runs `users` users of a customer, each with one invocation at a time.
async fn run_closed_loop(
    state: Arc<RunState>,
    firm_index: usize,
    clients: Vec<Arc<Client>>,
    users: usize,
) {
    let (mut user_tasks, count) = (Vec::new(), Arc::<AtomicU64>::default());
    for user in 0..users {
        let (state, client, count) = (
            state.clone(),
            clients[user % clients.len()].clone(),
            count.clone(),
        );
        let mut rng = seeded_rng(&state.profile, firm_index * 100_003 + user);
        user_tasks.push(tokio::spawn(async move {
            let think = state.profile.client_options.think;
            loop {
                tokio::time::sleep(think.mul_f64(2.0 * rng.random::<f64>())).await;
                let at = state.start.elapsed();
                if at >= state.profile.duration {
                    return;
                }
                let number = 1 + count.fetch_add(1, Ordering::Relaxed);
                invoke(&state, firm_index, &client, number, at, rng.random()).await;
            }
        }));
    }
    for task in user_tasks {
        task.await.ok();
    }
}

/// Runs one invocation with its retries and records the result.
async fn invoke(
    state: &RunState,
    firm_index: usize,
    client: &Client,
    count: u64,
    at: Duration,
    seed: u64,
) {
    let (profile, firm) = (&state.profile, &state.profile.firms[firm_index]);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let due = state.start + at;
    let lag = due.elapsed().as_micros() as u64;
    state.lags[firm_index]
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .saturating_record(lag.max(1));
    let correlation_id = format!("{:08x}{:08x}", firm_index as u32 + 1, count as u32);
    let deadline = due + profile.patience;
    let mut tries = 0;
    let (mut gateway, mut result);
    client.add_retry_credit();
    loop {
        gateway =
            (firm.id as usize + rng.random_range(0..state.gateways.len())) % state.gateways.len();
        let (address, is_retry, sent) =
            (state.gateways[gateway], tries > 0, AtomicBool::new(false));
        tries += 1;
        // The time in the queue of the client counts towards the timeout, so the remaining time is computed when the
        // request is sent.
        let build_request = || {
            sent.store(true, Ordering::Relaxed);
            let left = deadline.saturating_duration_since(Instant::now());
            request(state, firm, address, &correlation_id, left, is_retry)
        };
        let Ok(try_result) =
            tokio::time::timeout_at(deadline, client.send(address, build_request)).await
        else {
            result = if sent.load(Ordering::Relaxed) {
                InvocationResult::TimedOut
            } else {
                InvocationResult::NotSent
            };
            break;
        };
        result = try_result.result;
        // Exponential backoff with full jitter, but not less than `Retry-After` where the client follows it.
        let wait = profile
            .client_options
            .backoff
            .mul_f64(2f64.powi(tries as i32 - 1) * rng.random::<f64>());
        let wait = wait.max(
            try_result
                .retry_after
                .filter(|_| profile.client_options.follows)
                .unwrap_or_default(),
        );
        let is_final =
            result == InvocationResult::Succeeded || tries > profile.client_options.retries;
        if is_final || Instant::now() + wait >= deadline || !client.take_retry_credit() {
            break;
        }
        tokio::time::sleep(wait).await;
    }
    let record = Record {
        correlation_id,
        firm: firm_index,
        gateway,
        units: firm.units,
        due_at: at,
        latency: due.elapsed(),
        result,
        tries,
    };
    state.records[firm_index]
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .push(record);
}

/// Builds the request of one try; `left` is the time until the client timeout.
fn request(
    state: &RunState,
    firm: &Firm,
    address: SocketAddr,
    correlation_id: &str,
    left: Duration,
    is_retry: bool,
) -> Request<Empty<Bytes>> {
    let gateway_count = state.gateways.len();
    let mut request = Request::get(format!("/{}", firm.operation))
        .header("host", address.to_string())
        .header("x-correlation-id", correlation_id)
        .header("x-tariff", &state.profile.plans[firm.plan].name)
        .header("x-subscriber", format!("{:016x}", firm.id))
        .header("x-time-left-ms", left.as_millis().to_string())
        .header(
            "x-weight",
            format!(
                "units={},spread={gateway_count},first={}",
                firm.units,
                firm.id as usize % gateway_count
            ),
        );
    if is_retry {
        request = request.header("x-repeat", "1");
    }
    request.body(Empty::new()).unwrap_or_default()
}
