//! Bodies on their way through: what does not fit in memory goes from one socket to the other as it comes.
//!
//! A body of up to [`BODY`] bytes is held whole, so that another attempt can carry it and a broken answer
//! never reaches a client. A larger one is streamed: the reader of one side is the writer of the other, so
//! each waits for the other, and what is on the way at a time is a chunk and a socket's buffer.

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

use crate::sizes::{BODY, LARGE};

type Error = Box<dyn std::error::Error + Send + Sync>;

/// A client that sends nothing of its body for this long is held for gone.
pub const CLIENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// A backend that gives nothing of an answer begun for this long is held for gone: the answer is cut.
const BACKEND_SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// What a client still sends after its answer is read for so long, so that the answer reaches it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// The start of a body, and whether that was all: so much as is held, or as comes in the time given.
///
/// # Errors
/// Where the body breaks off.
pub async fn read_start(
    body: &mut Incoming,
    within: Option<Duration>,
) -> Result<(Bytes, bool), hyper::Error> {
    let mut parts: Vec<u8> = Vec::new();
    let until = within.map(|within| Instant::now() + within);
    while parts.len() <= BODY {
        let frame = match until {
            Some(until) => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                // Nothing to begin with is no answer yet.
                Err(_) if parts.is_empty() => body.frame().await,
                Err(_) => break,
            },
            None => body.frame().await,
        };
        match frame {
            Some(frame) => {
                if let Ok(data) = frame?.into_data() {
                    // Most bodies come in one part: no copy then.
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

/// A request's body that is still coming, shared by the attempts that may carry it.
pub struct StreamedBody {
    first: Bytes,
    rest: RefCell<Option<Incoming>>,
    /// Bytes in all, where the client said.
    pub length: Option<u64>,
    received: Cell<u64>,
    /// Part of what is not held has gone to a backend: no other attempt can carry it.
    consumed: Cell<bool>,
    is_complete: Cell<bool>,
    /// Told once its last byte has come.
    on_complete: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl StreamedBody {
    /// `on_complete` is called once its last byte has come.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        on_complete: Box<dyn FnOnce()>,
    ) -> Rc<Self> {
        Rc::new(StreamedBody {
            received: Cell::new(first.len() as u64),
            first,
            rest: RefCell::new(Some(rest)),
            length,
            consumed: Cell::default(),
            is_complete: Cell::default(),
            on_complete: RefCell::new(Some(on_complete)),
        })
    }

    /// Whether part of it has gone to a backend and is not held.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// All of it has gone to a backend, or is about to: it may run.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// Reads what still comes and drops it, so that the client goes on to read its answer.
    pub async fn drain(&self) {
        let Some(mut rest) = self.rest.borrow_mut().take() else {
            return;
        };
        let read = async {
            let mut read = 0;
            while let Ok(Some(Ok(frame))) = timeout(CLIENT_SILENCE_TIMEOUT, rest.frame()).await {
                read += frame.data_ref().map_or(0, Bytes::len);
                if read > LARGE {
                    return;
                }
            }
        };
        timeout(DRAIN_TIMEOUT, read).await.ok();
    }

    fn poll(&self, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let mut rest = self.rest.borrow_mut();
        let Some(body) = rest.as_mut() else {
            return Poll::Ready(Some(Err("the body is given up".into())));
        };
        let frame = ready!(Pin::new(&mut *body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.consumed.set(true);
            self.received
                .set(self.received.get() + frame.data_ref().map_or(0, Bytes::len) as u64);
            if self.received.get() > LARGE as u64 {
                return Poll::Ready(Some(Err("the body is too large".into())));
            }
        }
        if frame.is_none() || body.is_end_stream() {
            self.is_complete.set(true);
            if let Some(on_complete) = self.on_complete.borrow_mut().take() {
                on_complete();
            }
        }
        Poll::Ready(frame.map(|f| f.map_err(Error::from)))
    }
}

/// What a request carries.
#[derive(Clone)]
pub enum RequestBody {
    /// All of it is here.
    Buffered(Bytes),
    /// It still comes.
    Streamed(Rc<StreamedBody>),
}

impl RequestBody {
    /// Bytes, where they are known.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes.len() as u64),
            RequestBody::Streamed(streamed) => streamed.length,
        }
    }

    /// The body that still comes, if it does.
    pub fn streamed(&self) -> Option<&Rc<StreamedBody>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(streamed) => Some(streamed),
        }
    }
}

/// How long the side that a body comes from has said nothing.
#[derive(Default)]
struct Silence(Option<Pin<Box<Sleep>>>);

impl Silence {
    /// It said something.
    fn broken(&mut self) {
        self.0 = None;
    }

    /// Ready once it has lasted for `most`.
    fn poll(&mut self, most: Duration, cx: &mut Context) -> Poll<()> {
        self.0
            .get_or_insert_with(|| Box::pin(sleep(most)))
            .as_mut()
            .poll(cx)
    }
}

/// A request's body as one attempt carries it.
pub struct Upload {
    first: Option<Bytes>,
    rest: Option<Rc<StreamedBody>>,
    length: Option<u64>,
    silence: Silence,
}

impl Upload {
    /// A body for one attempt.
    pub fn new(body: &RequestBody) -> Self {
        match body {
            RequestBody::Buffered(bytes) => {
                let first = Some(bytes.clone()).filter(|b| !b.is_empty());
                Upload {
                    first,
                    rest: None,
                    length: body.length(),
                    silence: Silence::default(),
                }
            }
            RequestBody::Streamed(streamed) => {
                let (first, rest) = (Some(streamed.first.clone()), Some(streamed.clone()));
                Upload {
                    first,
                    rest,
                    length: streamed.length,
                    silence: Silence::default(),
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
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = self.rest.clone() else {
            return Poll::Ready(None);
        };
        match rest.poll(cx) {
            Poll::Ready(frame) => {
                self.silence.broken();
                Poll::Ready(frame)
            }
            Poll::Pending => {
                ready!(self.silence.poll(CLIENT_SILENCE_TIMEOUT, cx));
                Poll::Ready(Some(Err("the client stopped sending".into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(|r| r.is_complete())
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// How an answer passed on as it came has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Its last byte has gone to the client.
    Complete,
    /// The backend broke it off, or fell silent.
    Broken,
    /// The client left before its end.
    Abandoned,
}

/// An answer's body that still comes from its backend.
pub struct StreamedResponse {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    silence: Silence,
    broken: bool,
    over: bool,
    /// Told whether it ended whole, so that its connection can carry the next.
    end: Option<oneshot::Sender<StreamEnd>>,
    /// The same for whoever counts answers.
    pub count: Option<Box<dyn FnOnce(StreamEnd)>>,
}

impl StreamedResponse {
    /// The body, and the word of how it ended.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
    ) -> (Self, oneshot::Receiver<StreamEnd>) {
        let (end, ended) = oneshot::channel();
        let first = Some(first).filter(|f| !f.is_empty());
        let (silence, count) = (Silence::default(), None);
        (
            StreamedResponse {
                first,
                rest,
                length,
                silence,
                broken: false,
                over: false,
                end: Some(end),
                count,
            },
            ended,
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
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let frame = match Pin::new(&mut self.rest).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(self.silence.poll(BACKEND_SILENCE_TIMEOUT, cx));
                self.broken = true;
                return Poll::Ready(Some(Err("the backend fell silent".into())));
            }
        };
        self.silence.broken();
        match &frame {
            Some(Err(_)) => self.broken = true,
            Some(Ok(_)) => self.over = self.rest.is_end_stream(),
            None => self.over = true,
        }
        Poll::Ready(frame.map(|f| f.map_err(Error::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for StreamedResponse {
    fn drop(&mut self) {
        let end = match (self.broken, self.over) {
            (true, _) => StreamEnd::Broken,
            (false, true) => StreamEnd::Complete,
            (false, false) => StreamEnd::Abandoned,
        };
        self.end.take().map(|to| to.send(end).ok());
        self.count.take().into_iter().for_each(|count| count(end));
    }
}

/// An answer's body: whole, or as it comes.
pub enum ResponseBody {
    /// All of it is here.
    Buffered(Option<Bytes>),
    /// It is passed on as it comes.
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
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Streamed(body) => body.size_hint(),
        }
    }
}
