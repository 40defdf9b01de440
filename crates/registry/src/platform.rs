//! Reads the platform's list of backends while this registry is the coordinator.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damsonbeam_control::messages::Backend;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::TICK;
use crate::backend_list::{Page, PageError, read_page};
use crate::registry::{SharedRegistry, log_list_discarded};

/// Interval between two readings of the list, as a fraction of the time within which a drain must take effect. The rest
/// of that time is a margin for the loss of the coordinator.
const POLL_FRACTION_OF_DRAIN: f64 = 0.2;
/// Default time within which a drain must take effect, in milliseconds.
const DEFAULT_DRAIN_MS: u64 = 2500;
/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Fraction of the platform's rate limit that a coordinator uses: if the role changes, the old and the new coordinator
/// together stay within the limit in any one second.
const FRACTION_OF_RATE: f64 = 0.5;

/// An error in reading a page of the list.
#[derive(Debug, thiserror::Error)]
enum PlatformError {
    #[error("the call to the platform timed out")]
    Timeout,
    #[error("the platform answered with status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error(transparent)]
    Page(#[from] PageError),
}

/// Reads the list repeatedly while this registry is the coordinator, within its part of the platform's rate limit.
pub(crate) async fn poll(registry: SharedRegistry) {
    let Some(api) = registry.borrow().settings().cloud_api else {
        return;
    };
    let call_interval = Duration::from_secs_f64(1.0 / (api.rate_per_s * FRACTION_OF_RATE));
    let drain = registry
        .borrow()
        .settings()
        .timing_bound_ms("drain_ms", DEFAULT_DRAIN_MS);
    let poll_interval = drain.mul_f64(POLL_FRACTION_OF_DRAIN);
    loop {
        let Some(term) = registry.borrow().acting_term() else {
            sleep(TICK).await;
            continue;
        };
        let began = Instant::now();
        if let Some(backends) = read_list(&registry, api.address, term, call_interval).await {
            registry.borrow_mut().publish_list(term, backends);
        }
        let rest = poll_interval.saturating_sub(began.elapsed());
        sleep(rest.max(call_interval)).await;
    }
}

/// Reads all pages of the list; returns `None` if a page can't be read or the lease ends before a page is requested.
async fn read_list(
    registry: &SharedRegistry,
    platform: SocketAddr,
    term: u64,
    call_interval: Duration,
) -> Option<Vec<Backend>> {
    let mut backends = Vec::new();
    let mut path = "/instances".to_string();
    loop {
        if registry.borrow().acting_term() != Some(term) {
            log_list_discarded(term);
            return None;
        }
        let page = match fetch_page(platform, path).await {
            Ok(page) => page,
            Err(error) => {
                log::warn!("list: {error}.");
                return None;
            }
        };
        backends.extend(page.backends);
        let Some(token) = page.next_token else {
            return Some(backends);
        };
        path = format!("/instances?page_token={token}");
        sleep(call_interval).await;
    }
}

async fn fetch_page(platform: SocketAddr, path: String) -> Result<Page, PlatformError> {
    let answer = timeout(CALL_TIMEOUT, get(platform, path)).await;
    let body = answer.map_err(|_| PlatformError::Timeout)??;
    Ok(read_page(body)?)
}

async fn get(platform: SocketAddr, path: String) -> Result<Vec<u8>, PlatformError> {
    let stream = TcpStream::connect(platform).await?;
    stream.set_nodelay(true).ok();
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::task::spawn_local(async move { connection.await.ok() });
    let request = Request::get(path).header("host", platform.to_string());
    let answer = sender
        .send_request(request.body(Empty::<Bytes>::new())?)
        .await?;
    let status = answer.status();
    let body = answer.into_body().collect().await?.to_bytes();
    if status != StatusCode::OK {
        return Err(PlatformError::Status(status));
    }
    Ok(body.to_vec())
}
