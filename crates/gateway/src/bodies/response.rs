//! The body of a response: buffered, or streamed to the client while the backend sends it.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::oneshot;

use super::Error;
use super::silence::SilenceTimer;

/// Time without received data after which a backend that is sending a response counts as failed and the response is cut
/// off.
const BACKEND_SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// How a streamed response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The last byte was passed to the client.
    Complete,
    /// The backend broke off the response or stopped sending.
    Broken,
    /// The client disconnected before the end.
    Abandoned,
    /// The time limit of the response passed before the end.
    TimedOut,
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
    /// Set if the response is cut off because its time limit has passed.
    pub exceeds_limit: Rc<Cell<bool>>,
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
                exceeds_limit: Rc::default(),
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
            (false, false) if self.exceeds_limit.get() => StreamEnd::TimedOut,
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
