//! The account of requests that this proxy did not serve: of each the cause, and the versions by which it was decided.
//! Events are appended, in bounded number; what operators see is folded from them. Free of I/O.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::RejectReason;
use damsonbeam_control::config::{Route, Tenant};
use damsonbeam_control::messages::BackendListVersion;

/// Events kept: some seconds of a surge, months of a calm day.
const EVENTS_KEPT: usize = 1000;
/// Between two lines of the log.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Causes that a line names; the rest it counts.
const CAUSES_LOGGED: usize = 3;

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It has no route.
    NoRoute,
    /// Its key is no tenant's.
    NoKey,
    /// There is no backend that may serve it where it may be served.
    Nowhere,
    /// The decision module rejected it, for a reason by its name.
    Rejected(&'static str),
    /// Its backend failed, or broke off.
    Failed,
}

impl Cause {
    /// A rejection by the decision module.
    pub fn rejected(reason: RejectReason) -> Self {
        Cause::Rejected(reason.name())
    }

    /// The name in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Cause::NoRoute => "no_route",
            Cause::NoKey => "no_key",
            Cause::Nowhere => "nowhere",
            Cause::Rejected(reason) => reason,
            Cause::Failed => "failed",
        }
    }

    /// Quotas are a tenant's, all else is a route's.
    fn is_tenants(self) -> bool {
        matches!(self, Cause::Rejected("quota" | "full" | "ceiling"))
    }
}

/// The route and tenant of a request.
#[derive(Clone, Debug, Default)]
pub struct Subject {
    /// The route, where it has one.
    pub route: Option<Rc<Route>>,
    /// The tenant, where it has one.
    pub tenant: Option<Rc<Tenant>>,
}

impl Subject {
    fn route_name(&self) -> Option<String> {
        let route = self.route.as_ref()?;
        Some(format!("{} r{}", route.name, route.version))
    }

    fn tenant_name(&self) -> Option<String> {
        let tenant = self.tenant.as_ref()?;
        Some(format!("{} r{}", tenant.name, tenant.version))
    }

    /// What a cause is reported of.
    fn name_for(&self, cause: Cause) -> String {
        let (route, tenant) = (self.route_name(), self.tenant_name());
        let name = if cause.is_tenants() {
            tenant.or(route)
        } else {
            route.or(tenant)
        };
        name.unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
struct UnservedEvent {
    at: Duration,
    request: String,
    cause: Cause,
    may_have_run: bool,
    subject: Subject,
    term: u64,
    backend_list: BackendListVersion,
}

/// The requests that were not served.
#[derive(Debug, Default)]
pub struct UnservedLog {
    events: VecDeque<UnservedEvent>,
    /// Since the last line: what happened how often.
    since_line: BTreeMap<(Cause, String), u32>,
    last_line: Duration,
    /// Since the start.
    totals: BTreeMap<Cause, u64>,
    term: u64,
    backend_list: BackendListVersion,
}

impl UnservedLog {
    /// Sets the coordinator's term by which requests are decided from now on.
    pub fn set_term(&mut self, term: u64) {
        self.term = term;
    }

    /// Sets the list of backends by which requests are decided from now on.
    pub fn set_backend_list(&mut self, version: BackendListVersion) {
        self.backend_list = version;
    }

    /// A request is not served.
    pub fn add(
        &mut self,
        request: &str,
        cause: Cause,
        may_have_run: bool,
        subject: &Subject,
        now: Duration,
    ) {
        *self.totals.entry(cause).or_default() += 1;
        *self
            .since_line
            .entry((cause, subject.name_for(cause)))
            .or_default() += 1;
        if self.events.len() == EVENTS_KEPT {
            self.events.pop_front();
        }
        self.events.push_back(UnservedEvent {
            at: now,
            request: request.to_owned(),
            cause,
            may_have_run,
            subject: subject.clone(),
            term: self.term,
            backend_list: self.backend_list,
        });
    }

    /// How many requests are kept.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether no request is kept.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// A line for the log, now and then, where anything happened since the last.
    pub fn log_line(&mut self, now: Duration) -> Option<String> {
        if now < self.last_line + LOG_INTERVAL {
            return None;
        }
        self.last_line = now;
        let mut rows: Vec<_> = std::mem::take(&mut self.since_line).into_iter().collect();
        if rows.is_empty() {
            return None;
        }
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let total: u32 = rows.iter().map(|(_, count)| count).sum();
        let named = rows
            .iter()
            .take(CAUSES_LOGGED)
            .map(|((cause, subject), count)| {
                let separator = if subject.is_empty() { "" } else { " " };
                format!("{count} {}{separator}{subject}", cause.name())
            });
        let named: Vec<String> = named.collect();
        let others: u32 = rows
            .iter()
            .skip(CAUSES_LOGGED)
            .map(|(_, count)| count)
            .sum();
        let others = if others > 0 {
            format!(", {others} others")
        } else {
            String::new()
        };
        let BackendListVersion { term, revision } = self.backend_list;
        Some(format!(
            "{total} not served in {} s: {}{others}; coordinator's term {}, list {term}.{revision}.",
            LOG_INTERVAL.as_secs(),
            named.join(", "),
            self.term,
        ))
    }

    /// As JSON: totals since the start, and the last events, or those of one request. `time_offset`: the common time less
    /// this process's, so that the events of several proxies can be put in order.
    pub fn to_json(&self, request: Option<&str>, time_offset: Duration) -> String {
        let totals = self.totals.iter();
        let totals = totals.map(|(cause, count)| format!("\"{}\":{count}", cause.name()));
        let totals: Vec<String> = totals.collect();
        let events = self.events.iter();
        let events = events.filter(|event| request.is_none_or(|name| name == event.request));
        let events: Vec<String> = events.map(|event| event.to_json(time_offset)).collect();
        format!(
            "{{\"not_served\":{{{}}},\"last\":[{}]}}\n",
            totals.join(","),
            events.join(",")
        )
    }
}

impl UnservedEvent {
    fn to_json(&self, time_offset: Duration) -> String {
        let name = |name: Option<String>| name.map_or("null".into(), |name| quoted(&name));
        let BackendListVersion { term, revision } = self.backend_list;
        format!(
            "\n{{\"at_ms\":{},\"request\":{},\"cause\":\"{}\",\"may_have_run\":{},\"route\":{},\
             \"tenant\":{},\"coordinator_term\":{},\"list\":\"{term}.{revision}\"}}",
            (self.at + time_offset).as_millis(),
            quoted(&self.request),
            self.cause.name(),
            self.may_have_run,
            name(self.subject.route_name()),
            name(self.subject.tenant_name()),
            self.term
        )
    }
}

/// A text in JSON: what clients send may hold anything.
fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            _ if character.is_control() => {
                let code = character as u32;
                write!(quoted, "\\u{code:04x}").expect("a string takes all text");
            }
            _ => quoted.push(character),
        }
    }
    quoted.push('"');
    quoted
}
