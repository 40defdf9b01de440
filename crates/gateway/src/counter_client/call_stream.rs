//! The calls on one connection to the counter: text lines out, answers back in their order.

use std::collections::VecDeque;
use std::io::{Error, ErrorKind, Write};
use std::time::Duration;

use damsonbeam::interface::Outcome;
use tokio::net::tcp::OwnedWriteHalf;

use crate::messages::CounterCall;

/// An answer is a word and a number; a longer line is none.
const MAX_LINE_BYTES: usize = 128;

/// A call on its way, with the place in the stream where its last byte stands; none once it is given up,
/// for its answer still takes its turn.
pub(super) struct SentCall {
    pub(super) call: Option<CounterCall>,
    pub(super) end: u64,
    pub(super) at: Duration,
}

/// The calls on one connection.
#[derive(Default)]
pub(super) struct CallStream {
    pub(super) unwritten: Vec<u8>,
    pub(super) written: u64,
    pub(super) end: u64,
    pub(super) sent: VecDeque<SentCall>,
    pub(super) last_heard: Duration,
    /// How long it may be silent.
    pub(super) silence_limit: Duration,
    pub(super) read: Vec<u8>,
}

impl CallStream {
    /// A call is to be written.
    pub(super) fn encode(&mut self, call: CounterCall) {
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

    /// Writes as much as the socket takes.
    pub(super) fn write(&mut self, socket: &OwnedWriteHalf) -> Result<(), Error> {
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

    /// The next answer that has come whole, with its call; an error where it is no answer to a call.
    pub(super) fn next_answer(&mut self) -> Result<Option<(SentCall, Outcome, f64)>, Error> {
        let Some(end) = self.read.iter().position(|byte| *byte == b'\n') else {
            return Ok(None);
        };
        let answer = decode(&self.read[..end]);
        let (outcome, total) = answer.ok_or_else(|| invalid("an answer that is none"))?;
        self.read.drain(..=end);
        let sent_call = self.sent.pop_front();
        let sent_call = sent_call.ok_or_else(|| invalid("an answer to no call"))?;
        Ok(Some((sent_call, outcome, total)))
    }

    /// An error where the beginning of a line can't become an answer.
    pub(super) fn check_rest(&self) -> Result<(), Error> {
        let is_too_long = self.read.len() > MAX_LINE_BYTES;
        let answers_nothing = !self.read.is_empty() && self.sent.is_empty();
        if is_too_long || !may_become_answer(&self.read) || answers_nothing {
            return Err(invalid("noise"));
        }
        Ok(())
    }

    /// Whether all calls have ended.
    pub(super) fn is_idle(&self) -> bool {
        self.sent.iter().all(|sent_call| sent_call.call.is_none())
    }

    /// The oldest call that has not ended, if it was made before then.
    pub(super) fn take_call_before(&mut self, limit: Duration) -> Option<CounterCall> {
        let mut sent = self.sent.iter_mut();
        let oldest = sent.find(|sent_call| sent_call.call.is_some())?;
        if oldest.at > limit {
            return None;
        }
        oldest.call.take()
    }

    /// When the connection counts as dead, where nothing is heard until then.
    pub(super) fn silent_at(&self) -> Option<Duration> {
        let oldest = self.sent.front()?;
        Some(oldest.at.max(self.last_heard) + self.silence_limit)
    }

    /// When the next call runs out of time, else when the connection counts as dead.
    pub(super) fn next_deadline(&self, timeout: Duration) -> Option<Duration> {
        let mut sent = self.sent.iter();
        let waiting = sent.find(|sent_call| sent_call.call.is_some());
        let times_out = waiting.map(|sent_call| sent_call.at + timeout);
        times_out.or_else(|| self.silent_at())
    }
}

fn invalid(what: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, what)
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
