//! Simulated backends, implemented from the platform's protocol: HTTP/1.1 servers that return the `X-Correlation-Id`
//! of the request in the response body. Each backend logs every request that it receives. Faults are injected at run
//! time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use tokio::net::TcpListener;

/// Latency and faults of a backend; can be changed at run time.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Median response time; response times have a log-normal distribution.
    pub median_latency: Duration,
    /// Standard deviation of the logarithm of the response time.
    pub latency_sigma: f64,
    /// Fraction of requests answered with status 500.
    pub fail_share: f64,
    /// Fraction of requests that are executed and whose connection then closes without a response.
    pub lose_share: f64,
    /// Fraction of requests whose connection closes immediately, without execution.
    pub reset_share: f64,
    /// Whether the backend rejects all new requests with 503 and `X-Unprocessed: 1`.
    pub draining: bool,
    /// Factor on the response time until `slow_until`.
    pub slowdown_factor: f64,
    /// End of the period in which `slowdown_factor` applies.
    pub slow_until: Option<Instant>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            median_latency: Duration::from_millis(20),
            latency_sigma: 0.3,
            fail_share: 0.0,
            lose_share: 0.0,
            reset_share: 0.0,
            draining: false,
            slowdown_factor: 1.0,
            slow_until: None,
        }
    }
}

/// A request that a backend received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Index of the backend.
    pub backend: usize,
    /// Value of the `X-Correlation-Id` header; empty where the header is missing.
    pub correlation_id: String,
    /// Path of the request.
    pub path: String,
    /// Time of arrival.
    pub received_at: Instant,
    /// `served`, `failed`, `lost`, `reset` or `turned-away`.
    pub outcome: &'static str,
}

struct State {
    behaviour: Behaviour,
    rng: ChaCha8Rng,
}

/// A running simulated backend.
pub struct Backend {
    /// Address on which the backend listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Backend {
    /// Changes the latency and the faults of the backend.
    pub fn update(&self, change: impl FnOnce(&mut Behaviour)) {
        change(
            &mut self
                .state
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .behaviour,
        );
    }
}

/// Connection counts, summed over all backends.
#[derive(Default)]
pub struct ConnectionCounts {
    opened: AtomicUsize,
    open: AtomicUsize,
    max_open: AtomicUsize,
}

impl ConnectionCounts {
    /// Returns the number of connections opened so far and the maximum number open at the same time.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.opened.load(Ordering::Relaxed),
            self.max_open.load(Ordering::Relaxed),
        )
    }

    fn record_open(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_open.fetch_max(open, Ordering::Relaxed);
    }

    fn record_close(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All simulated backends, with one common request log.
pub struct Fleet {
    /// Counts of the connections to all backends.
    pub connections: Arc<ConnectionCounts>,
    /// The backends, by index.
    pub backends: Vec<Backend>,
    /// Requests that the backends received, in order of arrival.
    pub log: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl Fleet {
    /// Starts `count` backends on free ports of 127.0.0.1. The random numbers of each backend derive from `seed` and
    /// its index.
    ///
    /// # Errors
    /// Returns the error where an address cannot be bound.
    pub async fn start(count: usize, seed: u64, behaviour: Behaviour) -> std::io::Result<Fleet> {
        let log = Arc::new(Mutex::new(Vec::new()));
        let (mut backends, connections) = (Vec::new(), Arc::<ConnectionCounts>::default());
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64).wrapping_mul(0x9e37_79b9));
            let state = Arc::new(Mutex::new(State {
                behaviour: behaviour.clone(),
                rng,
            }));
            tokio::spawn(accept_connections(
                listener,
                index,
                state.clone(),
                log.clone(),
                connections.clone(),
            ));
            backends.push(Backend { address, state });
        }
        Ok(Fleet {
            connections,
            backends,
            log,
        })
    }

    /// Returns a copy of the request log.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.log.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

