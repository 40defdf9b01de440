//! What proxies did not serve, and why.

use std::net::SocketAddr;

use damsonbeam_control::json::{Value, parse};
use simd_json::prelude::*;

use crate::CtlError;
use crate::live::get;

const PATH: &str = "/-/account";

/// One request that was not served.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Unserved {
    at_ms: u64,
    sentence: String,
}

/// What proxies did not serve of late, in order of time, or what one request came to.
///
/// # Errors
/// Where one does not answer, or none knows that request.
pub fn account(proxies: &[SocketAddr], request: Option<&str>) -> Result<String, CtlError> {
    let path = match request {
        Some(request) => format!("{PATH}?request={request}"),
        None => PATH.to_string(),
    };
    let mut unserved = Vec::new();
    for proxy in proxies {
        let body = parse(get(*proxy, &path)?.into_bytes())
            .map_err(|error| CtlError::process(proxy, error))?;
        let last = body.get("last").and_then(|last| last.as_array());
        let last = last.ok_or_else(|| CtlError::process(proxy, "no account"))?;
        unserved.extend(last.iter().map(|event| read(*proxy, event)));
    }
    unserved.sort();
    if let Some(request) = request.filter(|_| unserved.is_empty()) {
        return Err(CtlError::Request(format!(
            "no proxy asked has an account of `{request}`: served, never come, or of longer ago than is kept"
        )));
    }
    let sentences = unserved.into_iter().map(|unserved| unserved.sentence);
    Ok(sentences.collect::<Vec<_>>().join("\n"))
}

/// One event of an account, as a sentence.
fn read(proxy: SocketAddr, event: &Value) -> Unserved {
    let text = |name: &str| {
        let value = event.get(name).and_then(|value| value.as_str());
        value.unwrap_or("none")
    };
    let number = |name: &str| {
        let value = event.get(name).and_then(|value| value.as_u64());
        value.unwrap_or(0)
    };
    let may_have_run = event.get("may_have_run").and_then(|value| value.as_bool());
    let ran = if may_have_run.unwrap_or(true) {
        "it may have run"
    } else {
        "it has not run"
    };
    let at_ms = number("at_ms");
    Unserved {
        at_ms,
        sentence: format!(
            "{}  {proxy}  request {}: {}, {ran}; route {}, tenant {}, coordinator's term {}, list {}",
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
