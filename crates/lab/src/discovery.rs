//! A simulated discovery service, implemented from the platform's protocol: `GET /discovery/hosts` returns the complete
//! list of backends. A watch (`?from=REVISION&hold_ms=MS`) waits for a newer revision and also returns the complete
//! list.

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

/// An entry of the list of backends.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Identifier of the backend.
    pub id: String,
    /// Address of the backend.
    pub host_port: SocketAddr,
    /// Data center of the backend.
    pub locality: String,
    /// Machine type of the backend.
    pub flavor: String,
    /// Cell of the backend.
    pub cell: u32,
    /// `active`, `leaving` or `left`.
    pub phase: String,
    /// Relative capacity.
    pub size: f64,
    /// Start time in milliseconds.
    pub up_since_ms: u64,
}

impl Member {
    /// Returns an active member of size 1 in locality `a`, cell 0 and of flavor `m`.
    pub fn active(id: &str, address: SocketAddr) -> Member {
        let (locality, flavor, phase) = ("a".into(), "m".into(), "active".into());
        Member {
            id: id.into(),
            host_port: address,
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

/// A running simulated discovery service.
pub struct Discovery {
    /// Address on which the service listens.
    pub address: SocketAddr,
    page_sender: watch::Sender<Page>,
    request_count: Arc<AtomicUsize>,
}

impl Discovery {
    /// Starts the service on a free port of 127.0.0.1 with `members` as revision 1.
    ///
    /// # Errors
    /// Returns the error where the address cannot be bound.
    pub async fn start(members: Vec<Member>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (page_sender, _) = watch::channel(Page {
            revision: 1,
            complete: true,
            members,
        });
        let (pages, request_count) = (
            Arc::new(page_sender.subscribe()),
            Arc::<AtomicUsize>::default(),
        );
        let counter = request_count.clone();
        tokio::spawn(async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else {
                    continue;
                };
                let (pages, counter) = (pages.clone(), counter.clone());
                tokio::spawn(async move {
                    let service = service_fn(move |r| {
                        counter.fetch_add(1, Ordering::Relaxed);
                        respond(r, (*pages).clone())
                    });
                    http1::Builder::new()
                        .serve_connection(TokioIo::new(socket), service)
                        .await
                        .ok();
                });
            }
        });
        Ok(Discovery {
            address,
            page_sender,
            request_count,
        })
    }

    /// Returns the number of requests so far, lists and watches together.
    pub fn request_count(&self) -> usize {
        self.request_count.load(Ordering::Relaxed)
    }

    /// Changes the list and increments its revision; pending watches return immediately.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Member>)) {
        self.page_sender.send_modify(|page| {
            change(&mut page.members);
            page.revision += 1;
        });
    }
}

/// Handles a list or watch request.
async fn respond(
    request: Request<Incoming>,
    mut pages: watch::Receiver<Page>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let query = request.uri().query().unwrap_or("");
    let query_number = |key: &str| {
        query.split('&').find_map(|pair| {
            pair.strip_prefix(key)?
                .strip_prefix('=')?
                .parse::<u64>()
                .ok()
        })
    };
    if let Some(from) = query_number("from") {
        let timeout = Duration::from_millis(query_number("hold_ms").unwrap_or(20_000).min(60_000));
        let newer_page = pages.wait_for(|p| p.revision > from);
        tokio::time::timeout(timeout, newer_page).await.ok();
    }
    let page = pages.borrow().clone();
    let body = serde_json::to_string(&page).unwrap_or_default();
    Ok(Response::new(Full::new(Bytes::from(body))))
}
