//! A stand-in for the shared counter, from the platform's protocol: text lines, `tally NAME ADD LIFE_MS`
//! answered `ok TOTAL`, `ping` answered `pong`. Its faults are set while it runs.
//!
//! Each gateway reaches it at an address of its own, a front; each front leads to one of the stores. So a
//! split is two fronts on two stores, a partition is one front cut, a replacement is a store emptied.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a front does with a connection and its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Front {
    /// Answers each call, after this long.
    Up(Duration),
    /// Ends every connection and refuses new ones: the process is dead.
    Dead,
    /// Takes calls and never answers: the link is cut silently.
    Silent,
}

/// One store of counts: names, their totals and when they are forgotten.
#[derive(Default)]
pub struct Store {
    names: HashMap<String, (f64, Instant)>,
}

impl Store {
    /// Adds and says the total; a new name lives `life` (60 s at most), as the protocol has it.
    pub fn tally(&mut self, name: &str, add: f64, life: Duration, now: Instant) -> f64 {
        self.names.retain(|_, (_, until)| *until > now);
        let life = life.clamp(Duration::from_millis(1), Duration::from_secs(60));
        let entry = self
            .names
            .entry(name.to_string())
            .or_insert((0.0, now + life));
        entry.0 += add;
        entry.0
    }
    pub fn len(&self) -> usize {
        self.names.len()
    }
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Every call that reached a store, for the record of an experiment.
#[derive(Clone, Debug)]
pub struct Call {
    pub front: usize,
    pub name: String,
    pub add: f64,
    pub total: f64,
}

struct Shared {
    stores: Vec<Store>,
    /// For each front: its store and what it does.
    fronts: Vec<(usize, Front)>,
    calls: Vec<Call>,
}

/// The running counter; its fronts listen on loopback until it is dropped.
pub struct Counter {
    shared: Arc<Mutex<Shared>>,
    pub fronts: Vec<SocketAddr>,
    changed: watch::Sender<u64>,
}

impl Counter {
    /// `fronts` addresses, all on store 0, all up with no delay.
    pub async fn start(fronts: usize, stores: usize) -> std::io::Result<Counter> {
        let shared = Arc::new(Mutex::new(Shared {
            stores: (0..stores.max(1)).map(|_| Store::default()).collect(),
            fronts: vec![(0, Front::Up(Duration::ZERO)); fronts],
            calls: Vec::new(),
        }));
        let (changed, _) = watch::channel(0);
        let mut addrs = Vec::new();
        for front in 0..fronts {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(listener.local_addr()?);
            tokio::spawn(accept(listener, front, shared.clone(), changed.subscribe()));
        }
        Ok(Counter {
            shared,
            fronts: addrs,
            changed,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets what a front does; connections open on it follow at once.
    pub fn set(&self, front: usize, does: Front) {
        self.lock().fronts[front].1 = does;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Leads a front to another store.
    pub fn route(&self, front: usize, store: usize) {
        self.lock().fronts[front].0 = store;
        self.changed.send_modify(|n| *n += 1);
    }

    /// A replacement that starts empty: all counts of the store are gone.
    pub fn empty(&self, store: usize) {
        self.lock().stores[store] = Store::default();
    }

    pub fn store_of(&self, front: usize) -> usize {
        self.lock().fronts[front].0
    }

    pub fn calls(&self) -> Vec<Call> {
        self.lock().calls.clone()
    }

    pub fn names(&self, store: usize) -> usize {
        self.lock().stores[store].len()
    }
}

async fn accept(
    listener: TcpListener,
    front: usize,
    shared: Arc<Mutex<Shared>>,
    changed: watch::Receiver<u64>,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let does = shared.lock().unwrap_or_else(|e| e.into_inner()).fronts[front].1;
        if does == Front::Dead {
            drop(socket); // As good as refused: the connection ends before any call.
            continue;
        }
        tokio::spawn(serve(socket, front, shared.clone(), changed.clone()));
    }
}

async fn serve(
    socket: TcpStream,
    front: usize,
    shared: Arc<Mutex<Shared>>,
    mut changed: watch::Receiver<u64>,
) {
    socket.set_nodelay(true).ok();
    let (read, mut write) = socket.into_split();
    let mut lines = BufReader::new(read).lines();
    loop {
        let line = tokio::select! {
            line = lines.next_line() => line,
            _ = changed.changed() => {
                let does = shared.lock().unwrap_or_else(|e| e.into_inner()).fronts[front].1;
                if does == Front::Dead { return } else { continue }
            }
        };
        let Ok(Some(line)) = line else { return };
        let (store, does) = shared.lock().unwrap_or_else(|e| e.into_inner()).fronts[front];
        let delay = match does {
            Front::Dead => return,
            Front::Silent => continue,
            Front::Up(delay) => delay,
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let answer = answer(&line, front, store, &shared);
        if write.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn answer(line: &str, front: usize, store: usize, shared: &Mutex<Shared>) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["ping"] => "pong\r\n".into(),
        ["tally", name, add, life] if name.len() <= 64 => {
            let (Ok(add), Ok(life)) = (add.parse::<f64>(), life.parse::<u64>()) else {
                return "error\r\n".into();
            };
            let mut s = shared.lock().unwrap_or_else(|e| e.into_inner());
            let total = s.stores[store].tally(
                name,
                add,
                Duration::from_millis(life.max(1)),
                Instant::now(),
            );
            s.calls.push(Call {
                front,
                name: name.to_string(),
                add,
                total,
            });
            format!("ok {total}\r\n")
        }
        _ => "error\r\n".into(),
    }
}
