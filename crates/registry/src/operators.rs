//! Calls from outside over HTTP: operators' commands, the directory, the state of the system.

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
use crate::calls::{Call, CallError};
use crate::registry::SharedRegistry;
use crate::report::{self, ErrorReport, LookupReport};

/// An outside call is answered within this: its caller looks elsewhere after a second of silence.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4000);
/// Bytes of an operator's call at most.
const MAX_CALL_BYTES: usize = 16 << 20;
/// How long clients may keep an answer of the directory.
const DIRECTORY_TTL_S: f64 = 3.0;
/// A connection ends after this.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// The answer to operators where no majority of the voters has answered of late.
const OUT_OF_CONTACT: &str = "this machine is cut off from most of the core: try another";
/// The answer to clients that can't be named any proxy.
const NO_PROXY: &str = "no proxy is known that may take the host's requests";

type Answer = Response<Full<Bytes>>;
/// Which items an answer shows.
type ShowItems = fn(&ConfigSnapshot) -> Vec<u8>;

/// Serves outside calls on one address.
pub(crate) async fn serve(registry: SharedRegistry, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        stream.set_nodelay(true).ok();
        let registry = registry.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| answer_call(registry.clone(), request));
            let io = TokioIo::new(stream);
            let connection = http1::Builder::new().serve_connection(io, service);
            timeout(CONNECTION_TIMEOUT, connection).await.ok();
        });
    }
}

async fn answer_call(
    registry: SharedRegistry,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let uri = request.uri();
    let call = Call::read(request.method().as_str(), uri.path(), uri.query());
    Ok(match call {
        Ok(call) => dispatch(registry, call, request).await,
        Err(CallError::UnknownPath) => error(StatusCode::NOT_FOUND, "no such call"),
        Err(CallError::UnknownMethod) => {
            error(StatusCode::METHOD_NOT_ALLOWED, "no such method here")
        }
    })
}

async fn dispatch(registry: SharedRegistry, call: Call, request: Request<Incoming>) -> Answer {
    let to_json = ConfigSnapshot::to_json;
    match call {
        Call::Lookup { host, region, zone } => look_up(&registry, &host, &region, &zone),
        Call::State => answer(StatusCode::OK, registry.borrow().describe()),
        Call::Read => submit(&registry, Command::Read, to_json).await,
        Call::ReadMirrorRules => {
            submit(
                &registry,
                Command::Read,
                ConfigSnapshot::mirror_rules_to_json,
            )
            .await
        }
        Call::Evacuate { zone, evacuated } => evacuate(&registry, zone, evacuated).await,
        Call::Change => change(&registry, request, ConfigChange::from_json).await,
        Call::ChangeMirrorRules => {
            change(&registry, request, ConfigChange::from_mirror_rules_json).await
        }
    }
}

fn look_up(registry: &SharedRegistry, host: &str, region: &str, zone: &str) -> Answer {
    let registry = registry.borrow();
    let lookup = registry.lookup(host, region, zone);
    let addresses = lookup.proxies(&registry.proxy_endpoints());
    if addresses.is_empty() {
        return error(StatusCode::SERVICE_UNAVAILABLE, NO_PROXY);
    }
    let ttl_s = DIRECTORY_TTL_S.min(registry.settings().bound("ttl_max_s", DIRECTORY_TTL_S));
    answer(
        StatusCode::OK,
        report::to_json(&LookupReport { addresses, ttl_s }),
    )
}

async fn evacuate(registry: &SharedRegistry, zone: String, evacuated: bool) -> Answer {
    if !registry.borrow().settings().regions.contains_key(&zone) {
        return error(StatusCode::NOT_FOUND, "no such zone");
    }
    let what = if evacuated { "requested" } else { "ended" };
    log::info!("operator: evacuation of {zone} {what}.");
    let command = Command::Evacuate { zone, evacuated };
    submit(registry, command, ConfigSnapshot::to_json).await
}

/// Takes a change of the configuration. A body that can't be read is rejected in contact or out of it: the verdict rests
/// on the body alone, so every registry gives the same one at any time, and no part of it has gone any further.
async fn change(
    registry: &SharedRegistry,
    request: Request<Incoming>,
    read: fn(Vec<u8>) -> Result<ConfigChange, InvalidConfig>,
) -> Answer {
    let body = Limited::new(request.into_body(), MAX_CALL_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return error(
            StatusCode::BAD_REQUEST,
            "the body breaks off, or is too large",
        );
    };
    match read(body.to_bytes().to_vec()) {
        Ok(change) => submit(registry, Command::Change(change), ConfigSnapshot::to_json).await,
        Err(invalid) => error(StatusCode::BAD_REQUEST, &invalid.to_string()),
    }
}

/// Hands a command to the store. A registry out of contact neither acknowledges nor rejects nor reads: it sends the caller
/// elsewhere. What the store replies comes from a round of the consensus, which a majority has taken part in.
async fn submit(registry: &SharedRegistry, command: Command, show: ShowItems) -> Answer {
    if !registry.borrow().is_in_contact() {
        return error(StatusCode::SERVICE_UNAVAILABLE, OUT_OF_CONTACT);
    }
    let submitted = registry.borrow_mut().submit(command);
    let Some(reply) = submitted else {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the store is not reached");
    };
    match timeout(ANSWER_TIMEOUT, reply).await {
        Ok(Ok(reply)) => answer_reply(reply, show),
        Ok(Err(_)) | Err(_) => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the store did not answer in time",
        ),
    }
}

fn answer_reply(reply: CommandReply, show: ShowItems) -> Answer {
    match reply {
        CommandReply::Done => answer(StatusCode::OK, "{}"),
        CommandReply::Config(items) => {
            let mut snapshot = ConfigSnapshot::default();
            for item in items {
                snapshot.merge(item);
            }
            answer(StatusCode::OK, show(&snapshot))
        }
        CommandReply::Invalid(reason) => {
            log::info!("operator: a call is rejected: {reason}.");
            error(StatusCode::BAD_REQUEST, &reason)
        }
        CommandReply::Unavailable(reason) => error(StatusCode::SERVICE_UNAVAILABLE, &reason),
    }
}

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

fn error(status: StatusCode, reason: &str) -> Answer {
    answer(status, report::to_json(&ErrorReport { error: reason }))
}
