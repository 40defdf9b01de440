//! What clients sent and were answered, what backends ran, and the rules that the two must keep.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;
use std::time::Instant;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The routes of the soak, one for each kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Read,
    Change,
    Upload,
}

impl RequestKind {
    pub fn prefix(self) -> &'static str {
        match self {
            RequestKind::Read => "/read/",
            RequestKind::Change => "/change/",
            RequestKind::Upload => "/upload/",
        }
    }
}

/// Returns the id of a request. It states the length of the body, so that a backend knows which body is due.
pub fn request_id(client: usize, number: usize, body_bytes: usize) -> String {
    format!("q{client}-{number}-{body_bytes}")
}

/// Returns the body that belongs to a request id; no two requests share a body.
pub fn body_of(id: &str) -> Vec<u8> {
    let length = id
        .rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    id.bytes().cycle().take(length).collect()
}

/// Returns the body of a backend's answer to a request.
pub fn answer_body(id: &str) -> String {
    format!("answer to {id}, whole")
}

/// A request that a client sent.
struct SentRequest {
    kind: RequestKind,
    sent_at: Instant,
    /// Whether the client leaves before it has the answer.
    client_leaves: bool,
    /// The status of the complete answer, if there was one.
    status: Option<u16>,
}

/// How much of a request a backend had read when it began to work on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkStart {
    Head,
    CompleteRequest,
}

/// A request that a backend ran, or had begun to work on.
struct Run {
    id: String,
    backend: String,
    at: Instant,
    start: WorkStart,
}

/// A rule that was broken, with the request and what was seen.
#[derive(Debug)]
pub enum Break {
    /// A request ran that had been refused with a promise.
    Refused(String),
    /// A request that must not be repeated ran more than once.
    Twice(String),
    /// A backend ran something that no client had sent.
    Unasked(String),
    /// A client received an answer that is not the backend's to its request.
    Mixed(String),
    /// A request ran and got no complete answer, though nothing but planned work was under way.
    Lost(String),
}

/// What may have happened to the processes and backends of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disruptions {
    All,
    /// Ends in order, reloads, changes and drained backends only.
    Planned,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Break::Refused(seen) => write!(f, "REFUSED: {seen}"),
            Break::Twice(seen) => write!(f, "TWICE: {seen}"),
            Break::Unasked(seen) => write!(f, "UNASKED: {seen}"),
            Break::Mixed(seen) => write!(f, "MIXED: {seen}"),
            Break::Lost(seen) => write!(f, "LOST: {seen}"),
        }
    }
}

/// The record of one soak.
#[derive(Default)]
pub struct History {
    requests: Mutex<HashMap<String, SentRequest>>,
    runs: Mutex<Vec<Run>>,
    breaks: Mutex<Vec<Break>>,
}

impl History {
    pub fn record_sent(&self, id: &str, kind: RequestKind, client_leaves: bool) {
        let request = SentRequest {
            kind,
            sent_at: Instant::now(),
            client_leaves,
            status: None,
        };
        let mut requests = self.requests.lock().expect("not poisoned");
        requests.insert(id.into(), request);
    }

    /// Records the complete answer to a request.
    pub fn record_answer(&self, id: &str, status: u16, has_seal: bool, body: &[u8]) {
        let mut requests = self.requests.lock().expect("not poisoned");
        if let Some(request) = requests.get_mut(id) {
            request.status = Some(status);
        }
        let is_success = (200..300).contains(&status);
        if is_success && (!has_seal || body != answer_body(id).as_bytes()) {
            let body = String::from_utf8_lossy(body);
            let seen = format!("{id} got {status}, seal {has_seal}, with the body {body:?}");
            self.record_break(Break::Mixed(seen));
        }
    }

    /// Records that a backend has begun to work on a request, which counts as a run.
    pub fn record_run(&self, id: &str, backend: &str, start: WorkStart) {
        let run = Run {
            id: id.into(),
            backend: backend.into(),
            at: Instant::now(),
            start,
        };
        self.runs.lock().expect("not poisoned").push(run);
        if !self.requests.lock().expect("not poisoned").contains_key(id) {
            let seen = format!("{backend} ran {id}, which no client sent");
            self.record_break(Break::Unasked(seen));
        }
    }

    /// Records the whole body of a request that a backend runs.
    pub fn record_body(&self, id: &str, backend: &str, body: &[u8]) {
        let due = body_of(id);
        if due != body {
            let seen = format!(
                "{backend} ran {id} with {} bytes, of {} due",
                body.len(),
                due.len()
            );
            self.record_break(Break::Unasked(seen));
        }
    }

    /// Records the body that a backend has read to its end after it had refused the request.
    pub fn record_late_body(&self, id: &str, backend: &str, body: &[u8]) {
        if body_of(id) != body {
            let seen = format!("{backend} read other bytes than the body of {id} after its answer");
            self.record_break(Break::Unasked(seen));
        }
    }

    fn record_break(&self, found: Break) {
        self.breaks.lock().expect("not poisoned").push(found);
    }

    /// Returns how many requests got each status; `None` stands for those without a complete answer.
    pub fn statuses(&self) -> Vec<(Option<u16>, usize)> {
        let mut counts = HashMap::new();
        for request in self.requests.lock().expect("not poisoned").values() {
            *counts.entry(request.status).or_default() += 1;
        }
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_unstable();
        counts
    }

    /// Returns how many requests backends began to work on before they had read them whole.
    pub fn begun_at_head(&self) -> usize {
        let runs = self.runs.lock().expect("not poisoned");
        let begun = runs.iter().filter(|run| run.start == WorkStart::Head);
        begun.count()
    }

    /// Returns how many of the answered requests of a kind were answered with success, and how many were answered.
    pub fn served(&self, kind: RequestKind) -> (usize, usize) {
        let requests = self.requests.lock().expect("not poisoned");
        let statuses = requests
            .values()
            .filter(|request| request.kind == kind)
            .filter_map(|request| request.status);
        let statuses: Vec<u16> = statuses.collect();
        let successes = statuses
            .iter()
            .filter(|status| (200..300).contains(*status));
        (successes.count(), statuses.len())
    }

    /// Returns all rules that were broken; called once nothing can run any more.
    pub fn judge(&self, disruptions: Disruptions) -> Vec<Break> {
        let mut breaks = std::mem::take(&mut *self.breaks.lock().expect("not poisoned"));
        let runs = self.runs.lock().expect("not poisoned");
        let mut runs_by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs.iter() {
            runs_by_id.entry(&run.id).or_default().push(run);
        }
        for (id, request) in self.requests.lock().expect("not poisoned").iter() {
            let Some(runs) = runs_by_id.get(&**id) else {
                continue;
            };
            let status = request.status.unwrap_or(0);
            let seen = describe_runs(id, request, runs);
            if PROMISES.contains(&status) {
                breaks.push(Break::Refused(format!("{seen}, answered {status}")));
            }
            let is_unanswered = request.status.is_none() && !request.client_leaves;
            if disruptions == Disruptions::Planned && is_unanswered {
                breaks.push(Break::Lost(seen.clone()));
            }
            if request.kind != RequestKind::Read && runs.len() > 1 {
                breaks.push(Break::Twice(seen));
            }
        }
        breaks
    }
}

fn describe_runs(id: &str, request: &SentRequest, runs: &[&Run]) -> String {
    let runs: Vec<String> = runs
        .iter()
        .map(|run| {
            let after = run.at.saturating_duration_since(request.sent_at);
            format!("{} after {after:.3?} ({:?})", run.backend, run.start)
        })
        .collect();
    format!("{id} ({:?}) ran at {}", request.kind, runs.join(", "))
}
