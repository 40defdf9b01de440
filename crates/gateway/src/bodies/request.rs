//! The body of a request: buffered, or streamed to one backend while the client sends it.
//!
//! The rest of a streamed body has one [`BodyReader`], which can't be copied. An attempt takes it with the beginning of the
//! body or is not sent at all, and gives it back when it ends. What became of the body is recorded once, for all attempts.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::timeout;

use super::held_time::HeldTime;
use super::silence::SilenceTimer;
use super::{CLIENT_SILENCE_TIMEOUT, Error};
use crate::sizes::MAX_BODY;

/// Maximum time for which the rest of a request body is read and discarded after the response, so that the response
/// reaches the client.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Reasons why a streamed body will never be whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyBreak {
    /// The client ended or reset its connection before the end.
    ByClient,
    /// The body passed the size limit.
    TooLarge,
}

/// What became of a streamed body so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// Only the beginning, which is kept, was passed on: an attempt can still send the whole body.
    Kept,
    /// Part of the rest was passed to an attempt, and only that attempt can send the whole body.
    PassedOn,
    /// The last byte was passed to an attempt.
    Whole,
    /// No attempt can send the whole body any more.
    BrokenOff(BodyBreak),
}

/// The stream of the rest of a body.
struct BodyReader(Incoming);

/// Request body that is still being received.
pub struct StreamedBody {
    beginning: Bytes,
    /// The reader of the rest; `None` while an attempt has it and once the body has ended.
    reader: RefCell<Option<BodyReader>>,
    /// Total length in bytes, if the client stated it.
    pub length: Option<u64>,
    /// Maximum size, in bytes.
    max_bytes: u64,
    state: Cell<BodyState>,
    /// Bytes received so far, with the beginning.
    received: Cell<u64>,
    held_time: HeldTime,
    /// Called once the last byte has been received.
    on_complete: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl StreamedBody {
    /// Creates a body of at most `max_bytes` from its beginning and the stream of the rest; `on_complete` is called once
    /// the last byte has been received.
    pub fn new(
        beginning: Bytes,
        rest: Incoming,
        length: Option<u64>,
        max_bytes: u64,
        on_complete: Box<dyn FnOnce()>,
    ) -> Rc<Self> {
        Rc::new(StreamedBody {
            received: Cell::new(beginning.len() as u64),
            beginning,
            reader: RefCell::new(Some(BodyReader(rest))),
            length,
            max_bytes,
            state: Cell::new(BodyState::Kept),
            held_time: HeldTime::start(),
            on_complete: RefCell::new(Some(on_complete)),
        })
    }

    /// Returns whether the last byte has been received.
    pub fn is_whole(&self) -> bool {
        self.state.get() == BodyState::Whole
    }

    /// Returns whether an attempt may still pass on more of the body.
    pub fn is_under_way(&self) -> bool {
        matches!(self.state.get(), BodyState::Kept | BodyState::PassedOn)
    }

    /// Returns for how long the body has waited for an attempt, or for a backend to take more of it. The time in which
    /// the client had sent no more is not counted.
    pub fn held_time(&self) -> Duration {
        self.held_time.get()
    }

    /// Returns whether the body passed the size limit.
    pub fn is_too_large(&self) -> bool {
        self.state.get() == BodyState::BrokenOff(BodyBreak::TooLarge)
    }

    /// Returns whether an attempt could still send the whole body, once no other attempt has it.
    pub fn is_kept(&self) -> bool {
        self.state.get() == BodyState::Kept
    }

    /// Takes the reader for an attempt; returns `None` if the attempt could not send the whole body.
    fn claim(self: &Rc<Self>) -> Option<Rc<BodyClaim>> {
        if !self.is_kept() {
            return None;
        }
        let reader = self.reader.borrow_mut().take()?;
        Some(Rc::new(BodyClaim {
            body: self.clone(),
            reader: RefCell::new(Some(reader)),
            has_ended: Cell::new(false),
        }))
    }

    /// Reads and discards the rest of the body, so that the client goes on to read its response.
    pub async fn drain(&self) {
        let Some(mut reader) = self.reader.borrow_mut().take() else {
            return;
        };
        self.state.set(BodyState::PassedOn);
        let read = async {
            let mut read = 0;
            while let Ok(Some(Ok(frame))) = timeout(CLIENT_SILENCE_TIMEOUT, reader.0.frame()).await
            {
                read += frame.data_ref().map_or(0, Bytes::len);
                if read > MAX_BODY {
                    return;
                }
            }
        };
        timeout(DRAIN_TIMEOUT, read).await.ok();
    }

    fn complete(&self) {
        self.held_time.taken();
        self.state.set(BodyState::Whole);
        if let Some(on_complete) = self.on_complete.borrow_mut().take() {
            on_complete();
        }
    }
}

/// An attempt's hold on the reader of a body.
struct BodyClaim {
    body: Rc<StreamedBody>,
    /// `None` once the attempt has ended.
    reader: RefCell<Option<BodyReader>>,
    /// Whether the end of the body was passed to the attempt's connection.
    has_ended: Cell<bool>,
}

impl BodyClaim {
    /// Gives the reader back. The connection of the attempt can't send the body any further.
    fn release(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            *self.body.reader.borrow_mut() = Some(reader);
        }
    }

