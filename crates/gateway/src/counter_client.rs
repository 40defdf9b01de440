//! The counter: calls in text lines, one after another on one connection, answers in their order.

use std::collections::VecDeque;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use damsonbeam::interface::Outcome;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout};

use crate::clock::Clock;
use crate::log::log;
use crate::messages::*;

/// With calls out and nothing heard for this long at most, the connection is held for dead. It begins with
/// one call's time-out: later answers are of no use, and each call more that goes to a dead connection is
/// lost. It doubles with each connection that said nothing, or a slow counter would get little but those.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// An answer is a word and a number; a longer line is none.
const MAX_LINE_BYTES: usize = 128;

/// A call on its way, with the place in the stream where its last byte stands; none once it is given up,
/// for its answer still takes its turn.
struct SentCall {
    call: Option<CounterCall>,
    end: u64,
    at: Duration,
}

pub struct CounterClient {
    pub at: SocketAddr,
    pub timeout: Duration,
    pub connect_timeout: Duration,
    pub clock: Clock,
    pub dispatcher: mpsc::Sender<ToDispatcher>,
    pub mailbox: mpsc::Receiver<ToCounter>,
}

#[derive(Default)]
struct CallStream {
    unwritten: Vec<u8>,
    written: u64,
    end: u64,
    sent: VecDeque<SentCall>,
    last_heard: Duration,
    /// How long it may be silent.
    silence_limit: Duration,
    read: Vec<u8>,
}

impl CallStream {
    fn encode(&mut self, call: CounterCall) {
        use std::io::Write;
        let (before, keep) = (self.unwritten.len(), call.keep.as_millis().max(1));
        write!(
            self.unwritten,
            "tally {} {} {keep}\r\n",
            call.name, call.add
        )
        .expect("memory takes it");
        self.end += (self.unwritten.len() - before) as u64;
        self.sent.push_back(SentCall {
            at: call.at,
            call: Some(call),
            end: self.end,
        });
    }

