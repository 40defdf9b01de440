//! Buffered and streamed bodies.
//!
//! A body of up to [`MAX_BUFFERED_BODY`] bytes is buffered, so that another attempt can send it again and a truncated
//! response never reaches a client. A larger body is streamed from one socket to the other. Reading waits for writing,
//! so the memory in use at a time is one chunk and the buffer of a socket.

mod held_time;
mod request;
mod response;
mod silence;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

pub use self::request::{
    BodyBreak, RequestBody, StreamedBody, Upload, UploadHandle, UploadProgress,
};
pub use self::response::{ResponseBody, StreamEnd, StreamedResponse};
use crate::sizes::MAX_BUFFERED_BODY;

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Time without received data after which a client that is sending a body counts as disconnected.
pub const CLIENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);

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
