//! Clients that keep their connections open for as long as a proxy serves them, and at times leave in the middle of a
//! request.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use damsonbeam_lab::http::HttpMessage;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::connection::reset_on_close;
use crate::history::{History, RequestKind, body_of, request_id};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client waits for an answer beyond the deadline that it states.
const EXTRA_WAIT: Duration = Duration::from_secs(1);
/// The longest time that a client waits before its next request after a refusal.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(150);
const DEADLINES_MS: [u64; 3] = [600, 1500, 3000];
/// The share of requests whose client leaves before it has the answer.
const LEAVING_SHARE: f64 = 0.05;
/// The longest time that a client waits before it leaves, once it has sent what it sends.
const MAX_DEPARTURE_MS: u64 = 40;
/// The share of clients that leave at a boundary of their request, of those that leave.
const BOUNDARY_SHARE: f64 = 0.5;
/// The distance from a boundary at which clients leave, in bytes.
const BOUNDARY_BYTES: usize = 40;
/// The length of a request's head, about.
const HEAD_BYTES: usize = 160;
/// The bytes of a body after which a proxy begins to send it on.
const BEGINNING_BYTES: usize = 64 << 10;
/// The share of uploads that are sent in pieces, with pauses between them.
const SLOW_SHARE: f64 = 0.3;
const MAX_PIECES: usize = 6;
const MAX_PAUSE_MS: u64 = 60;
/// The share of connections that a client closes after an answer.
const CLOSING_SHARE: f64 = 0.02;
const UPLOAD_BYTES: std::ops::Range<usize> = 70_000..260_000;
const CHANGE_BYTES: std::ops::Range<usize> = 1..2000;

/// A client with at most one open connection.
pub struct Client {
    number: usize,
    proxies: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    connection: Option<BufReader<TcpStream>>,
    history: Arc<History>,
    next_request: usize,
}

/// One request as its client sends it.
struct Request {
    id: String,
    kind: RequestKind,
    deadline_ms: u64,
    is_chunked: bool,
    /// The number of pieces in which the request is sent, with pauses between them.
    pieces: usize,
    departure: Option<Departure>,
}

/// How a client leaves before it has its answer.
struct Departure {
    /// The number of bytes of the request that it sends before.
    after_bytes: usize,
    kind: DepartureKind,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum DepartureKind {
    Close,
    Reset,
    /// The client closes its sending side only, and goes on reading.
    CloseSendingSide,
}

impl Request {
    fn head(&self, body_bytes: usize) -> String {
        let method = if self.kind == RequestKind::Read {
            "GET"
        } else {
            "POST"
        };
        let framing = match (self.kind, self.is_chunked) {
            (RequestKind::Read, _) => String::new(),
            (_, true) => "Transfer-Encoding: chunked\r\n".into(),
            (_, false) => format!("Content-Length: {body_bytes}\r\n"),
        };
        format!(
            "{method} {}x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer k1\r\n{framing}\r\n",
            self.kind.prefix(),
            self.id,
            self.deadline_ms
        )
    }

    /// Returns the bytes to send.
    fn bytes(&self) -> Vec<u8> {
        let body = body_of(&self.id);
        let mut bytes = self.head(body.len()).into_bytes();
        if self.kind == RequestKind::Read {
            return bytes;
        }
        if !self.is_chunked {
            bytes.extend(body);
            return bytes;
        }
        for chunk in body.chunks(20_000) {
            bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
            bytes.extend(chunk);
            bytes.extend(b"\r\n");
        }
        bytes.extend(b"0\r\n\r\n");
        bytes
    }
}

impl Departure {
    /// Leaves after a while: while the request is under way, or while the proxy still reads it. Returns the answer if one
    /// arrives all the same.
    fn leave(&self, mut connection: BufReader<TcpStream>, wait: Duration) -> Option<HttpMessage> {
        thread::sleep(wait);
        match self.kind {
            DepartureKind::Close => None,
            DepartureKind::Reset => {
                reset_on_close(connection.get_ref());
                None
            }
            DepartureKind::CloseSendingSide => {
                connection.get_ref().shutdown(Shutdown::Write).ok()?;
                HttpMessage::read(&mut connection)
            }
        }
    }
}

impl Client {
    pub fn new(number: usize, proxies: &[SocketAddr], seed: u64, history: &Arc<History>) -> Self {
        Client {
            number,
            proxies: proxies.to_vec(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            connection: None,
            history: history.clone(),
            next_request: 0,
        }
    }

    /// Sends requests until `stop` is set.
    pub fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            if self.connection.is_none() && !self.connect() {
                thread::sleep(Duration::from_millis(50));
                continue;
            }
            let request = self.next_request();
            match self.send(&request) {
                Some(answer) => self.handle_answer(&request, &answer),
                None => self.connection = None,
            }
        }
    }

