//! Reports the requests that proxies did not serve, with the cause of each.

use std::net::SocketAddr;

use damsonbeam_control::json::{Value, parse};
use simd_json::prelude::*;

use crate::CtlError;
use crate::live::get;

const ACCOUNT_PATH: &str = "/-/account";

/// One request that was not served.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct UnservedRequest {
    at_ms: u64,
    line: String,
}

/// Returns the unserved requests that the proxies still keep, one line each, ordered by time. With `request`, returns
/// only the records of the request with that id.
///
/// # Errors
/// Fails if a proxy does not answer, or if no proxy has a record of the given request.
pub fn account(proxies: &[SocketAddr], request: Option<&str>) -> Result<String, CtlError> {
    let path = match request {
        Some(request) => format!("{ACCOUNT_PATH}?request={request}"),
        None => ACCOUNT_PATH.to_string(),
    };
    let mut unserved = Vec::new();
    for proxy in proxies {
        let body = parse(get(*proxy, &path)?.into_bytes())
            .map_err(|error| CtlError::process(proxy, error))?;
        let last = body.get("last").and_then(|last| last.as_array());
        let last =
            last.ok_or_else(|| CtlError::process(proxy, "the response has no `last` array"))?;
        unserved.extend(last.iter().map(|event| format_event(*proxy, event)));
    }
    unserved.sort();
    if let Some(request) = request.filter(|_| unserved.is_empty()) {
        return Err(CtlError::Request(format!(
            "no queried proxy has a record of request `{request}`: it was served, never received, or its record has expired"
        )));
    }
    let lines = unserved.into_iter().map(|unserved| unserved.line);
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

/// Formats one event of an account as a line of text.
fn format_event(proxy: SocketAddr, event: &Value) -> UnservedRequest {
    let text = |name: &str| {
        let value = event.get(name).and_then(|value| value.as_str());
        value.unwrap_or("none")
    };
    let number = |name: &str| {
        let value = event.get(name).and_then(|value| value.as_u64());
        value.unwrap_or(0)
    };
    let may_have_run = event.get("may_have_run").and_then(|value| value.as_bool());
    let execution = if may_have_run.unwrap_or(true) {
        "it may have run"
    } else {
        "it has not run"
    };
    let at_ms = number("at_ms");
    UnservedRequest {
        at_ms,
        line: format!(
            "{}  {proxy}  request {}: {}, {execution}; route {}, tenant {}, coordinator's term {}, list {}",
            time_of_day(at_ms),
            text("request"),
            text("cause"),
            text("route"),
            text("tenant"),
            number("coordinator_term"),
            text("list")
        ),
    }
}

fn time_of_day(ms: u64) -> String {
    let hours = ms / 3_600_000 % 24;
    let minutes = ms / 60_000 % 60;
    let seconds = ms / 1000 % 60;
    format!("{hours:02}:{minutes:02}:{seconds:02}.{:03}", ms % 1000)
}