async fn accept_connections(
    listener: TcpListener,
    index: usize,
    state: Arc<Mutex<State>>,
    log: Arc<Mutex<Vec<ReceivedRequest>>>,
    connections: Arc<ConnectionCounts>,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        socket.set_nodelay(true).ok();
        let (state, log, connections) = (state.clone(), log.clone(), connections.clone());
        connections.record_open();
        tokio::spawn(async move {
            let service =
                service_fn(move |request| handle(request, index, state.clone(), log.clone()));
            http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service)
                .await
                .ok();
            connections.record_close();
        });
    }
}

/// How a backend handles a request; drawn at random when the request arrives. Durations are response times.
enum Outcome {
    Serve(Duration),
    Fail(Duration),
    Lose(Duration),
    Reset,
    Reject,
}

fn draw_outcome(state: &Mutex<State>) -> Outcome {
    let mut s = state.lock().unwrap_or_else(|e| e.into_inner());
    let b = s.behaviour.clone();
    if b.draining {
        return Outcome::Reject;
    }
    let slowdown = if b.slow_until.is_some_and(|t| Instant::now() < t) {
        b.slowdown_factor
    } else {
        1.0
    };
    let distribution = LogNormal::new(
        b.median_latency.as_secs_f64().max(1e-6).ln(),
        b.latency_sigma.max(0.0),
    );
    let latency = distribution
        .map_or(b.median_latency, |d| {
            Duration::from_secs_f64(d.sample(&mut s.rng))
        })
        .mul_f64(slowdown);
    let draw: f64 = s.rng.random();
    if draw < b.reset_share {
        Outcome::Reset
    } else if draw < b.reset_share + b.lose_share {
        Outcome::Lose(latency)
    } else if draw < b.reset_share + b.lose_share + b.fail_share {
        Outcome::Fail(latency)
    } else {
        Outcome::Serve(latency)
    }
}

/// Makes `hyper` close the connection without a response.
#[derive(Debug)]
struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by the simulated backend")
    }
}

impl std::error::Error for ConnectionAborted {}

async fn handle(
    request: Request<Incoming>,
    index: usize,
    state: Arc<Mutex<State>>,
    log: Arc<Mutex<Vec<ReceivedRequest>>>,
) -> Result<Response<Full<Bytes>>, ConnectionAborted> {
    let id = request
        .headers()
        .get("x-correlation-id")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_string();
    let path = request.uri().path().to_string();
    let received_at = Instant::now();
    let drawn = if id.is_empty() {
        Outcome::Serve(Duration::ZERO)
    } else {
        draw_outcome(&state)
    };
    let outcome = match &drawn {
        Outcome::Serve(_) => "served",
        Outcome::Fail(_) => "failed",
        Outcome::Lose(_) => "lost",
        Outcome::Reset => "reset",
        Outcome::Reject => "turned-away",
    };
    log.lock()
        .unwrap_or_else(|e| e.into_inner())
        .push(ReceivedRequest {
            backend: index,
            correlation_id: id.clone(),
            path,
            received_at,
            outcome,
        });
    let response = |status: StatusCode, body: String| {
        let mut r = Response::new(Full::new(Bytes::from(body)));
        *r.status_mut() = status;
        r
    };
    match drawn {
        Outcome::Serve(t) => {
            tokio::time::sleep(t).await;
            let status = if id.is_empty() {
                StatusCode::NOT_FOUND
            } else {
                StatusCode::OK
            };
            Ok(response(status, id))
        }
        Outcome::Fail(t) => {
            tokio::time::sleep(t).await;
            Ok(response(StatusCode::INTERNAL_SERVER_ERROR, String::new()))
        }
        Outcome::Lose(t) => {
            tokio::time::sleep(t).await;
            Err(ConnectionAborted)
        }
        Outcome::Reset => Err(ConnectionAborted),
        Outcome::Reject => {
            let mut r = response(StatusCode::SERVICE_UNAVAILABLE, String::new());
            r.headers_mut().insert(
                "x-unprocessed",
                hyper::header::HeaderValue::from_static("1"),
            );
            Ok(r)
        }
    }
}
