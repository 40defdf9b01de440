//! The counter: calls in text lines, one after another on one connection, answers in their order.

mod call_stream;

use std::collections::VecDeque;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use damsonbeam::interface::Outcome;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Sleep, sleep_until, timeout};

use self::call_stream::CallStream;
use crate::clock::Clock;
use crate::log::log;
use crate::messages::{CounterCall, ToCounter, ToDispatcher};

/// With calls out and nothing heard for this long at most, the connection is held for dead. It begins with
/// one call's time-out: later answers are of no use, and each call more that goes to a dead connection is
/// lost. It doubles with each connection that said nothing, or a slow counter would get little but those.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// The actor that calls the counter.
pub struct CounterClient {
    /// Where the counter is.
    pub at: SocketAddr,
    /// A call is answered within this, or not at all.
    pub timeout: Duration,
    /// A connection comes up within this.
    pub connect_timeout: Duration,
    /// The dispatcher's clock.
    pub clock: Clock,
    /// Where answers go.
    pub dispatcher: mpsc::Sender<ToDispatcher>,
    /// The calls to make.
    pub mailbox: mpsc::Receiver<ToCounter>,
}

/// Why a connection was left.
enum Disconnected {
    /// The counter is at another address.
    Moved,
    /// The connection broke, or what came on it is no answer.
    Broken(Error),
    /// Nobody calls any more.
    ActorEnded,
}

impl From<Error> for Disconnected {
    fn from(e: Error) -> Self {
        Disconnected::Broken(e)
    }
}

