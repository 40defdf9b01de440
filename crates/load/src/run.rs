//! Open-loop load: each firm's invocations arrive by a Poisson process from a seeded source, whatever the
//! answers; every invocation's one answer (or none, within the client's patience) is recorded.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use tokio::time::Instant;

use crate::profile::Profile;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Succeeded,
    Throttled,
    Errored,
    /// Its connection ended before its answer, or in it.
    Cut,
    /// Nothing came within the client's patience.
    None,
    /// The gateway took no connection: it never had the invocation.
    NotTaken,
}

impl Answer {
    pub fn name(self) -> &'static str {
        match self {
            Answer::Succeeded => "succeeded",
            Answer::Throttled => "throttled",
            Answer::Errored => "errored",
            Answer::Cut => "cut",
            Answer::None => "none",
            Answer::NotTaken => "not-taken",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Record {
    pub inv: String,
    pub firm: usize,
    pub gateway: usize,
    pub units: u32,
    /// From the start of the run.
    pub sent: Duration,
    pub took: Duration,
    pub answer: Answer,
}

/// Runs the profile against the gateways; returns when every invocation is answered or given up.
pub async fn run(profile: &Profile, gateways: &[SocketAddr]) -> Vec<Record> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).pool_idle_timeout(Duration::from_secs(5)).build(connector);
    let (records, start) = (Arc::new(Mutex::new(Vec::new())), Instant::now());
    let mut firms = Vec::new();
    for (f, firm) in profile.firms.iter().enumerate() {
        let (profile, gateways, client, records) =
            (profile.clone(), gateways.to_vec(), client.clone(), records.clone());
        let mut rng =
            ChaCha8Rng::seed_from_u64(profile.seed ^ (f as u64 + 1).wrapping_mul(0x2545_f491_4f6c_dd1d));
        let firm = firm.clone();
        firms.push(tokio::spawn(async move {
            let (n, mut count, mut calls) = (gateways.len(), 0u64, Vec::new());
            let first = (firm.id % n as u64) as usize;
            let mut at = Duration::ZERO;
            loop {
                let rate = profile.rate(&firm, at);
                let Ok(gaps) =
                    Exp::new(rate).map_err(|_| ()).and_then(|e| if rate > 0.0 { Ok(e) } else { Err(()) })
                else {
                    at += Duration::from_millis(100); // No arrivals now; look again soon.
                    continue;
                };
                at += Duration::from_secs_f64(gaps.sample(&mut rng));
                if at >= profile.lasting {
                    break;
                }
                tokio::time::sleep_until(start + at).await;
                count += 1;
                let g = (first + rng.random_range(0..n)) % n;
                let inv = format!("{:08x}{:08x}", f as u32 + 1, count as u32);
                let request = Request::get(format!("http://{}/{}", gateways[g], firm.operation))
                    .header("host", "backend.local")
                    .header("x-correlation-id", &inv)
                    .header("x-tariff", &profile.plans[firm.plan].name)
                    .header("x-subscriber", format!("{:016x}", firm.id))
                    .header("x-time-left-ms", profile.patience.as_millis().to_string())
                    .header("x-weight", format!("units={},spread={n},first={first}", firm.units))
                    .body(Empty::new());
                let Ok(request) = request else { continue };
                let (client, records, patience, units) =
                    (client.clone(), records.clone(), profile.patience, firm.units);
                let sent = at;
                calls.push(tokio::spawn(async move {
                    let began = Instant::now();
                    let answer = match tokio::time::timeout(patience, client.request(request)).await {
                        Err(_) => Answer::None,
                        Ok(Err(e)) if e.is_connect() => Answer::NotTaken,
                        Ok(Err(_)) => Answer::Cut,
                        Ok(Ok(r)) => {
                            let status = r.status().as_u16();
                            // Read whole, so that the connection goes back to the pool.
                            let whole = r.into_body().collect().await.is_ok();
                            match status {
                                _ if !whole => Answer::Cut,
                                200 => Answer::Succeeded,
                                429 | 503 => Answer::Throttled,
                                _ => Answer::Errored,
                            }
                        }
                    };
                    let record =
                        Record { inv, firm: f, gateway: g, units, sent, took: began.elapsed(), answer };
                    records.lock().unwrap_or_else(|e| e.into_inner()).push(record);
                }));
            }
            for call in calls {
                call.await.ok();
            }
        }));
    }
    for firm in firms {
        firm.await.ok();
    }
    let mut all = std::mem::take(&mut *records.lock().unwrap_or_else(|e| e.into_inner()));
    all.sort_by_key(|r| r.sent);
    all
}
