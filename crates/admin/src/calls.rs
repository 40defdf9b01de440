//! The calls: HTTP/1.1, one to a connection, a few connections at a time, each for a short time.

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

use crate::Figures;

/// Calls open at a time: one more ends the oldest, for it is the likeliest never to be finished.
const CALLS: usize = 8;
/// A call's life. Callers wait 1 s; some finish none.
const LIFE: Duration = Duration::from_secs(2);
/// What an order may take: the caller still hears in time.
const ORDER: Duration = Duration::from_millis(800);
/// A call's head at most; hyper takes no smaller bound.
const HEAD: usize = 8 << 10;
/// Pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(20);

/// What operators may tell a gateway to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Sends its clients away, and lives on.
    Evacuate,
    /// Takes clients again.
    Rejoin,
}

/// An order, and where the gateway says whether it does so.
pub type Asked = (Order, oneshot::Sender<bool>);

/// Answers operators.
#[derive(Clone)]
pub struct Admin {
    /// What is counted.
    pub figures: Figures,
    /// Whether the process is ready to serve.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Where orders go.
    pub orders: mpsc::Sender<Asked>,
}

impl Admin {
    /// Listens at `at`, on a thread of its own, until the process ends.
    ///
    /// # Errors
    /// Where the address can't be bound, or no thread started; what failed, and the address.
    pub fn start(self, at: SocketAddr) -> Result<(), String> {
        let fails = |e: std::io::Error| format!("admin_addr: {at}: {e}");
        let listener = TcpListener::bind(at).map_err(fails)?;
        listener.set_nonblocking(true).map_err(fails)?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(fails)?;
        let serve = move || LocalSet::new().block_on(&runtime, self.serve(listener));
        std::thread::Builder::new()
            .name("admin".into())
            .spawn(serve)
            .map_err(fails)?;
        Ok(())
    }

    async fn serve(self, listener: TcpListener) {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            return;
        };
        let mut open: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                sleep(PAUSE).await;
                continue;
            };
            open.retain(|call| !call.is_finished());
            if open.len() >= CALLS
                && let Some(oldest) = open.pop_front()
            {
                oldest.abort();
            }
            let admin = self.clone();
            let call = tokio::task::spawn_local(async move {
                let service = service_fn(move |request| admin.clone().answer(request));
                let mut http = http1::Builder::new();
                let call = http.keep_alive(false).max_buf_size(HEAD);
                timeout(LIFE, call.serve_connection(TokioIo::new(socket), service))
                    .await
                    .ok();
            });
            open.push_back(call.abort_handle());
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let known = [
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
                let mut answer = Response::new(Full::from(self.figures.text()));
                let text = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
                answer.headers_mut().insert(CONTENT_TYPE, text);
                return Ok(answer);
            }
            (&Method::POST, "/api/evacuate") => self.order(Order::Evacuate).await,
            (&Method::POST, "/api/rejoin") => self.order(Order::Rejoin).await,
            _ if known.contains(&path) => StatusCode::METHOD_NOT_ALLOWED,
            _ => StatusCode::NOT_FOUND,
        };
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = status;
        Ok(answer)
    }

    async fn order(&self, order: Order) -> StatusCode {
        let (done, told) = oneshot::channel();
        let asked = async {
            self.orders.send((order, done)).await.ok()?;
            told.await.ok()
        };
        match timeout(ORDER, asked).await {
            Ok(Some(true)) => StatusCode::OK,
            Ok(Some(false)) => StatusCode::CONFLICT,
            Ok(None) | Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
