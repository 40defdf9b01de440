//! The HTTP API of the registry: operators' commands, directory lookups and the state report.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use damsonbeam_control::config::{ConfigChange, ConfigSnapshot, InvalidConfig};
use damsonbeam_control::messages::{Command, CommandReply};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::RETRY_PAUSE;
use crate::api_requests::{Call, CallError};
use crate::registry::SharedRegistry;
use crate::report::{self, ErrorReport, LookupReport};

/// Longest wait for the store's reply to a command. A caller turns to another registry after a second without data.
const STORE_REPLY_TIMEOUT: Duration = Duration::from_millis(4000);
/// Maximum body size of a request, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time for which clients may cache a directory response, in seconds, unless `ttl_max_s` in the settings is shorter.
const DIRECTORY_TTL_S: f64 = 3.0;
/// Maximum lifetime of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// The error for operators if no majority of the voters has answered recently.
const OUT_OF_CONTACT: &str =
    "this registry is not in contact with a majority of the core; try another machine";
/// The error for clients that can't be given any proxy.
const NO_PROXY: &str = "no known proxy may serve requests for this host";

type HttpResponse = Response<Full<Bytes>>;
/// Renders the part of the configuration that a response contains.
type RenderConfig = fn(&ConfigSnapshot) -> Vec<u8>;

/// Accepts connections on one address and serves their requests.
pub(crate) async fn serve(registry: SharedRegistry, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        stream.set_nodelay(true).ok();
        let registry = registry.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| handle_request(registry.clone(), request));
            let io = TokioIo::new(stream);
            let connection = http1::Builder::new().serve_connection(io, service);
            timeout(CONNECTION_TIMEOUT, connection).await.ok();
        });
    }
}

async fn handle_request(
    registry: SharedRegistry,
    request: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    let uri = request.uri();
    let call = Call::parse(request.method().as_str(), uri.path(), uri.query());
    Ok(match call {
        Ok(call) => dispatch(registry, call, request).await,
        Err(CallError::UnknownPath) => error_response(StatusCode::NOT_FOUND, "no such path"),
        Err(CallError::MethodNotAllowed) => error_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "method not allowed for this path",
        ),
    })
}

async fn dispatch(
    registry: SharedRegistry,
    call: Call,
    request: Request<Incoming>,
) -> HttpResponse {
    let to_json = ConfigSnapshot::to_json;
    match call {
        Call::Lookup { host, region, zone } => look_up(&registry, &host, &region, &zone),
        Call::ReadState => json_response(StatusCode::OK, registry.borrow().state_report_json()),
        Call::ReadConfig => submit(&registry, Command::Read, to_json).await,
        Call::ReadMirrorRules => {
            submit(
                &registry,
                Command::Read,
                ConfigSnapshot::mirror_rules_to_json,
            )
            .await
        }
        Call::Evacuate { zone, evacuated } => evacuate(&registry, zone, evacuated).await,
        Call::ChangeConfig => change_config(&registry, request, ConfigChange::from_json).await,
        Call::ChangeMirrorRules => {
            change_config(&registry, request, ConfigChange::from_mirror_rules_json).await
        }
    }
}

fn look_up(registry: &SharedRegistry, host: &str, region: &str, zone: &str) -> HttpResponse {
    let registry = registry.borrow();
    let lookup = registry.lookup(host, region, zone);
    let addresses = lookup.select_proxies(&registry.proxy_endpoints());
    if addresses.is_empty() {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, NO_PROXY);
    }
    let ttl_s = DIRECTORY_TTL_S.min(
        registry
            .settings()
            .timing_bound("ttl_max_s", DIRECTORY_TTL_S),
    );
    json_response(
        StatusCode::OK,
        report::to_json(&LookupReport { addresses, ttl_s }),
    )
}

async fn evacuate(registry: &SharedRegistry, zone: String, evacuated: bool) -> HttpResponse {
    if !registry
        .borrow()
        .settings()
        .regions_by_zone
        .contains_key(&zone)
    {
        return error_response(StatusCode::NOT_FOUND, "no such zone");
    }
    let action = if evacuated { "requested" } else { "ended" };
    log::info!("operator: evacuation of {zone} {action}.");
    let command = Command::Evacuate { zone, evacuated };
    submit(registry, command, ConfigSnapshot::to_json).await
}

/// Submits a configuration change. An invalid body is rejected even while this registry is out of contact: validation
/// depends on the body alone, so every registry gives the same result at any time, and no part of the change was
/// submitted.
async fn change_config(
    registry: &SharedRegistry,
    request: Request<Incoming>,
    read: fn(Vec<u8>) -> Result<ConfigChange, InvalidConfig>,
) -> HttpResponse {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "the request body is incomplete or too large",
        );
    };
    match read(body.to_bytes().to_vec()) {
        Ok(change) => submit(registry, Command::Change(change), ConfigSnapshot::to_json).await,
        Err(invalid) => error_response(StatusCode::BAD_REQUEST, &invalid.to_string()),
    }
}

/// Submits a command to the store and renders its reply. A registry out of contact neither confirms, rejects nor reads:
/// it directs the caller to another machine. The store replies after a consensus round with a majority of the voters.
async fn submit(registry: &SharedRegistry, command: Command, render: RenderConfig) -> HttpResponse {
    if !registry.borrow().is_in_contact() {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, OUT_OF_CONTACT);
    }
    let submitted = registry.borrow_mut().submit(command);
    let Some(reply) = submitted else {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the store is not connected",
        );
    };
    match timeout(STORE_REPLY_TIMEOUT, reply).await {
        Ok(Ok(reply)) => reply_response(reply, render),
        Ok(Err(_)) | Err(_) => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the store did not answer in time",
        ),
    }
}

fn reply_response(reply: CommandReply, render: RenderConfig) -> HttpResponse {
    match reply {
        CommandReply::Done => json_response(StatusCode::OK, "{}"),
        CommandReply::Config(items) => {
            let mut snapshot = ConfigSnapshot::default();
            for item in items {
                snapshot.merge(item);
            }
            json_response(StatusCode::OK, render(&snapshot))
        }
        CommandReply::Invalid(reason) => {
            log::info!("operator: a call is rejected: {reason}.");
            error_response(StatusCode::BAD_REQUEST, &reason)
        }
        CommandReply::Unavailable(reason) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, &reason)
        }
    }
}

fn json_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn error_response(status: StatusCode, reason: &str) -> HttpResponse {
    json_response(status, report::to_json(&ErrorReport { error: reason }))
}
