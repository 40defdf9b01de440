//! Load profiles: firms with their plan, operation and rate; surges by plan; how long and from what seed.
//!
//! ```toml
//! seed = 7
//! lasting = "60s"
//! patience = "7.5s"
//!
//! [[plan]]
//! name = "basic"
//! rate = 10.0     # units a second
//! burst = 20.0
//!
//! [[firm]]
//! id = 1
//! plan = "basic"
//! rate = 8.0      # invocations a second
//!
//! [[surge]]
//! plan = "basic"
//! at = "20s"
//! lasting = "15s"
//! factor = 4.0
//!
//! [[ramp]]        # all firms, from one factor to another; `from` where not given is `to`: a step
//! at = "40s"
//! lasting = "10s"
//! from = 1.0
//! to = 10.0
//!
//! [client]        # how clients behave; where not given: one client a firm, no bound, no retries
//! clients = 20    # of each firm, each with a pool of its own
//! connections = 8 # of each client at most, the rest waits in its queue; 0: a connection an invocation
//! retries = 3
//! backoff = "50ms"   # doubled each time, with full jitter; 0 where not given: at once
//! budget = 0.1    # retries as a part of first tries
//! follows = true  # waits for the gateway's time to return
//! users = 100     # closed loop: so many a firm, each asking again once answered; rates are not used
//! think = "20ms"  # mean time between a user's answer and its next invocation
//! ```

use std::time::Duration;

