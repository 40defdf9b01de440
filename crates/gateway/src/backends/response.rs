//! A backend's response as it is read: whole where it is small, else its beginning and what still comes.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;

use crate::bodies::{self, ResponseBody, StreamEnd, StreamedResponse};
use crate::memory_budget::MemoryBudget;
use crate::sizes::{BODY, LARGE};

/// An answer that does not say its length is held back for so long from its head on: whole, it can be
/// told from a broken one; a long one that comes slowly must begin before its client's time is up.
const HOLD_BACK: Duration = Duration::from_millis(100);

/// Why a response can't be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    #[error("an answer of no known length")]
    UnknownLength,
    #[error("an answer of {0} bytes")]
    TooLarge(u64),
    #[error("no room for an answer")]
    NoMemory,
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// A response whose head, and whose body or the body's beginning, have come.
pub(super) struct ReceivedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: ResponseBody,
    /// Where the body is passed on as it comes: how it ended.
    pub(super) stream_end: Option<oneshot::Receiver<StreamEnd>>,
}

/// The body's length where the head tells it.
///
/// A length given in both ways is given in none. With neither, the close of the connection ends it: a
/// machine that dies resets its connections, and a reset is no end.
fn known_length(headers: &HeaderMap, body: &Incoming) -> Result<Option<u64>, ResponseError> {
    let encoding = headers.get(TRANSFER_ENCODING);
    let is_chunked = encoding.map(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let has_length = headers.contains_key(CONTENT_LENGTH);
    if is_chunked == Some(false) || is_chunked.is_some() && has_length {
        return Err(ResponseError::UnknownLength);
    }
    match body.size_hint().exact() {
        Some(length) if length > LARGE as u64 => Err(ResponseError::TooLarge(length)),
        length => Ok(length),
    }
}

/// Reads a response, until it is whole or its body is known to be passed on as it comes.
pub(super) async fn receive(
    memory: &MemoryBudget,
    response: Response<Incoming>,
) -> Result<ReceivedResponse, ResponseError> {
    let (head, mut body) = response.into_parts();
    let length = known_length(&head.headers, &body)?;
    let (beginning, is_whole) = match length {
        Some(length) if length > BODY as u64 => (Bytes::new(), false),
        Some(_) => bodies::read_start(&mut body, None).await?,
        None => {
            // What may be this large and does not say so has its room from what all answers share.
            let reservation = memory.reserve(BODY).ok_or(ResponseError::NoMemory)?;
            let (beginning, is_whole) = bodies::read_start(&mut body, Some(HOLD_BACK)).await?;
            (reservation.keep(beginning), is_whole)
        }
    };
    let (body, stream_end) = if is_whole {
        let bytes = Some(beginning).filter(|bytes| !bytes.is_empty());
        (ResponseBody::Buffered(bytes), None)
    } else {
        // Its time is its first bytes': a head alone is no answer yet.
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