    fn connect(&mut self) -> bool {
        let proxy = self.proxies[self.rng.random_range(0..self.proxies.len())];
        let socket = TcpStream::connect_timeout(&proxy, CONNECT_TIMEOUT).ok();
        self.connection = socket.map(BufReader::new);
        self.connection.is_some()
    }

    fn next_request(&mut self) -> Request {
        let (kind, body_bytes) = match self.rng.random_range(0..10) {
            0..5 => (RequestKind::Read, 0),
            5..8 => (RequestKind::Change, self.rng.random_range(CHANGE_BYTES)),
            _ => (RequestKind::Upload, self.rng.random_range(UPLOAD_BYTES)),
        };
        self.next_request += 1;
        let leaves = self.rng.random::<f64>() < LEAVING_SHARE;
        let is_slow = kind == RequestKind::Upload && self.rng.random::<f64>() < SLOW_SHARE;
        let pieces = if is_slow {
            self.rng.random_range(2..=MAX_PIECES)
        } else {
            1
        };
        Request {
            id: request_id(self.number, self.next_request, body_bytes),
            kind,
            deadline_ms: DEADLINES_MS[self.rng.random_range(0..DEADLINES_MS.len())],
            is_chunked: self.rng.random(),
            pieces,
            departure: leaves.then(|| self.departure(body_bytes)),
        }
    }

    fn departure(&mut self, body_bytes: usize) -> Departure {
        let kinds = [
            DepartureKind::Close,
            DepartureKind::Reset,
            DepartureKind::CloseSendingSide,
        ];
        let request_bytes = body_bytes + HEAD_BYTES;
        let boundaries = [
            HEAD_BYTES,
            HEAD_BYTES + BEGINNING_BYTES.min(body_bytes),
            request_bytes,
        ];
        let after_bytes = if self.rng.random::<f64>() < BOUNDARY_SHARE {
            let boundary = boundaries[self.rng.random_range(0..boundaries.len())];
            let earliest = boundary.saturating_sub(BOUNDARY_BYTES);
            self.rng.random_range(earliest..=boundary + BOUNDARY_BYTES)
        } else {
            self.rng.random_range(1..request_bytes + HEAD_BYTES)
        };
        Departure {
            after_bytes: after_bytes.max(1),
            kind: kinds[self.rng.random_range(0..kinds.len())],
        }
    }

    /// Sends a request and returns its complete answer; `None` if there is none or the client has left.
    fn send(&mut self, request: &Request) -> Option<HttpMessage> {
        let connection = self.connection.as_mut()?;
        let wait = Duration::from_millis(request.deadline_ms) + EXTRA_WAIT;
        connection.get_ref().set_read_timeout(Some(wait)).ok()?;
        connection.get_ref().set_write_timeout(Some(wait)).ok()?;
        let leaves = request.departure.is_some();
        self.history.record_sent(&request.id, request.kind, leaves);
        let bytes = request.bytes();
        let leaves_after = request.departure.as_ref().map(|d| d.after_bytes);
        let end = leaves_after.unwrap_or(bytes.len()).min(bytes.len());
        let mut is_sent = true;
        for (number, piece) in bytes[..end]
            .chunks(end.div_ceil(request.pieces))
            .enumerate()
        {
            if number > 0 {
                let pause_ms = self.rng.random_range(0..MAX_PAUSE_MS);
                thread::sleep(Duration::from_millis(pause_ms));
            }
            is_sent = is_sent && connection.get_mut().write_all(piece).is_ok();
        }
        if let Some(departure) = &request.departure {
            let wait_ms = self.rng.random_range(0..MAX_DEPARTURE_MS);
            let connection = self.connection.take()?;
            return departure.leave(connection, Duration::from_millis(wait_ms));
        }
        let answer = HttpMessage::read(connection)?;
        // A proxy may refuse an upload before it has read it, and close the connection.
        if !is_sent {
            self.connection = None;
        }
        Some(answer)
    }

    fn handle_answer(&mut self, request: &Request, answer: &HttpMessage) {
        let has_seal = answer.header("x-response-seal").is_some();
        self.history
            .record_answer(&request.id, answer.status(), has_seal, &answer.body);
        let closes = answer
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if closes || self.rng.random::<f64>() < CLOSING_SHARE {
            self.connection = None;
        }
        let retry_after = answer
            .header("retry-after")
            .and_then(|value| value.parse().ok());
        if let Some(seconds) = retry_after {
            thread::sleep(Duration::from_secs_f64(seconds).min(MAX_RETRY_DELAY));
        }
    }
}
