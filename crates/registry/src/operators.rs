//! Calls from outside over HTTP: operators' orders, the directory, the state for staff.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use damsonbeam_control::items::{Change, ConfigSnapshot, Invalid};
use damsonbeam_control::messages::{Command, CommandReply};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::REDIAL_PAUSE;
use crate::calls::{self, Call, Miss};
use crate::directory;
use crate::report::{self, ErrorReport, LookupReport};
use crate::state::Shared;

/// An outside call is answered within this: its caller looks elsewhere after a second of silence.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4000);
/// Bytes of an operator's call at most.
const MAX_CALL_BYTES: usize = 16 << 20;
/// How long clients may keep an answer of the directory.
const DIRECTORY_TTL_S: f64 = 3.0;

/// Told to operators where no majority of the voters has answered of late.
const OUT_OF_CONTACT: &str = "this machine is cut off from most of the core: try another";

type Answer = Response<Full<Bytes>>;

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut a = Response::new(Full::new(body.into()));
    *a.status_mut() = status;
    a.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    a
}

fn error(status: StatusCode, why: &str) -> Answer {
    answer(status, report::to_json(&ErrorReport { error: why }))
}

/// Hands an order to the store. A registry out of contact neither acknowledges nor refuses nor reads: it sends the caller
/// elsewhere. What the store answers comes from a round of the agreement, which has the word of a majority.
async fn order(registry: &Shared, order: Command, show: fn(&ConfigSnapshot) -> Vec<u8>) -> Answer {
    if !registry.borrow().is_in_contact() {
        return error(StatusCode::SERVICE_UNAVAILABLE, OUT_OF_CONTACT);
    }
    let asked = registry.borrow_mut().submit(order);
    let Some(reply) = asked else {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the store is not reached");
    };
    match timeout(ANSWER_TIMEOUT, reply).await {
        Ok(Ok(CommandReply::Done)) => answer(StatusCode::OK, "{}"),
        Ok(Ok(CommandReply::Config(items))) => {
            let mut snapshot = ConfigSnapshot::default();
            items.into_iter().for_each(|i| {
                snapshot.merge(i);
            });
            answer(StatusCode::OK, show(&snapshot))
        }
        Ok(Ok(CommandReply::Invalid(why))) => {
            log::info!("operator: a call is turned down: {why}.");
            error(StatusCode::BAD_REQUEST, &why)
        }
        Ok(Ok(CommandReply::Unsettled(why))) => error(StatusCode::SERVICE_UNAVAILABLE, &why),
        Ok(Err(_)) | Err(_) => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the store did not answer in time",
        ),
    }
}

/// A change of the configuration. A body that can't be read is refused in contact or out of it: the verdict rests on the
/// body alone, so every registry gives the same one at any time, and no part of it has gone any further.
async fn change(
    registry: &Shared,
    request: Request<Incoming>,
    read: fn(Vec<u8>) -> Result<Change, Invalid>,
) -> Answer {
    match Limited::new(request.into_body(), MAX_CALL_BYTES)
        .collect()
        .await
    {
        Err(_) => error(
            StatusCode::BAD_REQUEST,
            "the body breaks off, or is too large",
        ),
        Ok(body) => match read(body.to_bytes().to_vec()) {
            Ok(change) => order(registry, Command::Change(change), ConfigSnapshot::show).await,
            Err(e) => error(StatusCode::BAD_REQUEST, &e.to_string()),
        },
    }
}

async fn call(registry: Shared, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let uri = request.uri().clone();
    Ok(
        match calls::read(request.method().as_str(), uri.path(), uri.query()) {
            Err(Miss::Path) => error(StatusCode::NOT_FOUND, "no such call"),
            Err(Miss::Method) => error(StatusCode::METHOD_NOT_ALLOWED, "no such method here"),
            Ok(Call::Lookup { region, zone }) => {
                let w = registry.borrow();
                let all = directory::near(&w.endpoints(), &region, &zone);
                let ttl = DIRECTORY_TTL_S.min(w.settings.bound("ttl_max_s", DIRECTORY_TTL_S));
                if all.is_empty() {
                    error(StatusCode::SERVICE_UNAVAILABLE, "no proxy is known")
                } else {
                    answer(
                        StatusCode::OK,
                        report::to_json(&LookupReport {
                            addresses: all,
                            ttl_s: ttl,
                        }),
                    )
                }
            }
            Ok(Call::State) => answer(StatusCode::OK, registry.borrow().describe()),
            Ok(Call::Read) => order(&registry, Command::Read, ConfigSnapshot::show).await,
            Ok(Call::ReadCopies) => {
                order(&registry, Command::Read, ConfigSnapshot::show_copies).await
            }
            Ok(Call::Evacuate { zone, .. })
                if !registry.borrow().settings.zones.contains_key(&zone) =>
            {
                error(StatusCode::NOT_FOUND, "no such zone")
            }
            Ok(Call::Evacuate { zone, on }) => {
                log::info!(
                    "operator: evacuation of {zone}: {}.",
                    if on { "asked for" } else { "taken back" }
                );
                order(
                    &registry,
                    Command::Evacuate { zone, on },
                    ConfigSnapshot::show,
                )
                .await
            }
            Ok(Call::Change) => change(&registry, request, Change::read).await,
            Ok(Call::ChangeCopies) => change(&registry, request, Change::read_copies).await,
        },
    )
}

/// Serves outside calls on one address.
pub(crate) async fn serve(registry: Shared, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(REDIAL_PAUSE).await;
            continue;
        };
        stream.set_nodelay(true).ok();
        let registry = registry.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| call(registry.clone(), request));
            let http = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            timeout(Duration::from_secs(60), http).await.ok();
        });
    }
}
