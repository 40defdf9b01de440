//! The HTTP/1.1 server of the admin interface: one request per connection, with limits on the number of connections and
//! on their duration.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, LocalSet};
use tokio::time::{sleep, timeout};

use crate::Metrics;

/// Maximum number of open connections. A further one closes the oldest, which is the least likely to complete.
const MAX_CONNECTIONS: usize = 8;
/// Maximum duration of a connection. Callers wait 1 s; some never complete their request.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for an order, shorter than the callers' 1 s so that they still get the response.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a request head in bytes; the smallest limit that hyper accepts.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An operator's order to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Close the clients' connections, but keep the process running.
    Evacuate,
    /// Accept clients again.
    Rejoin,
}

/// An order, and the sender for the gateway's reply whether it accepts the order.
pub type OrderRequest = (Order, oneshot::Sender<bool>);

/// The admin interface.
#[derive(Clone)]
pub struct Admin {
    /// The metrics.
    pub metrics: Metrics,
    /// Returns whether the process is ready to serve.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Receives the orders.
    pub orders: mpsc::Sender<OrderRequest>,
}

impl Admin {
    /// Listens on `address` in a new thread until the process ends.
    ///
    /// # Errors
    /// Returns a text with the address and the cause if the address can't be bound or the thread can't be started.
    pub fn start(self, address: SocketAddr) -> Result<(), String> {
        let with_address = |e: std::io::Error| format!("admin_addr: {address}: {e}");
        let listener = TcpListener::bind(address).map_err(with_address)?;
        listener.set_nonblocking(true).map_err(with_address)?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(with_address)?;
        let serve = move || LocalSet::new().block_on(&runtime, self.serve(listener));
        std::thread::Builder::new()
            .name("admin".into())
            .spawn(serve)
            .map_err(with_address)?;
        Ok(())
    }

    async fn serve(self, listener: TcpListener) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            return;
        };
        let mut open: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            open.retain(|connection| !connection.is_finished());
            if open.len() >= MAX_CONNECTIONS
                && let Some(oldest) = open.pop_front()
            {
                oldest.abort();
            }
            let admin = self.clone();
            let connection = tokio::task::spawn_local(async move {
                let service = service_fn(move |request| admin.clone().answer(request));
                let mut http = http1::Builder::new();
                let http = http.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
                timeout(
                    CONNECTION_TIMEOUT,
                    http.serve_connection(TokioIo::new(socket), service),
                )
                .await
                .ok();
            });
            open.push_back(connection.abort_handle());
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let known_paths = [
            "/api/ready",
            "/api/telemetry",
            "/api/evacuate",
            "/api/rejoin",
        ];
        let path = request.uri().path();
        let status = match (request.method(), path) {
            (&Method::GET, "/api/ready") if (self.ready)() => StatusCode::OK,
            (&Method::GET, "/api/ready") => StatusCode::SERVICE_UNAVAILABLE,
            (&Method::GET, "/api/telemetry") => {
                let mut response = Response::new(Full::from(self.metrics.encode()));
                let content_type =
                    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
                response.headers_mut().insert(CONTENT_TYPE, content_type);
                return Ok(response);
            }
            (&Method::POST, "/api/evacuate") => self.order(Order::Evacuate).await,
            (&Method::POST, "/api/rejoin") => self.order(Order::Rejoin).await,
            _ if known_paths.contains(&path) => StatusCode::METHOD_NOT_ALLOWED,
            _ => StatusCode::NOT_FOUND,
        };
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        Ok(response)
    }

    async fn order(&self, order: Order) -> StatusCode {
        let (reply_to, reply) = oneshot::channel();
        let is_accepted = async {
            self.orders.send((order, reply_to)).await.ok()?;
            reply.await.ok()
        };
        match timeout(ORDER_TIMEOUT, is_accepted).await {
            Ok(Some(true)) => StatusCode::OK,
            Ok(Some(false)) => StatusCode::CONFLICT,
            Ok(None) | Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
