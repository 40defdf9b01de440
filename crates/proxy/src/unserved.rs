//! The log of requests that this proxy did not serve, without I/O. Each event holds the cause and the versions of the
//! configuration and backend list that the decision was based on. The number of events kept is bounded; log lines and
//! operators' reports are derived from the events and from counters.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::RejectReason;
use damsonbeam_control::config::{Route, Tenant};
use damsonbeam_control::messages::BackendListVersion;

/// Maximum number of events kept. They cover a few seconds of an overload, and months where almost all requests are
/// served.
const MAX_EVENTS: usize = 1000;
/// Minimum interval between log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of causes that a log line names; the other events are only counted.
const MAX_CAUSES_LOGGED: usize = 3;

/// The reason why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No route matches the request.
    NoRoute,
    /// The request's API key belongs to no tenant.
    UnknownKey,
    /// No backend in the regions where the request may be served can serve it.
    NoBackend,
    /// The decision module rejected the request, for the reason named.
    Rejected(&'static str),
    /// The backend failed, or broke off its answer.
    Failed,
}

impl Cause {
    /// Returns the cause for a rejection by the decision module.
    pub fn rejected(reason: RejectReason) -> Self {
        Cause::Rejected(reason.name())
    }

    /// Returns the name of the cause in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Cause::NoRoute => "no_route",
            Cause::UnknownKey => "no_key",
            Cause::NoBackend => "nowhere",
            Cause::Rejected(reason) => reason,
            Cause::Failed => "failed",
        }
    }

    /// Returns whether the cause is reported with the tenant: rejections for quotas and limits are, all other causes
    /// are reported with the route.
    fn concerns_tenant(self) -> bool {
        matches!(self, Cause::Rejected("quota" | "full" | "ceiling"))
    }
}

/// The route and tenant of a request.
#[derive(Clone, Debug, Default)]
pub struct RouteAndTenant {
    /// The route, if one matches.
    pub route: Option<Rc<Route>>,
    /// The service chosen by weight, where the route is split between services.
    pub split_service: Option<Rc<str>>,
    /// The tenant, if one is known.
    pub tenant: Option<Rc<Tenant>>,
}

impl RouteAndTenant {
    /// Returns the name and version of the route and, where it is split, the service chosen.
    fn route_name(&self) -> Option<String> {
        let route = self.route.as_ref()?;
        let to = self.split_service.as_ref();
        let to = to.map_or(String::new(), |service| format!(" to {service}"));
        Some(format!("{} r{}{to}", route.name, route.version))
    }

    /// Returns the name and version of the tenant.
    fn tenant_name(&self) -> Option<String> {
        let tenant = self.tenant.as_ref()?;
        Some(format!("{} r{}", tenant.name, tenant.version))
    }

    /// Returns the name, with the version, of the route or tenant that a cause is reported with.
    fn name_for(&self, cause: Cause) -> String {
        let (route, tenant) = (self.route_name(), self.tenant_name());
        let name = if cause.concerns_tenant() {
            tenant.or(route)
        } else {
            route.or(tenant)
        };
        name.unwrap_or_default()
    }
}

/// A request that was not served.
#[derive(Clone, Debug)]
struct UnservedEvent {
    at: Duration,
    request: String,
    cause: Cause,
    may_have_run: bool,
    route_and_tenant: RouteAndTenant,
    /// The coordinator's term at the decision.
    term: u64,
    backend_list: BackendListVersion,
}

/// The last requests that were not served, with totals by cause.
#[derive(Debug, Default)]
pub struct UnservedLog {
    events: VecDeque<UnservedEvent>,
    /// Number of events since the last log line, by cause and name of the route or tenant.
    since_last_line: BTreeMap<(Cause, String), u32>,
    /// The time of the last log line, or of the last check that found no event.
    last_line: Duration,
    /// Number of events by cause since the start of the process.
    totals: BTreeMap<Cause, u64>,
    term: u64,
    backend_list: BackendListVersion,
}

impl UnservedLog {
    /// Sets the coordinator's term that later events are recorded with.
    pub fn set_term(&mut self, term: u64) {
        self.term = term;
    }

    /// Sets the version of the backend list that later events are recorded with.
    pub fn set_backend_list(&mut self, version: BackendListVersion) {
        self.backend_list = version;
    }

    /// Records a request that is not served. `request` is the request's id.
    pub fn add(
        &mut self,
        request: &str,
        cause: Cause,
        may_have_run: bool,
        route_and_tenant: &RouteAndTenant,
        now: Duration,
    ) {
        *self.totals.entry(cause).or_default() += 1;
        *self
            .since_last_line
            .entry((cause, route_and_tenant.name_for(cause)))
            .or_default() += 1;
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(UnservedEvent {
            at: now,
            request: request.to_owned(),
            cause,
            may_have_run,
            route_and_tenant: route_and_tenant.clone(),
            term: self.term,
            backend_list: self.backend_list,
        });
    }

    /// Returns the number of events kept.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether no event is kept.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns a log line at most once per `LOG_INTERVAL`, if any event was recorded since the last one.
    pub fn log_line(&mut self, now: Duration) -> Option<String> {
        if now < self.last_line + LOG_INTERVAL {
            return None;
        }
        self.last_line = now;
        let mut rows: Vec<_> = std::mem::take(&mut self.since_last_line)
            .into_iter()
            .collect();
        if rows.is_empty() {
            return None;
        }
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let total: u32 = rows.iter().map(|(_, count)| count).sum();
        let named = rows
            .iter()
            .take(MAX_CAUSES_LOGGED)
            .map(|((cause, name), count)| {
                let separator = if name.is_empty() { "" } else { " " };
                format!("{count} {}{separator}{name}", cause.name())
            });
        let named: Vec<String> = named.collect();
        let others: u32 = rows
            .iter()
            .skip(MAX_CAUSES_LOGGED)
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

    /// Returns the totals since the start and the events kept, or only those of one request, as JSON. `time_offset` is
    /// the coordinator's time minus this process's clock; with it, events of several proxies can be put in order.
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
        let name = |name: Option<String>| name.map_or("null".into(), |name| json_string(&name));
        let BackendListVersion { term, revision } = self.backend_list;
        format!(
            "\n{{\"at_ms\":{},\"request\":{},\"cause\":\"{}\",\"may_have_run\":{},\"route\":{},\
             \"tenant\":{},\"coordinator_term\":{},\"list\":\"{term}.{revision}\"}}",
            (self.at + time_offset).as_millis(),
            json_string(&self.request),
            self.cause.name(),
            self.may_have_run,
            name(self.route_and_tenant.route_name()),
            name(self.route_and_tenant.tenant_name()),
            self.term
        )
    }
}

/// Returns a text as a JSON string; texts from clients may contain any character.
fn json_string(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            _ if character.is_control() => {
                let code = character as u32;
                write!(quoted, "\\u{code:04x}").expect("writing to a string does not fail");
            }
            _ => quoted.push(character),
        }
    }
    quoted.push('"');
    quoted
}