impl CounterClient {
    /// Runs until nobody calls any more.
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
            let reason = match self.connect(&mut waiting).await {
                Ok(socket) => {
                    let reason = self.serve(socket, &mut waiting, &mut silence_limit).await;
                    if let Disconnected::Broken(e) = &reason {
                        log!(warn, "counter-lost", "{}: {e}", self.at);
                    }
                    reason
                }
                Err(reason) => {
                    if let Disconnected::Broken(e) = &reason {
                        log!(warn, "counter-unreachable", "{}: {e}", self.at);
                        for call in waiting.drain(..) {
                            self.report(call, Outcome::ConnectFailed, 0.0).await;
                        }
                    }
                    reason
                }
            };
            if matches!(reason, Disconnected::ActorEnded) {
                return;
            }
        }
    }

    /// Connects while calls come in and run out of time; nothing was written of those.
    async fn connect(
        &mut self,
        waiting: &mut VecDeque<CounterCall>,
    ) -> Result<TcpStream, Disconnected> {
        let connect = timeout(self.connect_timeout, TcpStream::connect(self.at));
        tokio::pin!(connect);
        loop {
            let deadline = waiting.front().map(|call| call.at + self.timeout);
            let expiry = self.clock.instant(deadline.unwrap_or_default());
            tokio::select! {
                biased;
                connected = &mut connect => {
                    let socket = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
                    socket.set_nodelay(true)?;
                    return Ok(socket);
                }
                message = self.mailbox.recv() => match message {
                    Some(ToCounter::Call(call)) => waiting.push_back(call),
                    Some(ToCounter::Move(at)) => {
                        self.at = at;
                        return Err(Disconnected::Moved);
                    }
                    None => return Err(Disconnected::ActorEnded),
                },
                () = sleep_until(expiry), if deadline.is_some() => {
                    if let Some(call) = waiting.pop_front() {
                        self.report(call, Outcome::ConnectFailed, 0.0).await;
                    }
                }
            }
        }
    }

    /// Makes calls on a connection until it is left; then ends those that are out.
    async fn serve(
        &mut self,
        socket: TcpStream,
        waiting: &mut VecDeque<CounterCall>,
        silence_limit: &mut Duration,
    ) -> Disconnected {
        let began = self.clock.now();
        let mut stream = CallStream {
            last_heard: began,
            silence_limit: *silence_limit,
            ..CallStream::default()
        };
        waiting.drain(..).for_each(|call| stream.encode(call));
        let exchanged = self.exchange(socket, &mut stream).await;
        let reason = exchanged.unwrap_or_else(Disconnected::Broken);
        let was_silent = stream.last_heard == began;
        self.end_calls(stream, &reason).await;
        *silence_limit = if was_silent {
            (*silence_limit * 2).min(MAX_SILENCE.max(self.timeout))
        } else {
            self.timeout
        };
        reason
    }

    /// Ends the calls that are out on a connection that was left.
    async fn end_calls(&self, stream: CallStream, reason: &Disconnected) {
        let is_unreadable =
            matches!(reason, Disconnected::Broken(e) if e.kind() == ErrorKind::InvalidData);
        let written = stream.written;
        for (position, sent_call) in stream.sent.into_iter().enumerate() {
            let outcome = if sent_call.end > written {
                Outcome::ConnectFailed
            } else if is_unreadable && position == 0 {
                // Answered, so added, though how much is there by now can't be read.
                Outcome::Failed
            } else {
                Outcome::TimedOut
            };
            if let Some(call) = sent_call.call {
                self.report(call, outcome, 0.0).await;
            }
        }
    }

    /// Exchanges calls and answers until the counter has moved and all calls out have ended, or nobody calls any
    /// more; an error where the connection ends.
    async fn exchange(
        &mut self,
        socket: TcpStream,
        stream: &mut CallStream,
    ) -> Result<Disconnected, Error> {
        // Read by halves: a read that leaves room then knows that there is no more without asking.
        let (mut reading, socket) = socket.into_split();
        stream.write(&socket)?;
        let deadline = sleep_until(self.clock.instant(self.clock.now() + self.timeout));
        tokio::pin!(deadline);
        let mut armed = true;
        let mut moved = false;
        loop {
            // Calls of a name are answered in their order: none goes out elsewhere before these have ended.
            if moved && stream.is_idle() {
                return Ok(Disconnected::Moved);
            }
            tokio::select! {
                biased;
                read = reading.read_buf(&mut stream.read) => {
                    if read? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                    stream.last_heard = self.clock.now();
                    self.handle_answers(stream).await?;
                }
                message = self.mailbox.recv(), if !moved => {
                    let Some(message) = message else {
                        return Ok(Disconnected::ActorEnded);
                    };
                    moved = self.take_messages(message, stream);
                    stream.write(&socket)?;
                    if !armed {
                        armed = true;
                        let at = self.clock.now() + self.timeout;
                        deadline.as_mut().reset(self.clock.instant(at));
                    }
                }
                _ = socket.writable(), if !stream.unwritten.is_empty() => stream.write(&socket)?,
                () = &mut deadline, if armed => {
                    armed = self.end_overdue(stream, deadline.as_mut()).await?;
                }
            }
        }
    }

    /// Takes a message and those behind it, up to one that the counter has moved; returns whether it has.
    fn take_messages(&mut self, first: ToCounter, stream: &mut CallStream) -> bool {
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                ToCounter::Call(call) => stream.encode(call),
                ToCounter::Move(at) => {
                    self.at = at;
                    return true;
                }
            }
            next = self.mailbox.try_recv().ok();
        }
        false
    }

    /// Takes in what has come; an error where it is no answer to a call.
    async fn handle_answers(&self, stream: &mut CallStream) -> Result<(), Error> {
        while let Some((sent_call, outcome, total)) = stream.next_answer()? {
            if let Some(call) = sent_call.call {
                self.report(call, outcome, total).await;
            }
        }
        stream.check_rest()
    }

    /// Ends the calls whose time is over; returns whether the deadline is set anew.
    async fn end_overdue(
        &self,
        stream: &mut CallStream,
        deadline: Pin<&mut Sleep>,
    ) -> Result<bool, Error> {
        let now = self.clock.now();
        while let Some(call) = stream.take_call_before(now.saturating_sub(self.timeout)) {
            self.report(call, Outcome::TimedOut, 0.0).await;
        }
        if stream.silent_at().is_some_and(|at| at <= now) {
            return Err(Error::new(ErrorKind::TimedOut, "silent"));
        }
        let next = stream.next_deadline(self.timeout);
        if let Some(at) = next {
            deadline.reset(self.clock.instant(at));
        }
        Ok(next.is_some())
    }

    async fn report(&self, call: CounterCall, outcome: Outcome, total: f64) {
        let message = ToDispatcher::CounterTotal {
            latency: self.clock.now().saturating_sub(call.at),
            name: call.name,
            outcome,
            total,
        };
        self.dispatcher.send(message).await.ok();
    }
}
