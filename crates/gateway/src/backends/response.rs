//! Reads the response of a backend: buffers a small body, streams a large one.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;

use crate::bodies::{self, ResponseBody, StreamEnd, StreamedResponse};
use crate::memory_budget::MemoryBudget;
use crate::sizes::{MAX_BODY, MAX_BUFFERED_BODY};

/// Maximum time for which a response of unknown length is buffered, counted from its head. A response buffered to its
/// end can be told from a truncated one; a long, slow response must start to flow before the client times out.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(100);

/// Reasons why a response cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    #[error("response with ambiguous body length")]
    UnknownLength,
    #[error("response body of {0} bytes is too large")]
    TooLarge(u64),
    #[error("memory limit for responses of unknown length reached")]
    NoMemory,
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// How the head of a response states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// After so many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection.
    ConnectionEnd,
}

impl fmt::Display for BodyFraming {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            BodyFraming::Length(bytes) => write!(f, "a length of {bytes} bytes"),
            BodyFraming::Chunked => write!(f, "chunks"),
            BodyFraming::ConnectionEnd => write!(f, "the end of its connection"),
        }
    }
}

/// A response with its head and either its whole body or the beginning of it.
pub(super) struct ReceivedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ResponseBody,
    pub(super) framing: BodyFraming,
    /// Receives how the stream ended; `None` if the body is buffered.
    pub(super) stream_end: Option<oneshot::Receiver<StreamEnd>>,
}

/// Returns how the head states where the body ends.
///
/// Fails if the head has both `Transfer-Encoding` and `Content-Length`, or an encoding other than `chunked`, because the
/// length is then ambiguous. With neither header, the body ends when the connection is closed. This is accepted because
/// a machine that fails resets its connections, and a reset is reported as an error and not as the end of the body.
fn body_framing(headers: &HeaderMap, body: &Incoming) -> Result<BodyFraming, ResponseError> {
    let encoding = headers.get(TRANSFER_ENCODING);
    let is_chunked = encoding.map(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let has_length = headers.contains_key(CONTENT_LENGTH);
    if is_chunked == Some(false) || is_chunked.is_some() && has_length {
        return Err(ResponseError::UnknownLength);
    }
    match body.size_hint().exact() {
        Some(length) if length > MAX_BODY as u64 => Err(ResponseError::TooLarge(length)),
        Some(length) => Ok(BodyFraming::Length(length)),
        None if is_chunked.is_some() => Ok(BodyFraming::Chunked),
        None => Ok(BodyFraming::ConnectionEnd),
    }
}

/// Reads a response until its body is complete or it is certain that the body has to be streamed.
pub(super) async fn receive(
    memory: &MemoryBudget,
    response: Response<Incoming>,
) -> Result<ReceivedResponse, ResponseError> {
    let (head, mut body) = response.into_parts();
    let framing = body_framing(&head.headers, &body)?;
    let length = match framing {
        BodyFraming::Length(length) => Some(length),
        BodyFraming::Chunked | BodyFraming::ConnectionEnd => None,
    };
    let (beginning, is_whole) = match length {
        Some(length) if length > MAX_BUFFERED_BODY as u64 => (Bytes::new(), false),
        Some(_) => bodies::read_start(&mut body, None).await?,
        None => {
            // A body of unknown length may need the whole buffer, so memory is reserved from the common limit.
            let reservation = memory
                .reserve(MAX_BUFFERED_BODY)
                .ok_or(ResponseError::NoMemory)?;
            let (beginning, is_whole) =
                bodies::read_start(&mut body, Some(BUFFERING_TIMEOUT)).await?;
            (reservation.keep(beginning), is_whole)
        }
    };
    let (body, stream_end) = if is_whole {
        let bytes = Some(beginning).filter(|bytes| !bytes.is_empty());
        (ResponseBody::Buffered(bytes), None)
    } else {
        // The response counts as received with the first bytes of its body; a head alone is not enough.
        let (streamed, end) = StreamedResponse::new(beginning, body, length);
        (ResponseBody::Streamed(Box::new(streamed)), Some(end))
    };
    Ok(ReceivedResponse {
        status: head.status,
        headers: head.headers,
        body,
        framing,
        stream_end,
    })
}
