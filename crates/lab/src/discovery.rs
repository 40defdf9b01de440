//! A stand-in for discovery, from the platform's protocol: `GET /discovery/hosts` gives the whole list, a
//! watch (`?from=REVISION&hold_ms=MS`) waits for a newer one and gives it whole.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A backend as the list has it.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    pub id: String,
    pub host_port: SocketAddr,
    pub locality: String,
    pub flavor: String,
    pub cell: u32,
    /// `active`, `leaving` or `left`.
    pub phase: String,
    pub size: f64,
    pub up_since_ms: u64,
}

impl Member {
    pub fn active(id: &str, at: SocketAddr) -> Member {
        let (locality, flavor, phase) = ("a".into(), "m".into(), "active".into());
        Member {
            id: id.into(),
            host_port: at,
            locality,
            flavor,
            cell: 0,
            phase,
            size: 1.0,
            up_since_ms: 0,
        }
    }
}

#[derive(Clone, Debug, Serialize)]
struct Page {
    revision: u64,
    complete: bool,
    members: Vec<Member>,
}

pub struct Discovery {
    pub at: SocketAddr,
    list: watch::Sender<Page>,
    calls: Arc<AtomicUsize>,
}

impl Discovery {
    pub async fn start(members: Vec<Member>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let (list, _) = watch::channel(Page {
            revision: 1,
            complete: true,
            members,
        });
        let (pages, calls) = (Arc::new(list.subscribe()), Arc::<AtomicUsize>::default());
        let counted = calls.clone();
        tokio::spawn(async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else {
                    continue;
                };
                let (pages, counted) = (pages.clone(), counted.clone());
                tokio::spawn(async move {
                    let service = service_fn(move |r| {
                        counted.fetch_add(1, Ordering::Relaxed);
                        hosts(r, (*pages).clone())
                    });
                    http1::Builder::new()
                        .serve_connection(TokioIo::new(socket), service)
                        .await
                        .ok();
                });
            }
        });
        Ok(Discovery { at, list, calls })
    }

    /// Lists and watches asked for so far.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Changes the list; watches that wait are answered at once.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Member>)) {
        self.list.send_modify(|page| {
            change(&mut page.members);
            page.revision += 1;
        });
    }
}

async fn hosts(
    request: Request<Incoming>,
    mut pages: watch::Receiver<Page>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let query = request.uri().query().unwrap_or("");
    let number = |key: &str| {
        query
            .split('&')
            .find_map(|kv| kv.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    if let Some(from) = number("from") {
        let hold = Duration::from_millis(number("hold_ms").unwrap_or(20_000).min(60_000));
        let newer = pages.wait_for(|p| p.revision > from);
        tokio::time::timeout(hold, newer).await.ok();
    }
    let page = pages.borrow().clone();
    let body = serde_json::to_string(&page).unwrap_or_default();
    Ok(Response::new(Full::new(Bytes::from(body))))
}
