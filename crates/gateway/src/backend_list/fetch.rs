//! Requests to the discovery service over a persistent connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::DiscoveryPage;

const MAX_BODY_BYTES: usize = 4 << 20;
const PATH: &str = "/discovery/hosts";

/// Reasons why a request to the discovery service failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum FetchError {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("request timed out")]
    TimedOut,
}

/// Persistent connection to the discovery service. If closed, the next request opens a new one.
#[derive(Default)]
pub(super) struct DiscoveryConnection {
    open: Option<SendRequest<Empty<Bytes>>>,
}

impl DiscoveryConnection {
    /// Fetches the whole list or, with `since_revision`, the changes since that revision.
    ///
    /// A request for changes is a long poll: the service replies as soon as there is a change, at the latest after
    /// `hold`.
    pub(super) async fn fetch(
        &mut self,
        address: SocketAddr,
        since_revision: Option<u64>,
        hold: Duration,
    ) -> Result<DiscoveryPage, FetchError> {
        let path = match since_revision {
            None => PATH.to_owned(),
            Some(revision) => format!("{PATH}?from={revision}&hold_ms={}", hold.as_millis()),
        };
        let mut send = match self.open.take().filter(|open| !open.is_closed()) {
            Some(open) => open,
            None => connect(address).await?,
        };
        send.ready().await?;
        let request = Request::get(path)
            .header(HOST, address.to_string())
            .body(Empty::new())?;
        let response = send.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(FetchError::Body)?;
        if status != StatusCode::OK {
            return Err(FetchError::Status(status));
        }
        self.open = Some(send);
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, FetchError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (send, driver) = handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move { driver.await.ok() });
    Ok(send)
}
