//! The account of requests that this proxy did not serve: of each the cause, and the versions by which it was decided.
//! Events are appended, in bounded number; what staff see is folded from them. Free of I/O.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam::interface::Why;
use damsonbeam_control::items::{Route, Tenant};

/// Events kept: some seconds of a surge, months of a calm day.
const MOST: usize = 1000;
/// Between two lines of the log.
const EVERY: Duration = Duration::from_secs(5);
/// Causes that a line names; the rest it counts.
const NAMED: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    NoRoute,
    NoKey,
    /// There is no backend that may serve it where it may be served.
    Nowhere,
    /// The decision module turned it away.
    Away(&'static str),
    /// Its backend failed, or broke off.
    Failed,
}

impl Cause {
    pub fn away(why: Why) -> Self {
        Cause::Away(why.name())
    }

    pub fn name(self) -> &'static str {
        match self {
            Cause::NoRoute => "no_route",
            Cause::NoKey => "no_key",
            Cause::Nowhere => "nowhere",
            Cause::Away(why) => why,
            Cause::Failed => "failed",
        }
    }

    /// Quotas are a tenant's, all else is a route's.
    fn is_tenants(self) -> bool {
        matches!(self, Cause::Away("quota" | "full" | "ceiling"))
    }
}

/// By which route and tenant a request was read.
#[derive(Clone, Debug, Default)]
pub struct Subject {
    pub route: Option<Rc<Route>>,
    pub tenant: Option<Rc<Tenant>>,
}

impl Subject {
    fn names(&self) -> (Option<String>, Option<String>) {
        let route = self
            .route
            .as_ref()
            .map(|r| format!("{} r{}", r.name, r.version));
        (
            route,
            self.tenant
                .as_ref()
                .map(|t| format!("{} r{}", t.name, t.version)),
        )
    }

    /// What a cause is told of.
    fn of(&self, cause: Cause) -> String {
        let (route, tenant) = self.names();
        let first = if cause.is_tenants() {
            tenant.clone().or(route)
        } else {
            route.or(tenant)
        };
        first.unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
struct Event {
    at: Duration,
    request: String,
    cause: Cause,
    /// Whether it may have run.
    ran: bool,
    subject: Subject,
    /// The coordinator's term, and the reading of the list that was known.
    term: u64,
    list: (u64, u64),
}

#[derive(Debug, Default)]
pub struct UnservedLog {
    events: VecDeque<Event>,
    /// Since the last line: what happened how often.
    fresh: BTreeMap<(Cause, String), u32>,
    told: Duration,
    /// Since the start.
    sums: BTreeMap<Cause, u64>,
    pub term: u64,
    pub list: (u64, u64),
}

impl UnservedLog {
    pub fn note(
        &mut self,
        request: &str,
        cause: Cause,
        ran: bool,
        subject: &Subject,
        now: Duration,
    ) {
        *self.sums.entry(cause).or_default() += 1;
        *self.fresh.entry((cause, subject.of(cause))).or_default() += 1;
        if self.events.len() == MOST {
            self.events.pop_front();
        }
        let (request, subject) = (request.to_owned(), subject.clone());
        self.events.push_back(Event {
            at: now,
            request,
            cause,
            ran,
            subject,
            term: self.term,
            list: self.list,
        });
    }

    /// A line for the log, now and then, where anything happened since the last.
    pub fn line(&mut self, now: Duration) -> Option<String> {
        if now < self.told + EVERY {
            return None;
        }
        self.told = now;
        let fresh = std::mem::take(&mut self.fresh);
        let all: u32 = fresh.values().sum();
        let mut rows: Vec<_> = fresh.into_iter().collect();
        rows.sort_by_key(|r| std::cmp::Reverse(r.1));
        let named = rows.iter().take(NAMED).map(|((cause, of), n)| {
            let of = if of.is_empty() {
                String::new()
            } else {
                format!(" {of}")
            };
            format!("{n} {}{of}", cause.name())
        });
        let named: Vec<String> = named.collect();
        let rest: u32 = rows.iter().skip(NAMED).map(|r| r.1).sum();
        let rest = if rest > 0 {
            format!(", {rest} others")
        } else {
            String::new()
        };
        let (secs, list) = (EVERY.as_secs(), self.list);
        (all > 0).then(|| {
            format!(
                "{all} not served in {secs} s: {}{rest}; coordinator's term {}, list {}.{}.",
                named.join(", "),
                self.term,
                list.0,
                list.1
            )
        })
    }

    /// As JSON: sums since the start, and the last events, or those of one request. `ahead`: the common time less this
    /// process's, so that those of several proxies can be put in order.
    pub fn show(&self, request: Option<&str>, ahead: Duration) -> String {
        let sums: Vec<String> = self
            .sums
            .iter()
            .map(|(c, n)| format!("\"{}\":{n}", c.name()))
            .collect();
        let mut out = format!("{{\"not_served\":{{{}}},\"last\":[", sums.join(","));
        let events = self
            .events
            .iter()
            .filter(|e| request.is_none_or(|r| r == e.request));
        for (n, e) in events.enumerate() {
            let (route, tenant) = e.subject.names();
            let text = |name: Option<String>| name.map_or("null".into(), |n| quoted(&n));
            let comma = if n > 0 { "," } else { "" };
            let (cause, ran, (term, reading)) = (e.cause.name(), e.ran, e.list);
            write!(
                out,
                "{comma}\n{{\"at_ms\":{},\"request\":{},\"cause\":\"{cause}\",\"may_have_run\":{ran},\"route\":{},\
                 \"tenant\":{},\"coordinator_term\":{},\"list\":\"{term}.{reading}\"}}",
                (e.at + ahead).as_millis(),
                quoted(&e.request),
                text(route),
                text(tenant),
                e.term
            )
            .expect("written to a text");
        }
        out + "]}\n"
    }
}

/// A text in JSON: what clients send may hold anything.
fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if c.is_control() => write!(out, "\\u{:04x}", c as u32).expect("written to a text"),
            c => out.push(c),
        }
    }
    out + "\""
}

