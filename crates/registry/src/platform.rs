//! The platform's list of backends, read by the coordinator.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damsonbeam_control::messages::Server;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::state::Shared;
use crate::{TICK, backend_list};

/// Between two readings of the platform's list, as a part of the time in which a drain must be kept: the rest is for
/// a coordinator's loss.
const POLL_FRACTION_OF_DRAIN: f64 = 0.2;
/// A call to the platform is given up after this.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(900);

async fn get(at: SocketAddr, path: String) -> Result<(StatusCode, Vec<u8>), String> {
    let stream = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).ok();
    let (mut send, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    tokio::task::spawn_local(async move { conn.await.ok() });
    let request = Request::get(path)
        .header("host", at.to_string())
        .body(Empty::<Bytes>::new());
    let answer = send
        .send_request(request.map_err(|e| e.to_string())?)
        .await
        .map_err(|e| e.to_string())?;
    let status = answer.status();
    let body = answer
        .into_body()
        .collect()
        .await
        .map_err(|e| e.to_string())?
        .to_bytes();
    Ok((status, body.to_vec()))
}

/// The coordinator reads the platform's list, page by page, within the rate that all share: one holder, so it is its alone.
pub(crate) async fn poll(registry: Shared) {
    let Some((at, rate)) = registry.borrow().settings.cloud else {
        return;
    };
    // Half of the rate: two holders in a row, each with its own calls in one second, stay within it.
    let apart = Duration::from_secs_f64(2.0 / rate);
    let every = registry
        .borrow()
        .settings
        .bound_ms("drain_ms", 2500)
        .mul_f64(POLL_FRACTION_OF_DRAIN);
    loop {
        let Some(term) = registry.borrow().term_now() else {
            sleep(TICK).await;
            continue;
        };
        let began = Instant::now();
        if let Some(servers) = read_all(&registry, at, term, apart).await {
            registry.borrow_mut().publish_list(term, servers);
        }
        sleep(every.saturating_sub(began.elapsed()).max(apart)).await;
    }
}

/// All pages of the list; none where one can't be read, or where the lease has ended before it is asked for.
async fn read_all(
    registry: &Shared,
    at: SocketAddr,
    term: u64,
    apart: Duration,
) -> Option<Vec<Server>> {
    let (mut all, mut token) = (Vec::new(), None::<String>);
    loop {
        if registry.borrow().term_now() != Some(term) {
            log::info!("list: the duty is over, the reading of term {term} is dropped.");
            return None;
        }
        let path = token.as_ref().map_or("/instances".into(), |t| {
            format!("/instances?page_token={t}")
        });
        match read_page(at, path).await {
            Ok((servers, next)) => {
                all.extend(servers);
                token = next;
            }
            Err(why) => {
                log::warn!("list: {why}.");
                return None;
            }
        }
        if token.is_none() {
            return Some(all);
        }
        sleep(apart).await;
    }
}

async fn read_page(at: SocketAddr, path: String) -> Result<(Vec<Server>, Option<String>), String> {
    match timeout(PLATFORM_TIMEOUT, get(at, path)).await {
        Ok(Ok((StatusCode::OK, body))) => backend_list::page(body),
        Ok(Ok((status, _))) => Err(format!("answered {status}")),
        Ok(Err(why)) => Err(why),
        Err(_) => Err("no answer in time".into()),
    }
}
