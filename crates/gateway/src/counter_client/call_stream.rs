//! The calls on one connection to the counter. Calls and replies are text lines; replies arrive in the order of the
//! calls.

use std::collections::VecDeque;
use std::io::{Error, ErrorKind, Write};
use std::time::Duration;

use damsonbeam::interface::Outcome;
use tokio::net::tcp::OwnedWriteHalf;

use crate::messages::CounterCall;

/// Maximum length of a reply, which consists of a word and a number; a longer line is invalid.
const MAX_LINE_BYTES: usize = 128;

/// A call for which a reply is pending.
pub(super) struct SentCall {
    /// The call; `None` after its timeout. The entry stays, because a reply to it may still arrive.
    pub(super) call: Option<CounterCall>,
    /// Position in the output stream after the last byte of the call.
    pub(super) end_offset: u64,
    /// When the call was made.
    pub(super) at: Duration,
}

/// The calls on one connection.
#[derive(Default)]
pub(super) struct CallStream {
    /// Encoded calls that are not written yet.
    pub(super) unwritten: Vec<u8>,
    /// Number of bytes written to the socket.
    pub(super) written: u64,
    /// Position in the output stream after the last encoded call.
    pub(super) end_offset: u64,
    /// Calls without a reply, oldest first.
    pub(super) sent: VecDeque<SentCall>,
    /// When data was last received.
    pub(super) last_heard: Duration,
    /// How long the counter may send nothing while calls are pending.
    pub(super) silence_limit: Duration,
    /// Received bytes that are not decoded yet.
    pub(super) received: Vec<u8>,
}

impl CallStream {
    /// Encodes a call for writing.
    pub(super) fn encode(&mut self, call: CounterCall) {
        let (length_before, retention_ms) =
            (self.unwritten.len(), call.retention.as_millis().max(1));
        write!(
            self.unwritten,
            "tally {} {} {retention_ms}\r\n",
            call.name, call.units
        )
        .expect("writing to a Vec does not fail");
        self.end_offset += (self.unwritten.len() - length_before) as u64;
        self.sent.push_back(SentCall {
            at: call.called_at,
            call: Some(call),
            end_offset: self.end_offset,
        });
    }

    /// Writes as many bytes as the socket accepts.
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

    /// Returns the next complete reply with its call. Fails if the line is invalid or no call is pending.
    pub(super) fn next_reply(&mut self) -> Result<Option<(SentCall, Outcome, f64)>, Error> {
        let Some(end) = self.received.iter().position(|byte| *byte == b'\n') else {
            return Ok(None);
        };
        let reply = decode(&self.received[..end]);
        let (outcome, total) = reply.ok_or_else(|| invalid("invalid reply"))?;
        self.received.drain(..=end);
        let sent_call = self.sent.pop_front();
        let sent_call = sent_call.ok_or_else(|| invalid("reply without a pending call"))?;
        Ok(Some((sent_call, outcome, total)))
    }

    /// Fails if the received part of a line cannot become a valid reply.
    pub(super) fn check_partial_line(&self) -> Result<(), Error> {
        let is_too_long = self.received.len() > MAX_LINE_BYTES;
        let is_unexpected = !self.received.is_empty() && self.sent.is_empty();
        if is_too_long || !may_become_reply(&self.received) || is_unexpected {
            return Err(invalid("received data is not a reply"));
        }
        Ok(())
    }

    /// Returns whether all calls have ended.
    pub(super) fn is_idle(&self) -> bool {
        self.sent.iter().all(|sent_call| sent_call.call.is_none())
    }

    /// Takes the oldest call that has not ended, if it was made at `limit` or earlier.
    pub(super) fn take_call_before(&mut self, limit: Duration) -> Option<CounterCall> {
        let mut sent = self.sent.iter_mut();
        let oldest = sent.find(|sent_call| sent_call.call.is_some())?;
        if oldest.at > limit {
            return None;
        }
        oldest.call.take()
    }

    /// Returns when the connection counts as dead if no data is received until then; `None` if no reply is pending.
    pub(super) fn silence_deadline(&self) -> Option<Duration> {
        let oldest = self.sent.front()?;
        Some(oldest.at.max(self.last_heard) + self.silence_limit)
    }

    /// Returns when the next call times out or, if no call is pending, when the connection counts as dead.
    pub(super) fn next_deadline(&self, timeout: Duration) -> Option<Duration> {
        let mut sent = self.sent.iter();
        let waiting = sent.find(|sent_call| sent_call.call.is_some());
        let times_out = waiting.map(|sent_call| sent_call.at + timeout);
        times_out.or_else(|| self.silence_deadline())
    }
}

fn invalid(what: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, what)
}

/// Decodes a reply to its outcome and total.
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

/// Returns whether an incomplete line can still become a valid reply. Invalid data without a line end would otherwise
/// block the pending calls until the connection counts as dead.
fn may_become_reply(line: &[u8]) -> bool {
    let is_number_byte = |byte: &u8| byte.is_ascii_digit() || b" +-.eE\r".contains(byte);
    let word = [b"ok ".as_slice(), b"busy\r", b"error"]
        .iter()
        .any(|w| w.starts_with(line));
    word || line.starts_with(b"error")
        || line
            .strip_prefix(b"ok ")
            .is_some_and(|n| n.iter().all(is_number_byte))
}