use damsonbeam_lab::script::{duration, line_of};
use serde::Deserialize;

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    pub rate: f64,
    pub burst: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Firm {
    /// The customer as the protocol names it: a number below 2^33, sent as 16 hex digits.
    pub id: u64,
    pub plan: usize,
    pub rate: f64,
    pub units: u32,
    pub operation: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Surge {
    pub plan: usize,
    pub at: Duration,
    pub lasting: Duration,
    pub factor: f64,
}

/// All firms' rate over a while, from one factor to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Ramp {
    pub at: Duration,
    pub lasting: Duration,
    pub from: f64,
    pub to: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kind {
    pub clients: usize,
    /// Of each client at most; none: as many as it takes; 0: one an invocation.
    pub connections: Option<usize>,
    pub retries: u32,
    pub backoff: Duration,
    pub budget: Option<f64>,
    pub follows: bool,
    /// Closed loop: so many a firm.
    pub users: Option<usize>,
    pub think: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    pub ramps: Vec<Ramp>,
    pub kind: Kind,
    pub seed: u64,
    pub lasting: Duration,
    pub patience: Duration,
    pub plans: Vec<Plan>,
    pub firms: Vec<Firm>,
    pub surges: Vec<Surge>,
}

impl Profile {
    /// Invocations a second of a firm at a time from the start.
    pub fn rate(&self, firm: &Firm, at: Duration) -> f64 {
        let on = |s: &&Surge| s.plan == firm.plan && at >= s.at && at < s.at + s.lasting;
        let surges = self
            .surges
            .iter()
            .filter(on)
            .map(|s| s.factor)
            .product::<f64>();
        let ramped = self
            .ramps
            .iter()
            .filter(|r| at >= r.at && at < r.at + r.lasting)
            .map(|r| {
                let part = (at - r.at).as_secs_f64() / r.lasting.as_secs_f64().max(1e-9);
                r.from + (r.to - r.from) * part
            });
        firm.rate * surges * ramped.product::<f64>()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    seed: u64,
    lasting: String,
    patience: Option<String>,
    plan: Vec<toml::Spanned<RawPlan>>,
    firm: Vec<toml::Spanned<RawFirm>>,
    #[serde(default)]
    surge: Vec<toml::Spanned<RawSurge>>,
    #[serde(default)]
    ramp: Vec<toml::Spanned<RawRamp>>,
    client: Option<toml::Spanned<RawClient>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRamp {
    at: String,
    lasting: String,
    from: Option<f64>,
    to: f64,
}

#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClient {
    clients: Option<usize>,
    connections: Option<usize>,
    retries: Option<u32>,
    backoff: Option<String>,
    budget: Option<f64>,
    follows: Option<bool>,
    users: Option<usize>,
    think: Option<String>,
}

fn kind(r: RawClient) -> Result<Kind, String> {
    let some =
        |key: &str, text: Option<String>| text.map_or(Ok(Duration::ZERO), |t| duration(key, &t));
    let kind = Kind {
        clients: r.clients.unwrap_or(1),
        connections: r.connections,
        retries: r.retries.unwrap_or(0),
        backoff: some("backoff", r.backoff)?,
        budget: r.budget.map(|b| positive("budget", b)).transpose()?,
        follows: r.follows.unwrap_or(false),
        users: r.users,
        think: some("think", r.think)?,
    };
    if kind.clients == 0 || kind.users == Some(0) {
        return Err("clients, users: 1 at least".into());
    }
    if kind.retries > 10 {
        return Err(format!("retries: {} is over 10", kind.retries));
    }
    if kind.users.is_none() && !kind.think.is_zero() {
        return Err("think: only with users, in a closed loop".into());
    }
    Ok(kind)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlan {
    name: String,
    rate: f64,
    burst: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFirm {
    id: u64,
    plan: String,
    rate: f64,
    units: Option<u32>,
    operation: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSurge {
    plan: String,
    at: String,
    lasting: String,
    factor: f64,
}

fn positive(key: &str, v: f64) -> Result<f64, String> {
    if v.is_finite() && v >= 0.0 {
        Ok(v)
    } else {
        Err(format!("{key}: {v} is negative or no number"))
    }
}

/// Reads a profile; errors are `FILE:LINE: reason`.
pub fn parse(file: &str, text: &str) -> Result<Profile, String> {
    let raw: Raw = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| line_of(text, s.start));
        format!("{file}:{line}: {}", e.message())
    })?;
    let at = |span: std::ops::Range<usize>| {
        let line = line_of(text, span.start);
        move |why: String| format!("{file}:{line}: {why}")
    };
    let lasting = duration("lasting", &raw.lasting).map_err(at(0..0))?;
    let patience =
        duration("patience", raw.patience.as_deref().unwrap_or("7.5s")).map_err(at(0..0))?;
    let mut plans: Vec<Plan> = Vec::new();
    for p in &raw.plan {
        let (w, r) = (at(p.span()), p.get_ref());
        if plans.iter().any(|q| q.name == r.name) {
            return Err(w(format!("name: plan `{}` is named twice", r.name)));
        }
        plans.push(Plan {
            name: r.name.clone(),
            rate: positive("rate", r.rate).map_err(&w)?,
            burst: positive("burst", r.burst).map_err(&w)?,
        });
    }
    let plan = |name: &str| {
        plans
            .iter()
            .position(|p| p.name == name)
            .ok_or_else(|| format!("plan: `{name}` is no plan of this file"))
    };
    let mut firms = Vec::new();
    for f in &raw.firm {
        let (w, r) = (at(f.span()), f.get_ref());
        if r.id >= 1 << 33 {
            return Err(w(format!("id: {} is not below 2^33", r.id)));
        }
        let (units, operation) = (
            r.units.unwrap_or(1),
            r.operation.clone().unwrap_or_else(|| "tile".into()),
        );
        firms.push(Firm {
            id: r.id,
            plan: plan(&r.plan).map_err(&w)?,
            rate: positive("rate", r.rate).map_err(&w)?,
            units,
            operation,
        });
    }
    let mut surges = Vec::new();
    for s in &raw.surge {
        let (w, r) = (at(s.span()), s.get_ref());
        let (start, lasting) = (
            duration("at", &r.at).map_err(&w)?,
            duration("lasting", &r.lasting).map_err(&w)?,
        );
        if start + lasting > lasting_total(&raw.lasting) {
            return Err(w(format!(
                "at: the surge ends after the run's {}",
                raw.lasting
            )));
        }
        surges.push(Surge {
            plan: plan(&r.plan).map_err(&w)?,
            at: start,
            lasting,
            factor: positive("factor", r.factor).map_err(&w)?,
        });
    }
    let mut ramps = Vec::new();
    for s in &raw.ramp {
        let (w, r) = (at(s.span()), s.get_ref());
        let to = positive("to", r.to).map_err(&w)?;
        ramps.push(Ramp {
            at: duration("at", &r.at).map_err(&w)?,
            lasting: duration("lasting", &r.lasting).map_err(&w)?,
            from: r.from.map_or(Ok(to), |f| positive("from", f)).map_err(&w)?,
            to,
        });
    }
    let kind = match &raw.client {
        Some(c) => kind(c.get_ref().clone()).map_err(at(c.span()))?,
        None => Kind {
            clients: 1,
            ..Kind::default()
        },
    };
    Ok(Profile {
        ramps,
        kind,
        seed: raw.seed,
        lasting,
        patience,
        plans,
        firms,
        surges,
    })
}

fn lasting_total(text: &str) -> Duration {
    humantime::parse_duration(text).unwrap_or(Duration::MAX)
}
