//! Stand-in backends, from the platform's protocol: HTTP/1.1, the request's `X-Correlation-Id` echoed in the
//! answer's body. Each logs every request it receives; its faults are set while it runs.

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

/// What a backend does; changed while it runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Median answer time; times spread log-normally with `spread` (sigma of the log).
    pub median: Duration,
    pub spread: f64,
    /// Parts of requests answered 500, whose answers are lost (done, then the connection ends), and reset
    /// at once (not run).
    pub fail: f64,
    pub lose: f64,
    pub reset: f64,
    /// Turns away all new work with 503 and `X-Unprocessed: 1`.
    pub draining: bool,
    /// Slower by this factor until `cold_until`.
    pub cold_factor: f64,
    pub cold_until: Option<Instant>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            median: Duration::from_millis(20),
            spread: 0.3,
            fail: 0.0,
            lose: 0.0,
            reset: 0.0,
            draining: false,
            cold_factor: 1.0,
            cold_until: None,
        }
    }
}

/// One request as the backend saw it.
#[derive(Clone, Debug)]
pub struct Received {
    pub backend: usize,
    pub id: String,
    pub path: String,
    pub at: Instant,
    /// `served`, `failed`, `lost`, `reset`, `turned-away`.
    pub outcome: &'static str,
}

struct State {
    behaviour: Behaviour,
    rng: ChaCha8Rng,
}

pub struct Backend {
    pub at: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Backend {
    pub fn set(&self, change: impl FnOnce(&mut Behaviour)) {
        change(
            &mut self
                .state
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .behaviour,
        );
    }
}

/// Connections to all backends together.
#[derive(Default)]
pub struct Connections {
    opened: AtomicUsize,
    open: AtomicUsize,
    most: AtomicUsize,
}

impl Connections {
    /// Opened so far, and the most that were open at once.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.opened.load(Ordering::Relaxed),
            self.most.load(Ordering::Relaxed),
        )
    }

    fn begin(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(open, Ordering::Relaxed);
    }

    fn end(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The fleet and the one log of what all of them received.
pub struct Fleet {
    pub connections: Arc<Connections>,
    pub backends: Vec<Backend>,
    pub log: Arc<Mutex<Vec<Received>>>,
}

impl Fleet {
    pub async fn start(n: usize, seed: u64, behaviour: Behaviour) -> std::io::Result<Fleet> {
        let log = Arc::new(Mutex::new(Vec::new()));
        let (mut backends, connections) = (Vec::new(), Arc::<Connections>::default());
        for i in 0..n {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let at = listener.local_addr()?;
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (i as u64).wrapping_mul(0x9e37_79b9));
            let state = Arc::new(Mutex::new(State {
                behaviour: behaviour.clone(),
                rng,
            }));
            tokio::spawn(accept(
                listener,
                i,
                state.clone(),
                log.clone(),
                connections.clone(),
            ));
            backends.push(Backend { at, state });
        }
        Ok(Fleet {
            connections,
            backends,
            log,
        })
    }

    pub fn received(&self) -> Vec<Received> {
        self.log.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

async fn accept(
    listener: TcpListener,
    i: usize,
    state: Arc<Mutex<State>>,
    log: Arc<Mutex<Vec<Received>>>,
    connections: Arc<Connections>,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        socket.set_nodelay(true).ok();
        let (state, log, connections) = (state.clone(), log.clone(), connections.clone());
        connections.begin();
        tokio::spawn(async move {
            let service = service_fn(move |request| handle(request, i, state.clone(), log.clone()));
            http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service)
                .await
                .ok();
            connections.end();
        });
    }
}

/// What to do with one request, drawn at its arrival.
enum Fate {
    Serve(Duration),
    Fail(Duration),
    Lose(Duration),
    Reset,
    TurnAway,
}

fn fate(state: &Mutex<State>) -> Fate {
    let mut s = state.lock().unwrap_or_else(|e| e.into_inner());
    let b = s.behaviour.clone();
    if b.draining {
        return Fate::TurnAway;
    }
    let cold = if b.cold_until.is_some_and(|t| Instant::now() < t) {
        b.cold_factor
    } else {
        1.0
    };
    let times = LogNormal::new(b.median.as_secs_f64().max(1e-6).ln(), b.spread.max(0.0));
    let time = times
        .map_or(b.median, |d| Duration::from_secs_f64(d.sample(&mut s.rng)))
        .mul_f64(cold);
    let draw: f64 = s.rng.random();
    if draw < b.reset {
        Fate::Reset
    } else if draw < b.reset + b.lose {
        Fate::Lose(time)
    } else if draw < b.reset + b.lose + b.fail {
        Fate::Fail(time)
    } else {
        Fate::Serve(time)
    }
}

#[derive(Debug)]
struct Ended;

impl std::fmt::Display for Ended {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection ended by the stand-in")
    }
}

impl std::error::Error for Ended {}

async fn handle(
    request: Request<Incoming>,
    i: usize,
    state: Arc<Mutex<State>>,
    log: Arc<Mutex<Vec<Received>>>,
) -> Result<Response<Full<Bytes>>, Ended> {
    let id = request
        .headers()
        .get("x-correlation-id")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_string();
    let path = request.uri().path().to_string();
    let at = Instant::now();
    let fate = if id.is_empty() {
        Fate::Serve(Duration::ZERO)
    } else {
        fate(&state)
    };
    let outcome = match &fate {
        Fate::Serve(_) => "served",
        Fate::Fail(_) => "failed",
        Fate::Lose(_) => "lost",
        Fate::Reset => "reset",
        Fate::TurnAway => "turned-away",
    };
    log.lock()
        .unwrap_or_else(|e| e.into_inner())
        .push(Received {
            backend: i,
            id: id.clone(),
            path,
            at,
            outcome,
        });
    let answer = |status: StatusCode, body: String| {
        let mut r = Response::new(Full::new(Bytes::from(body)));
        *r.status_mut() = status;
        r
    };
    match fate {
        Fate::Serve(t) => {
            tokio::time::sleep(t).await;
            let status = if id.is_empty() {
                StatusCode::NOT_FOUND
            } else {
                StatusCode::OK
            };
            Ok(answer(status, id))
        }
        Fate::Fail(t) => {
            tokio::time::sleep(t).await;
            Ok(answer(StatusCode::INTERNAL_SERVER_ERROR, String::new()))
        }
        Fate::Lose(t) => {
            tokio::time::sleep(t).await;
            Err(Ended)
        }
        Fate::Reset => Err(Ended),
        Fate::TurnAway => {
            let mut r = answer(StatusCode::SERVICE_UNAVAILABLE, String::new());
            r.headers_mut().insert(
                "x-unprocessed",
                hyper::header::HeaderValue::from_static("1"),
            );
            Ok(r)
        }
    }
}