#[cfg(test)]
mod tests {
    use super::*;
    use damsonbeam_control::items::RouteKind;

    fn subject() -> Subject {
        let route = Route {
            name: "r-1".into(),
            version: 7,
            host: "h".into(),
            prefix: "/".into(),
            kind: RouteKind::ReadOnly,
            timeout_ms: 1,
            aim_ms: 1,
            priority: 0,
            to: vec![],
            attempts: 1,
            open: false,
            homes: vec![],
        };
        let tenant = Tenant {
            name: "house".into(),
            version: 3,
            keys: vec![],
            rate: 1.0,
            burst: 1.0,
            homes: vec![],
        };
        Subject {
            route: Some(Rc::new(route)),
            tenant: Some(Rc::new(tenant)),
        }
    }

    #[test]
    fn a_request_is_explained_by_cause_and_versions_and_a_surge_is_one_line() {
        let mut l = UnservedLog {
            term: 4,
            list: (4, 9),
            ..UnservedLog::default()
        };
        let at = Duration::from_secs;
        l.note("q\"1", Cause::away(Why::Quota), false, &subject(), at(1));
        l.note("q2", Cause::away(Why::Line), false, &subject(), at(2));
        l.note("q3", Cause::Failed, true, &subject(), at(2));
        l.note("q4", Cause::NoRoute, false, &Subject::default(), at(2));
        assert_eq!(
            l.show(Some("q\"1"), at(100)),
            "{\"not_served\":{\"no_route\":1,\"line\":1,\"quota\":1,\"failed\":1},\"last\":[\n{\"at_ms\":101000,\
             \"request\":\"q\\\"1\",\"cause\":\"quota\",\"may_have_run\":false,\"route\":\"r-1 r7\",\"tenant\":\"house r3\",\
             \"coordinator_term\":4,\"list\":\"4.9\"}]}\n"
        );
        (0..5000).for_each(|_| l.note("q", Cause::away(Why::Quota), false, &subject(), at(3)));
        let line = l.line(at(5)).expect("something happened");
        assert_eq!(
            line,
            "5004 not served in 5 s: 5001 quota house r3, 1 no_route, 1 line r-1 r7, 1 others; coordinator's term 4, list 4.9."
        );
        assert_eq!(
            (l.line(at(6)), l.line(at(10))),
            (None, None),
            "nothing since"
        );
        assert!(l.events.len() == MOST, "it grows without end");
    }
}
