//! The HTTP server for the platform's readiness checks and for operator calls, on one address.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_admin::Metrics;
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::phase::CurrentPhase;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::TICK;
use crate::backend_pool::BackendPool;
use crate::mirroring::SharedMirror;
use crate::unserved::UnservedLog;

/// Maximum duration of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// The data that operator calls report.
#[derive(Clone)]
pub(super) struct OperatorCalls {
    pub(super) unserved: Rc<RefCell<UnservedLog>>,
    pub(super) backend_pool: Rc<RefCell<BackendPool>>,
    pub(super) mirror: SharedMirror,
    pub(super) metrics: Metrics,
    pub(super) clock: Clock,
    /// The coordinator's time minus this process's clock, in seconds.
    pub(super) time_offset_s: Rc<Cell<f64>>,
    pub(super) phase: CurrentPhase,
}

impl OperatorCalls {
    /// Returns the body of the response to an operator call, or `None` if the path is not one of an operator call.
    fn answer(&self, uri: &Uri) -> Option<String> {
        match uri.path() {
            "/-/loads" => Some(self.load_reports_json()),
            "/-/copies" => Some(self.mirror.to_json()),
            "/-/figures" => String::from_utf8(self.metrics.encode()).ok(),
            "/-/account" => {
                let request = uri.query().and_then(|query| query.strip_prefix("request="));
                Some(self.unserved_json(request))
            }
            _ => None,
        }
    }

    fn load_reports_json(&self) -> String {
        let mut pool = self.backend_pool.borrow_mut();
        match pool.load_reports() {
            Some(load_reports) => load_reports.to_json(self.clock.now()),
            None => "{\"backends\":null}\n".into(),
        }
    }

    fn unserved_json(&self, request: Option<&str>) -> String {
        let offset = Duration::try_from_secs_f64(self.time_offset_s.get()).unwrap_or_default();
        self.unserved.borrow().to_json(request, offset)
    }

    /// Responds to an operator call; any other request is a readiness check, answered with 503 unless the proxy serves.
    fn respond(&self, uri: &Uri) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if let Some(answer) = self.answer(uri) {
            *response.body_mut() = answer.into();
        } else if !self.phase.get().is_serving() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}

/// Accepts connections and serves them, for as long as the process runs.
pub(super) async fn serve(listener: TcpListener, calls: OperatorCalls) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(TICK).await;
            continue;
        };
        let calls = calls.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = calls.respond(request.uri());
                async move { Ok::<_, Infallible>(response) }
            });
            let io = TokioIo::new(stream);
            let connection = http1::Builder::new().serve_connection(io, service);
            timeout(CONNECTION_TIMEOUT, connection).await.ok();
        });
    }
}