    fn write(&mut self, socket: &OwnedWriteHalf) -> Result<(), Error> {
        while !self.unwritten.is_empty() {
            match socket.try_write(&self.unwritten) {
                Ok(n) => {
                    self.unwritten.drain(..n);
                    self.written += n as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// What a line says: an outcome and the total.
fn decode(line: &[u8]) -> Option<(Outcome, f64)> {
    let line = std::str::from_utf8(line).ok()?.trim_end();
    match line.split_once(' ') {
        Some(("ok", total)) => Some((
            Outcome::Ok,
            total.trim().parse().ok().filter(|t: &f64| t.is_finite())?,
        )),
        _ if line == "busy" || line.starts_with("error") => Some((Outcome::Full, 0.0)),
        _ => None,
    }
}

/// Whether a line that has no end yet can still become an answer. Noise without an end would hold the
/// calls behind it until the connection counts as silent.
fn may_become_answer(line: &[u8]) -> bool {
    let number = |b: &u8| b.is_ascii_digit() || b" +-.eE\r".contains(b);
    let word = [b"ok ".as_slice(), b"busy\r", b"error"]
        .iter()
        .any(|w| w.starts_with(line));
    word || line.starts_with(b"error")
        || line
            .strip_prefix(b"ok ")
            .is_some_and(|n| n.iter().all(number))
}

/// Why a connection was left.
enum Disconnected {
    Moved,
    Broken(Error),
}

impl From<Error> for Disconnected {
    fn from(e: Error) -> Self {
        Disconnected::Broken(e)
    }
}

impl CounterClient {
    pub async fn run(mut self) {
        // Calls that wait for a connection.
        let mut waiting: VecDeque<CounterCall> = VecDeque::new();
        let mut silence_limit = self.timeout;
        loop {
            if waiting.is_empty() {
                match self.mailbox.recv().await {
                    Some(ToCounter::Call(call)) => waiting.push_back(call),
                    Some(ToCounter::Move(at)) => self.at = at,
                    None => return,
                }
                continue;
            }
            match self.connect(&mut waiting).await {
                Some(Ok(socket)) => {
                    let began = self.clock.now();
                    let mut stream = CallStream {
                        last_heard: began,
                        silence_limit,
                        ..CallStream::default()
                    };
                    waiting.drain(..).for_each(|call| stream.encode(call));
                    let reason = self.exchange(socket, &mut stream).await;
                    let unreadable = matches!(&reason, Some(Disconnected::Broken(e)) if e.kind() == ErrorKind::InvalidData);
                    for (n, sent_call) in std::mem::take(&mut stream.sent).into_iter().enumerate() {
                        let outcome = match sent_call.end <= stream.written {
                            // Answered, so added, though how much is there by now can't be read.
                            true if unreadable && n == 0 => Outcome::Failed,
                            true => Outcome::TimedOut,
                            false => Outcome::ConnectFailed,
                        };
                        self.report(sent_call.call, outcome, 0.0).await;
                    }
                    let was_silent = stream.last_heard == began;
                    silence_limit = if was_silent {
                        (silence_limit * 2).min(MAX_SILENCE.max(self.timeout))
                    } else {
                        self.timeout
                    };
                    match reason {
                        Some(Disconnected::Broken(e)) => {
                            log!(warn, "counter-lost", "{}: {e}", self.at)
                        }
                        Some(Disconnected::Moved) => {}
                        None => return,
                    }
                }
                Some(Err(Disconnected::Broken(e))) => {
                    log!(warn, "counter-unreachable", "{}: {e}", self.at);
                    for call in waiting.drain(..) {
                        self.report(Some(call), Outcome::ConnectFailed, 0.0).await;
                    }
                }
                Some(Err(Disconnected::Moved)) => {}
                None => return,
            }
        }
    }

    /// Connects while calls come in and run out of time; nothing was written of those.
    async fn connect(
        &mut self,
        waiting: &mut VecDeque<CounterCall>,
    ) -> Option<Result<TcpStream, Disconnected>> {
        let connect = timeout(self.connect_timeout, TcpStream::connect(self.at));
        tokio::pin!(connect);
        loop {
            let deadline = waiting.front().map(|c| c.at + self.timeout);
            tokio::select! {
                biased;
                done = &mut connect => {
                    let socket = done.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
                    return Some(socket.and_then(|sent_call| sent_call.set_nodelay(true).map(|()| sent_call)).map_err(Disconnected::from));
                }
                message = self.mailbox.recv() => match message? {
                    ToCounter::Call(call) => waiting.push_back(call),
                    ToCounter::Move(at) => {
                        self.at = at;
                        return Some(Err(Disconnected::Moved));
                    }
                },
                () = sleep_until(self.clock.instant(deadline.unwrap_or_default())), if deadline.is_some() => {
                    let call = waiting.pop_front();
                    self.report(call, Outcome::ConnectFailed, 0.0).await;
                }
            }
        }
    }

    /// Takes in what has come; an error where it is no answer to a call.
    async fn handle_answers(&self, stream: &mut CallStream) -> Result<(), Error> {
        let bad = |what| Error::new(ErrorKind::InvalidData, what);
        let mut from = 0;
        while let Some(n) = stream.read[from..].iter().position(|b| *b == b'\n') {
            let (outcome, total) = decode(&stream.read[from..from + n])
                .ok_or_else(|| bad("an answer that is none"))?;
            from += n + 1;
            let sent = stream
                .sent
                .pop_front()
                .ok_or_else(|| bad("an answer to no call"))?;
            self.report(sent.call, outcome, total).await;
        }
        stream.read.drain(..from);
        let more = !stream.read.is_empty();
        if stream.read.len() > MAX_LINE_BYTES
            || !may_become_answer(&stream.read)
            || more && stream.sent.is_empty()
        {
            return Err(bad("noise"));
        }
        Ok(())
    }

    /// Until the connection ends, or the counter has moved and all calls out have ended; none when the
    /// mailbox did.
    async fn exchange(
        &mut self,
        socket: TcpStream,
        stream: &mut CallStream,
    ) -> Option<Disconnected> {
        // Read by halves: a read that leaves room then knows that there is no more without asking.
        let (mut reading, socket) = socket.into_split();
        if let Err(e) = stream.write(&socket) {
            return Some(e.into());
        }
        let deadline = sleep_until(self.clock.instant(self.clock.now() + self.timeout));
        tokio::pin!(deadline);
        let (mut armed, mut moved) = (true, false);
        loop {
            // Calls of a name are answered in their order: none goes out elsewhere before these have ended.
            if moved && stream.sent.iter().all(|sent_call| sent_call.call.is_none()) {
                return Some(Disconnected::Moved);
            }
            tokio::select! {
                biased;
                read = reading.read_buf(&mut stream.read) => {
                    match read {
                        Ok(0) => return Some(Error::from(ErrorKind::UnexpectedEof).into()),
                        Ok(_) => {}
                        Err(e) => return Some(e.into()),
                    }
                    stream.last_heard = self.clock.now();
                    if let Err(e) = self.handle_answers(stream).await {
                        return Some(e.into());
                    }
                }
                message = self.mailbox.recv(), if !moved => {
                    let mut message = Some(message?);
                    while let Some(next) = message {
                        match next {
                            ToCounter::Call(call) => stream.encode(call),
                            ToCounter::Move(at) => (self.at, moved) = (at, true),
                        }
                        message = if moved { None } else { self.mailbox.try_recv().ok() };
                    }
                    if let Err(e) = stream.write(&socket) {
                        return Some(e.into());
                    }
                    if !armed {
                        armed = true;
                        deadline.as_mut().reset(self.clock.instant(self.clock.now() + self.timeout));
                    }
                }
                _ = socket.writable(), if !stream.unwritten.is_empty() => {
                    if let Err(e) = stream.write(&socket) {
                        return Some(e.into());
                    }
                }
                () = &mut deadline, if armed => {
                    let now = self.clock.now();
                    while let Some(sent_call) = stream.sent.iter_mut().find(|sent_call| sent_call.call.is_some())
                        && sent_call.at + self.timeout <= now
                    {
                        let call = sent_call.call.take();
                        self.report(call, Outcome::TimedOut, 0.0).await;
                    }
                    let oldest = stream.sent.front().map(|sent_call| sent_call.at);
                    if oldest.is_some_and(|at| at.max(stream.last_heard) + stream.silence_limit <= now) {
                        return Some(Error::new(ErrorKind::TimedOut, "silent").into());
                    }
                    let next = stream.sent.iter().find(|sent_call| sent_call.call.is_some()).map(|sent_call| sent_call.at + self.timeout);
                    let next = next.or(oldest.map(|at| at.max(stream.last_heard) + stream.silence_limit));
                    armed = next.is_some();
                    next.into_iter().for_each(|at| deadline.as_mut().reset(self.clock.instant(at)));
                }
            }
        }
    }

    async fn report(&self, call: Option<CounterCall>, outcome: Outcome, total: f64) {
        let Some(CounterCall { name, at, .. }) = call else {
            return;
        };
        let latency = self.clock.now().saturating_sub(at);
        self.dispatcher
            .send(ToDispatcher::CounterTotal {
                name,
                outcome,
                total,
                latency,
            })
            .await
            .ok();
    }
}