    fn poll(&self, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let mut held = self.reader.borrow_mut();
        let Some(reader) = held.as_mut() else {
            return Poll::Ready(Some(Err("the attempt no longer reads the body".into())));
        };
        let Poll::Ready(frame) = Pin::new(&mut reader.0).poll_frame(cx) else {
            self.body.held_time.taken();
            return Poll::Pending;
        };
        self.body.held_time.received();
        if let Some(Err(error)) = frame {
            // A broken stream reads as ended from now on, so nothing may read it again.
            *held = None;
            let state = BodyState::BrokenOff(BodyBreak::ByClient);
            self.body.state.set(state);
            return Poll::Ready(Some(Err(error.into())));
        }
        if let Some(Ok(frame)) = &frame {
            self.body.state.set(BodyState::PassedOn);
            let data_bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
            let received = self.body.received.get() + data_bytes;
            self.body.received.set(received);
            if received > self.body.max_bytes {
                let state = BodyState::BrokenOff(BodyBreak::TooLarge);
                self.body.state.set(state);
                return Poll::Ready(Some(Err("the request body is too large".into())));
            }
        }
        if frame.is_none() || reader.0.is_end_stream() {
            self.has_ended.set(true);
            self.body.complete();
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Error::from)))
    }
}

impl Drop for BodyClaim {
    fn drop(&mut self) {
        self.release();
    }
}

/// Body of a request.
#[derive(Clone)]
pub enum RequestBody {
    /// The whole body has been received.
    Buffered(Bytes),
    /// The body is still being received.
    Streamed(Rc<StreamedBody>),
}

impl RequestBody {
    /// Returns the length in bytes, if known.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes.len() as u64),
            RequestBody::Streamed(streamed) => streamed.length,
        }
    }

    /// Returns the streamed body, or `None` if the body is buffered.
    pub fn streamed(&self) -> Option<&Rc<StreamedBody>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(streamed) => Some(streamed),
        }
    }

    /// Returns whether another attempt could send the whole body.
    pub fn is_kept(&self) -> bool {
        self.streamed().is_none_or(|streamed| streamed.is_kept())
    }
}

/// Body of a request as sent by one attempt.
pub struct Upload {
    beginning: Option<Bytes>,
    rest: Option<Rc<BodyClaim>>,
    length: Option<u64>,
    silence: SilenceTimer,
}

/// The attempt's handle on the body that its connection sends.
pub struct UploadHandle(Option<Rc<BodyClaim>>);

/// How far the body of an attempt got, for log lines. Lengths are in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadProgress {
    /// The whole body was known before the attempt.
    Buffered,
    /// The end of a streamed body was passed to the attempt's connection.
    Whole(u64),
    /// The attempt's connection got no end of the body.
    Unfinished(u64),
    /// The body broke off while the attempt sent it.
    BrokenOff(u64, BodyBreak),
}

impl fmt::Display for UploadProgress {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            UploadProgress::Buffered => write!(f, "buffered"),
            UploadProgress::Whole(bytes) => write!(f, "whole, {bytes} bytes"),
            UploadProgress::Unfinished(bytes) => write!(f, "unfinished at {bytes} bytes"),
            UploadProgress::BrokenOff(bytes, BodyBreak::ByClient) => {
                write!(f, "broken off by its client at {bytes} bytes")
            }
            UploadProgress::BrokenOff(bytes, BodyBreak::TooLarge) => {
                write!(f, "too large at {bytes} bytes")
            }
        }
    }
}

impl UploadHandle {
    /// Returns how far the body got.
    pub fn progress(&self) -> UploadProgress {
        let Some(claim) = &self.0 else {
            return UploadProgress::Buffered;
        };
        let received = claim.body.received.get();
        match claim.body.state.get() {
            _ if claim.has_ended.get() => UploadProgress::Whole(received),
            BodyState::BrokenOff(reason) => UploadProgress::BrokenOff(received, reason),
            _ => UploadProgress::Unfinished(received),
        }
    }

    /// Returns whether the end of a streamed body was passed to the connection, so that its last byte may be on the wire.
    pub fn has_ended(&self) -> bool {
        self.0.as_ref().is_some_and(|claim| claim.has_ended.get())
    }

    /// Returns whether the connection still sends a streamed body.
    pub fn is_unfinished(&self) -> bool {
        self.0.as_ref().is_some_and(|claim| !claim.has_ended.get())
    }

    /// Takes the body away from the connection, which can't send it any further.
    pub fn release(&self) {
        if let Some(claim) = &self.0 {
            claim.release();
        }
    }
}

impl Upload {
    /// Takes the body for one attempt; returns `None` if the attempt could not send the whole body.
    pub fn claim(body: &RequestBody) -> Option<(Self, UploadHandle)> {
        let (beginning, rest) = match body {
            RequestBody::Buffered(bytes) => (bytes.clone(), None),
            RequestBody::Streamed(streamed) => {
                (streamed.beginning.clone(), Some(streamed.claim()?))
            }
        };
        let handle = UploadHandle(rest.clone());
        let upload = Upload {
            beginning: Some(beginning).filter(|bytes| !bytes.is_empty()),
            rest,
            length: body.length(),
            silence: SilenceTimer::default(),
        };
        Some((upload, handle))
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let Some(rest) = self.rest.clone() else {
            return Poll::Ready(None);
        };
        match rest.poll(cx) {
            Poll::Ready(frame) => {
                self.silence.reset();
                Poll::Ready(frame)
            }
            Poll::Pending => {
                ready!(self.silence.poll(CLIENT_SILENCE_TIMEOUT, cx));
                Poll::Ready(Some(Err(
                    "the client stopped sending the request body".into()
                )))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.beginning.is_none() && self.rest.as_ref().is_none_or(|rest| rest.has_ended.get())
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
