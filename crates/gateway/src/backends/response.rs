//! Reads the response of a backend: buffers a small body, streams a large one.

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

/// A response with its head and either its whole body or the beginning of it.
pub(super) struct ReceivedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ResponseBody,
    /// Receives how the stream ended; `None` if the body is buffered.
    pub(super) stream_end: Option<oneshot::Receiver<StreamEnd>>,
}

/// Returns the body length if the head states it.
///
/// Fails if the head has both `Transfer-Encoding` and `Content-Length`, or an encoding other than `chunked`, because the
/// length is then ambiguous. With neither header, the body ends when the connection is closed. This is accepted because
/// a machine that fails resets its connections, and a reset is reported as an error and not as the end of the body.
fn known_length(headers: &HeaderMap, body: &Incoming) -> Result<Option<u64>, ResponseError> {
    let encoding = headers.get(TRANSFER_ENCODING);
    let is_chunked = encoding.map(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let has_length = headers.contains_key(CONTENT_LENGTH);
    if is_chunked == Some(false) || is_chunked.is_some() && has_length {
        return Err(ResponseError::UnknownLength);
    }
    match body.size_hint().exact() {
        Some(length) if length > MAX_BODY as u64 => Err(ResponseError::TooLarge(length)),
        length => Ok(length),
    }
}

/// Reads a response until its body is complete or it is certain that the body has to be streamed.
pub(super) async fn receive(
    memory: &MemoryBudget,
    response: Response<Incoming>,
) -> Result<ReceivedResponse, ResponseError> {
    let (head, mut body) = response.into_parts();
    let length = known_length(&head.headers, &body)?;
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
        stream_end,
    })
}
