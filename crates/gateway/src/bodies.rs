//! Buffered and streamed bodies.
//!
//! A body of up to [`MAX_BUFFERED_BODY`] bytes is buffered, so that another attempt can send it again and a truncated
//! response never reaches a client. A larger body is streamed from one socket to the other. Reading waits for writing,
//! so the memory in use at a time is one chunk and the buffer of a socket.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::oneshot;
use tokio::time::{Instant, Sleep, sleep, timeout, timeout_at};

use crate::sizes::{MAX_BODY, MAX_BUFFERED_BODY};

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Time without received data after which a client that is sending a body counts as disconnected.
pub const CLIENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// Time without received data after which a backend that is sending a response counts as failed and the response is cut
/// off.
const BACKEND_SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for which the rest of a request body is read and discarded after the response, so that the response
/// reaches the client.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the beginning of a body. Returns it with whether the body is complete.
///
/// Reading ends with the body, with more than [`MAX_BUFFERED_BODY`] bytes, or once `within` has passed and at least one
/// byte has been received.
///
/// # Errors
/// Fails if the body is broken off.
pub async fn read_start(
    body: &mut Incoming,
    within: Option<Duration>,
) -> Result<(Bytes, bool), hyper::Error> {
    let mut parts: Vec<u8> = Vec::new();
    let until = within.map(|within| Instant::now() + within);
    while parts.len() <= MAX_BUFFERED_BODY {
        let frame = match until {
            Some(until) => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                // A response counts as started only with the first byte of its body.
                Err(_) if parts.is_empty() => body.frame().await,
                Err(_) => break,
            },
            None => body.frame().await,
        };
        match frame {
            Some(frame) => {
                if let Ok(data) = frame?.into_data() {
                    // Most bodies arrive in one frame, which needs no copy.
                    if parts.is_empty() && body.is_end_stream() {
                        return Ok((data, true));
                    }
                    parts.extend_from_slice(&data);
                }
            }
            None => return Ok((parts.into(), true)),
        }
    }
    Ok((parts.into(), body.is_end_stream()))
}

/// Request body that is still being received, shared by the attempts that may send it.
pub struct StreamedBody {
    beginning: Bytes,
    rest: RefCell<Option<Incoming>>,
    /// Total length in bytes, if the client stated it.
    pub length: Option<u64>,
    received: Cell<u64>,
    /// Whether data that is not buffered has been passed to a backend, so that no other attempt can send the body.
    consumed: Cell<bool>,
    is_complete: Cell<bool>,
    /// Called once the last byte has been received.
    on_complete: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl StreamedBody {
    /// Creates a body from its beginning and the stream of the rest; `on_complete` is called once the last byte has
    /// been received.
    pub fn new(
        beginning: Bytes,
        rest: Incoming,
        length: Option<u64>,
        on_complete: Box<dyn FnOnce()>,
    ) -> Rc<Self> {
        Rc::new(StreamedBody {
            received: Cell::new(beginning.len() as u64),
            beginning,
            rest: RefCell::new(Some(rest)),
            length,
            consumed: Cell::default(),
            is_complete: Cell::default(),
            on_complete: RefCell::new(Some(on_complete)),
        })
    }

    /// Returns whether data that is not buffered has been passed to a backend.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Returns whether the whole body has been passed to a backend or is about to be, so that the request may be
    /// executed.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// Reads and discards the rest of the body, so that the client goes on to read its response.
    pub async fn drain(&self) {
        let Some(mut rest) = self.rest.borrow_mut().take() else {
            return;
        };
        let read = async {
            let mut read = 0;
            while let Ok(Some(Ok(frame))) = timeout(CLIENT_SILENCE_TIMEOUT, rest.frame()).await {
                read += frame.data_ref().map_or(0, Bytes::len);
                if read > MAX_BODY {
                    return;
                }
            }
        };
        timeout(DRAIN_TIMEOUT, read).await.ok();
    }

    fn poll(&self, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let mut rest = self.rest.borrow_mut();
        let Some(body) = rest.as_mut() else {
            return Poll::Ready(Some(Err("the request body was discarded".into())));
        };
        let frame = ready!(Pin::new(&mut *body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.consumed.set(true);
            self.received
                .set(self.received.get() + frame.data_ref().map_or(0, Bytes::len) as u64);
            if self.received.get() > MAX_BODY as u64 {
                return Poll::Ready(Some(Err("the request body is too large".into())));
            }
        }
        if frame.is_none() || body.is_end_stream() {
            self.is_complete.set(true);
            if let Some(on_complete) = self.on_complete.borrow_mut().take() {
                on_complete();
            }
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Error::from)))
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
}

/// Timer for the time since the sender of a body last sent data.
#[derive(Default)]
struct SilenceTimer(Option<Pin<Box<Sleep>>>);

impl SilenceTimer {
    /// Resets the timer after data was received.
    fn reset(&mut self) {
        self.0 = None;
    }

