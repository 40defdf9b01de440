//! Client of the shared counter. Calls are text lines, pipelined on one connection; replies arrive in the order of the
//! calls.

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

/// Upper limit of the time without received data, with calls pending, after which a connection counts as dead.
///
/// The time starts at the timeout of one call, because later replies are of no use and each further call on a dead
/// connection is lost. It doubles with each connection on which nothing was received; otherwise a slow counter would
/// have to serve mostly new connections that are closed before its first reply.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Actor that sends calls to the counter.
pub struct CounterClient {
    /// Address of the counter.
    pub address: SocketAddr,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Clock of the dispatcher.
    pub clock: Clock,
    /// Receives the results of calls.
    pub dispatcher: mpsc::Sender<ToDispatcher>,
    /// Calls to send.
    pub mailbox: mpsc::Receiver<ToCounter>,
}

/// Reasons why a connection is no longer used.
enum Disconnected {
    /// The counter has moved to another address.
    Moved,
    /// The connection failed, or the received data is not a valid reply.
    Broken(Error),
    /// The mailbox is closed.
    ActorEnded,
}

impl From<Error> for Disconnected {
    fn from(e: Error) -> Self {
        Disconnected::Broken(e)
    }
}

impl CounterClient {
    /// Runs until the mailbox is closed.
    pub async fn run(mut self) {
        // Calls that wait for a connection to be opened.
        let mut waiting: VecDeque<CounterCall> = VecDeque::new();
        let mut silence_limit = self.timeout;
        loop {
            if waiting.is_empty() {
                match self.mailbox.recv().await {
                    Some(ToCounter::Call(call)) => waiting.push_back(call),
                    Some(ToCounter::SetAddress(at)) => self.address = at,
                    None => return,
                }
                continue;
            }
            let reason = match self.connect(&mut waiting).await {
                Ok(socket) => {
                    let reason = self.serve(socket, &mut waiting, &mut silence_limit).await;
                    if let Disconnected::Broken(e) = &reason {
                        log!(warn, "counter-lost", "{}: {e}", self.address);
                    }
                    reason
                }
                Err(reason) => {
                    if let Disconnected::Broken(e) = &reason {
                        log!(warn, "counter-unreachable", "{}: {e}", self.address);
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

    /// Opens a connection. Meanwhile accepts calls and ends those that time out as not sent.
    async fn connect(
        &mut self,
        waiting: &mut VecDeque<CounterCall>,
    ) -> Result<TcpStream, Disconnected> {
        let connect = timeout(self.connect_timeout, TcpStream::connect(self.address));
        tokio::pin!(connect);
        loop {
            let deadline = waiting.front().map(|call| call.called_at + self.timeout);
            let expiry = self.clock.to_instant(deadline.unwrap_or_default());
            tokio::select! {
                biased;
                connected = &mut connect => {
                    let socket = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
                    socket.set_nodelay(true)?;
                    return Ok(socket);
                }
                message = self.mailbox.recv() => match message {
                    Some(ToCounter::Call(call)) => waiting.push_back(call),
                    Some(ToCounter::SetAddress(at)) => {
                        self.address = at;
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

    /// Sends calls on a connection until it is no longer used, then ends the pending calls.
    async fn serve(
        &mut self,
        socket: TcpStream,
        waiting: &mut VecDeque<CounterCall>,
        silence_limit: &mut Duration,
    ) -> Disconnected {
        let started = self.clock.now();
        let mut stream = CallStream {
            last_heard: started,
            silence_limit: *silence_limit,
            ..CallStream::default()
        };
        waiting.drain(..).for_each(|call| stream.encode(call));
        let exchanged = self.exchange(socket, &mut stream).await;
        let reason = exchanged.unwrap_or_else(Disconnected::Broken);
        let was_silent = stream.last_heard == started;
        self.end_calls(stream, &reason).await;
        *silence_limit = if was_silent {
            (*silence_limit * 2).min(MAX_SILENCE.max(self.timeout))
        } else {
            self.timeout
        };
        reason
    }

    /// Ends the pending calls of a connection that is no longer used.
    async fn end_calls(&self, stream: CallStream, reason: &Disconnected) {
        let is_unreadable =
            matches!(reason, Disconnected::Broken(e) if e.kind() == ErrorKind::InvalidData);
        let written = stream.written;
        for (position, sent_call) in stream.sent.into_iter().enumerate() {
            let outcome = if sent_call.end_offset > written {
                Outcome::ConnectFailed
            } else if is_unreadable && position == 0 {
                // The counter has replied, so the units were added, but the total cannot be read.
                Outcome::Failed
            } else {
                Outcome::TimedOut
            };
            if let Some(call) = sent_call.call {
                self.report(call, outcome, 0.0).await;
            }
        }
    }

    /// Exchanges calls and replies until the counter has moved and all pending calls have ended, or until the mailbox is
    /// closed. Fails if the connection ends.
    async fn exchange(
        &mut self,
        socket: TcpStream,
        stream: &mut CallStream,
    ) -> Result<Disconnected, Error> {
        // Reads from the owned half, which skips the next `read` system call after a read that did not fill the buffer.
        let (mut reader, writer) = socket.into_split();
        stream.write(&writer)?;
        let deadline = sleep_until(self.clock.to_instant(self.clock.now() + self.timeout));
        tokio::pin!(deadline);
        let mut timer_armed = true;
        let mut moved = false;
        loop {
            // Calls with the same name are answered in order, so no call is sent to the new address before all pending
            // calls have ended.
            if moved && stream.is_idle() {
                return Ok(Disconnected::Moved);
            }
            tokio::select! {
                biased;
                read = reader.read_buf(&mut stream.received) => {
                    if read? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                    stream.last_heard = self.clock.now();
                    self.handle_replies(stream).await?;
                }
                message = self.mailbox.recv(), if !moved => {
                    let Some(message) = message else {
                        return Ok(Disconnected::ActorEnded);
                    };
                    moved = self.handle_messages(message, stream);
                    stream.write(&writer)?;
                    if !timer_armed {
                        timer_armed = true;
                        let at = self.clock.now() + self.timeout;
                        deadline.as_mut().reset(self.clock.to_instant(at));
                    }
                }
                _ = writer.writable(), if !stream.unwritten.is_empty() => stream.write(&writer)?,
                () = &mut deadline, if timer_armed => {
                    timer_armed = self.end_timed_out_calls(stream, deadline.as_mut()).await?;
                }
            }
        }
    }

    /// Handles a message and all queued ones, up to the first that moves the counter. Returns whether there was one.
    fn handle_messages(&mut self, first: ToCounter, stream: &mut CallStream) -> bool {
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                ToCounter::Call(call) => stream.encode(call),
                ToCounter::SetAddress(at) => {
                    self.address = at;
                    return true;
                }
            }
            next = self.mailbox.try_recv().ok();
        }
        false
    }

    /// Decodes the received data and reports the results of calls. Fails if the data is not a reply to a pending call.
    async fn handle_replies(&self, stream: &mut CallStream) -> Result<(), Error> {
        while let Some((sent_call, outcome, total)) = stream.next_reply()? {
            if let Some(call) = sent_call.call {
                self.report(call, outcome, total).await;
            }
        }
        stream.check_partial_line()
    }

    /// Ends the calls that have timed out. Returns whether the deadline was set again.
    async fn end_timed_out_calls(
        &self,
        stream: &mut CallStream,
        deadline: Pin<&mut Sleep>,
    ) -> Result<bool, Error> {
        let now = self.clock.now();
        while let Some(call) = stream.take_call_before(now.saturating_sub(self.timeout)) {
            self.report(call, Outcome::TimedOut, 0.0).await;
        }
        if stream.silence_deadline().is_some_and(|at| at <= now) {
            return Err(Error::new(
                ErrorKind::TimedOut,
                "no reply within the time limit",
            ));
        }
        let next = stream.next_deadline(self.timeout);
        if let Some(at) = next {
            deadline.reset(self.clock.to_instant(at));
        }
        Ok(next.is_some())
    }

    async fn report(&self, call: CounterCall, outcome: Outcome, total: f64) {
        let message = ToDispatcher::CounterTotal {
            latency: self.clock.now().saturating_sub(call.called_at),
            name: call.name,
            outcome,
            total,
        };
        self.dispatcher.send(message).await.ok();
    }
}
