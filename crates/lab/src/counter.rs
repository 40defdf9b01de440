//! A simulated shared counter, implemented from the platform's protocol of text lines: the reply to
//! `tally NAME ADD LIFE_MS` is `ok TOTAL`, the reply to `ping` is `pong`. Faults are injected at run time.
//!
//! Each gateway connects to its own address, called a front, and each front is assigned to one store. This models the
//! failures of the counter: in a split, two fronts use two stores; in a partition, one front does not reply; when the
//! counter is replaced, a store is cleared.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How a front handles connections and calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FrontMode {
    /// Replies to each call after this delay.
    Up(Duration),
    /// Closes every connection, as after the death of the process.
    Dead,
    /// Reads calls and never replies, as when the network drops all packets.
    Silent,
}

/// Totals by name, with the time at which each expires.
#[derive(Default)]
pub struct Store {
    totals: HashMap<String, (f64, Instant)>,
}

impl Store {
    /// Adds `add` to the total of `name` and returns the new total. A name expires `lifetime` after its first call, and
    /// later calls do not extend this time; the protocol allows 60 s at most.
    pub fn tally(&mut self, name: &str, add: f64, lifetime: Duration, now: Instant) -> f64 {
        self.totals.retain(|_, (_, expires_at)| *expires_at > now);
        let lifetime = lifetime.clamp(Duration::from_millis(1), Duration::from_secs(60));
        let entry = self
            .totals
            .entry(name.to_string())
            .or_insert((0.0, now + lifetime));
        entry.0 += add;
        entry.0
    }

    /// Returns the number of names, including names that have expired since the last call of [`Store::tally`].
    pub fn len(&self) -> usize {
        self.totals.len()
    }

    /// Returns whether the store has no names.
    pub fn is_empty(&self) -> bool {
        self.totals.is_empty()
    }
}

/// A `tally` call that reached a store.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    /// Index of the front that received the call.
    pub front: usize,
    /// Name of the count.
    pub name: String,
    /// Amount added.
    pub add: f64,
    /// Total after the call.
    pub total: f64,
}

/// State that all fronts share.
struct CounterState {
    stores: Vec<Store>,
    /// Store index and mode of each front.
    fronts: Vec<(usize, FrontMode)>,
    calls: Vec<RecordedCall>,
}

/// A running simulated counter whose fronts listen on 127.0.0.1 for as long as the Tokio runtime runs.
pub struct Counter {
    state: Arc<Mutex<CounterState>>,
    /// Addresses of the fronts, by index.
    pub front_addresses: Vec<SocketAddr>,
    mode_changes: watch::Sender<u64>,
}

impl Counter {
    /// Starts a counter with `fronts` fronts, all assigned to store 0 and replying without delay, and at least one
    /// store.
    ///
    /// # Errors
    /// Returns the error where an address cannot be bound.
    pub async fn start(fronts: usize, stores: usize) -> std::io::Result<Counter> {
        let state = Arc::new(Mutex::new(CounterState {
            stores: (0..stores.max(1)).map(|_| Store::default()).collect(),
            fronts: vec![(0, FrontMode::Up(Duration::ZERO)); fronts],
            calls: Vec::new(),
        }));
        let (mode_changes, _) = watch::channel(0);
        let mut front_addresses = Vec::new();
        for front in 0..fronts {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            front_addresses.push(listener.local_addr()?);
            tokio::spawn(accept_connections(
                listener,
                front,
                state.clone(),
                mode_changes.subscribe(),
            ));
        }
        Ok(Counter {
            state,
            front_addresses,
            mode_changes,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CounterState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets the mode of a front, also for its open connections.
    pub fn set_mode(&self, front: usize, mode: FrontMode) {
        self.lock().fronts[front].1 = mode;
        self.mode_changes.send_modify(|n| *n += 1);
    }

    /// Assigns a front to another store.
    pub fn set_store(&self, front: usize, store: usize) {
        self.lock().fronts[front].0 = store;
        self.mode_changes.send_modify(|n| *n += 1);
    }

    /// Removes all counts of a store, as when the counter is replaced by a new process.
    pub fn clear_store(&self, store: usize) {
        self.lock().stores[store] = Store::default();
    }

    /// Returns the index of the store to which a front is assigned.
    pub fn store_of(&self, front: usize) -> usize {
        self.lock().fronts[front].0
    }

    /// Returns a copy of all recorded calls.
    pub fn calls(&self) -> Vec<RecordedCall> {
        self.lock().calls.clone()
    }

    /// Returns the number of names in a store.
    pub fn name_count(&self, store: usize) -> usize {
        self.lock().stores[store].len()
    }
}

async fn accept_connections(
    listener: TcpListener,
    front: usize,
    state: Arc<Mutex<CounterState>>,
    mode_changes: watch::Receiver<u64>,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let mode = state.lock().unwrap_or_else(|e| e.into_inner()).fronts[front].1;
        if mode == FrontMode::Dead {
            // The connection closes before any call, which clients handle like a refused connection.
            drop(socket);
            continue;
        }
        tokio::spawn(serve_connection(
            socket,
            front,
            state.clone(),
            mode_changes.clone(),
        ));
    }
}

async fn serve_connection(
    socket: TcpStream,
    front: usize,
    state: Arc<Mutex<CounterState>>,
    mut mode_changes: watch::Receiver<u64>,
) {
    socket.set_nodelay(true).ok();
    let (read, mut write) = socket.into_split();
    let mut lines = BufReader::new(read).lines();
    loop {
        let line = tokio::select! {
            line = lines.next_line() => line,
            _ = mode_changes.changed() => {
                let mode = state.lock().unwrap_or_else(|e| e.into_inner()).fronts[front].1;
                if mode == FrontMode::Dead { return } else { continue }
            }
        };
        let Ok(Some(line)) = line else { return };
        let (store, mode) = state.lock().unwrap_or_else(|e| e.into_inner()).fronts[front];
        let delay = match mode {
            FrontMode::Dead => return,
            FrontMode::Silent => continue,
            FrontMode::Up(delay) => delay,
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let reply = execute(&line, front, store, &state);
        if write.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Executes a protocol line that `front` received and returns the reply line.
fn execute(line: &str, front: usize, store: usize, state: &Mutex<CounterState>) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["ping"] => "pong\r\n".into(),
        ["tally", name, add, lifetime] if name.len() <= 64 => {
            let (Ok(add), Ok(lifetime)) = (add.parse::<f64>(), lifetime.parse::<u64>()) else {
                return "error\r\n".into();
            };
            let mut state = state.lock().unwrap_or_else(|e| e.into_inner());
            let total = state.stores[store].tally(
                name,
                add,
                Duration::from_millis(lifetime.max(1)),
                Instant::now(),
            );
            state.calls.push(RecordedCall {
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