    /// Returns ready once no data was received for `limit`.
    fn poll(&mut self, limit: Duration, cx: &mut Context) -> Poll<()> {
        self.0
            .get_or_insert_with(|| Box::pin(sleep(limit)))
            .as_mut()
            .poll(cx)
    }
}

/// Body of a request as sent by one attempt.
pub struct Upload {
    beginning: Option<Bytes>,
    rest: Option<Rc<StreamedBody>>,
    length: Option<u64>,
    silence: SilenceTimer,
}

impl Upload {
    /// Creates the body for one attempt.
    pub fn new(body: &RequestBody) -> Self {
        match body {
            RequestBody::Buffered(bytes) => {
                let beginning = Some(bytes.clone()).filter(|bytes| !bytes.is_empty());
                Upload {
                    beginning,
                    rest: None,
                    length: body.length(),
                    silence: SilenceTimer::default(),
                }
            }
            RequestBody::Streamed(streamed) => {
                let (beginning, rest) = (Some(streamed.beginning.clone()), Some(streamed.clone()));
                Upload {
                    beginning,
                    rest,
                    length: streamed.length,
                    silence: SilenceTimer::default(),
                }
            }
        }
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
        self.beginning.is_none() && self.rest.as_ref().is_none_or(|rest| rest.is_complete())
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// How a streamed response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The last byte was passed to the client.
    Complete,
    /// The backend broke off the response or stopped sending.
    Broken,
    /// The client disconnected before the end.
    Abandoned,
}

/// Response body that is still being received from the backend.
pub struct StreamedResponse {
    beginning: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    silence: SilenceTimer,
    broken: bool,
    finished: bool,
    /// Receives how the stream ended; the connection can be reused after a complete one.
    end_sender: Option<oneshot::Sender<StreamEnd>>,
    /// Called with how the stream ended, to count the response.
    pub on_end: Option<Box<dyn FnOnce(StreamEnd)>>,
}

impl StreamedResponse {
    /// Creates the body, and a receiver for how its stream ends.
    pub fn new(
        beginning: Bytes,
        rest: Incoming,
        length: Option<u64>,
    ) -> (Self, oneshot::Receiver<StreamEnd>) {
        let (end_sender, end_receiver) = oneshot::channel();
        let beginning = Some(beginning).filter(|bytes| !bytes.is_empty());
        let (silence, on_end) = (SilenceTimer::default(), None);
        (
            StreamedResponse {
                beginning,
                rest,
                length,
                silence,
                broken: false,
                finished: false,
                end_sender: Some(end_sender),
                on_end,
            },
            end_receiver,
        )
    }
}

impl Body for StreamedResponse {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let frame = match Pin::new(&mut self.rest).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(self.silence.poll(BACKEND_SILENCE_TIMEOUT, cx));
                self.broken = true;
                return Poll::Ready(Some(Err("the backend stopped sending the response".into())));
            }
        };
        self.silence.reset();
        match &frame {
            Some(Err(_)) => self.broken = true,
            Some(Ok(_)) => self.finished = self.rest.is_end_stream(),
            None => self.finished = true,
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Error::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.beginning.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        let end = match (self.broken, self.finished) {
            (true, _) => StreamEnd::Broken,
            (false, true) => StreamEnd::Complete,
            (false, false) => StreamEnd::Abandoned,
        };
        self.end_sender.take().map(|sender| sender.send(end).ok());
        self.on_end
            .take()
            .into_iter()
            .for_each(|on_end| on_end(end));
    }
}

/// Body of a response, buffered or streamed.
pub enum ResponseBody {
    /// The whole body has been received.
    Buffered(Option<Bytes>),
    /// The body is still being received and is passed on as it arrives.
    Streamed(Box<StreamedResponse>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Streamed(body) => Pin::new(&mut **body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_none(),
            ResponseBody::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Streamed(body) => body.size_hint(),
        }
    }
}
