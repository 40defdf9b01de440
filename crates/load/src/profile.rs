//! Load profiles in TOML: customers (`firm`) with their plan, operation and rate, load changes (`surge`, `ramp`), the
//! behaviour of clients, the duration (`lasting`), the client timeout (`patience`) and the seed.
//!
//! ```toml
//! seed = 7
//! lasting = "60s"
//! patience = "7.5s"
//!
//! [[plan]]
//! name = "basic"
//! rate = 10.0     # units per second
//! burst = 20.0
//!
//! [[firm]]
//! id = 1
//! plan = "basic"
//! rate = 8.0      # invocations per second
//!
//! [[surge]]
//! plan = "basic"
//! at = "20s"
//! lasting = "15s"
//! factor = 4.0
//!
//! [[ramp]]        # linear change of the rate of all firms; without `from`, the factor is `to` throughout
//! at = "40s"
//! lasting = "10s"
//! from = 1.0
//! to = 10.0
//!
//! [client]        # optional; default: one client per firm, unlimited connections, no retries
//! clients = 20    # clients per firm, each with its own connection pool
//! connections = 8 # maximum per client, further invocations wait in its queue; 0: one connection per invocation
//! retries = 3     # maximum per invocation
//! backoff = "50ms"   # delay before a retry, doubled each time, with full jitter; default: no delay
//! budget = 0.1    # maximum ratio of retries to first tries; up to 10 unused retries accumulate
//! follows = true  # waits at least for the time in `Retry-After` before a retry
//! users = 100     # closed loop: users per firm, each with one invocation at a time; rates are not used
//! think = "20ms"  # mean time between the answer to a user and the next invocation of this user
//! ```

use std::time::Duration;

use damsonbeam_lab::script::{duration, line_of};
use serde::Deserialize;

/// A quota plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// Quota in units per second.
    pub rate: f64,
    /// Burst allowance in units.
    pub burst: f64,
}

/// A customer that generates load.
#[derive(Clone, Debug, PartialEq)]
pub struct Firm {
    /// Customer id of the protocol: a number below 2^33, sent as 16 hexadecimal digits.
    pub id: u64,
    /// Index of the plan in [`Profile::plans`].
    pub plan: usize,
    /// Invocations per second, before surges and ramps.
    pub rate: f64,
    /// Units per invocation.
    pub units: u32,
    /// Operation, sent as the request path.
    pub operation: String,
}

/// A period in which all customers of a plan have a higher or lower rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Surge {
    /// Index of the plan in [`Profile::plans`].
    pub plan: usize,
    /// Start, from the start of the run.
    pub at: Duration,
    /// Length of the period.
    pub duration: Duration,
    /// Factor on the rates.
    pub factor: f64,
}

/// A period in which the factor on the rates of all customers changes linearly.
#[derive(Clone, Debug, PartialEq)]
pub struct Ramp {
    /// Start, from the start of the run.
    pub at: Duration,
    /// Length of the period.
    pub duration: Duration,
    /// Factor at the start.
    pub from: f64,
    /// Factor at the end.
    pub to: f64,
}

/// Behaviour of the clients of each customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientOptions {
    /// Number of clients per customer.
    pub clients: usize,
    /// Maximum number of connections per client; `None` for no limit, 0 for a new connection per invocation.
    pub connections: Option<usize>,
    /// Maximum number of retries per invocation.
    pub retries: u32,
    /// Maximum delay before the first retry; doubles with each retry.
    pub backoff: Duration,
    /// Maximum ratio of retries to first tries; `None` for no limit.
    pub budget: Option<f64>,
    /// Whether clients wait at least for the time in `Retry-After` before a retry.
    pub follows: bool,
    /// Number of users per customer in a closed loop; `None` for an open loop.
    pub users: Option<usize>,
    /// Mean time between the answer to a user and the next invocation of this user.
    pub think: Duration,
}

/// A load profile.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Load changes of all customers.
    pub ramps: Vec<Ramp>,
    /// Behaviour of clients.
    pub client_options: ClientOptions,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration of the run.
    pub duration: Duration,
    /// Client timeout of an invocation, counted from its due time and across retries.
    pub patience: Duration,
    /// Quota plans.
    pub plans: Vec<Plan>,
    /// Customers.
    pub firms: Vec<Firm>,
    /// Load changes by plan.
    pub surges: Vec<Surge>,
}

impl Profile {
    /// Returns the invocations per second of a customer at time `at` from the start of the run.
    pub fn rate(&self, firm: &Firm, at: Duration) -> f64 {
        let is_active = |s: &&Surge| s.plan == firm.plan && at >= s.at && at < s.at + s.duration;
        let surge_factor = self
            .surges
            .iter()
            .filter(is_active)
            .map(|s| s.factor)
            .product::<f64>();
        let ramp_factors = self
            .ramps
            .iter()
            .filter(|r| at >= r.at && at < r.at + r.duration)
            .map(|r| {
                let progress = (at - r.at).as_secs_f64() / r.duration.as_secs_f64().max(1e-9);
                r.from + (r.to - r.from) * progress
            });
        firm.rate * surge_factor * ramp_factors.product::<f64>()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawProfile {
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

fn client_options(raw: RawClient) -> Result<ClientOptions, String> {
    let optional_duration =
        |key: &str, text: Option<String>| text.map_or(Ok(Duration::ZERO), |t| duration(key, &t));
    let options = ClientOptions {
        clients: raw.clients.unwrap_or(1),
        connections: raw.connections,
        retries: raw.retries.unwrap_or(0),
        backoff: optional_duration("backoff", raw.backoff)?,
        budget: raw.budget.map(|b| non_negative("budget", b)).transpose()?,
        follows: raw.follows.unwrap_or(false),
        users: raw.users,
        think: optional_duration("think", raw.think)?,
    };
    if options.clients == 0 || options.users == Some(0) {
        return Err("clients, users: must be at least 1".into());
    }
    if options.retries > 10 {
        return Err(format!("retries: {} is above 10", options.retries));
    }
    if options.users.is_none() && !options.think.is_zero() {
        return Err("think: only allowed with users, in a closed loop".into());
    }
    Ok(options)
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

fn non_negative(key: &str, v: f64) -> Result<f64, String> {
    if v.is_finite() && v >= 0.0 {
        Ok(v)
    } else {
        Err(format!("{key}: {v} is negative or not finite"))
    }
}

/// Parses a load profile.
///
/// # Errors
/// Returns `FILE:LINE: reason` for the first error in the profile.
pub fn parse(file: &str, text: &str) -> Result<Profile, String> {
    let raw: RawProfile = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| line_of(text, s.start));
        format!("{file}:{line}: {}", e.message())
    })?;
    let locate = |span: std::ops::Range<usize>| {
        let line = line_of(text, span.start);
        move |reason: String| format!("{file}:{line}: {reason}")
    };
    let run_duration = duration("lasting", &raw.lasting).map_err(locate(0..0))?;
    let patience =
        duration("patience", raw.patience.as_deref().unwrap_or("7.5s")).map_err(locate(0..0))?;
    let mut plans: Vec<Plan> = Vec::new();
    for p in &raw.plan {
        let (with_location, entry) = (locate(p.span()), p.get_ref());
        if plans.iter().any(|q| q.name == entry.name) {
            return Err(with_location(format!(
                "name: plan `{}` is defined twice",
                entry.name
            )));
        }
        plans.push(Plan {
            name: entry.name.clone(),
            rate: non_negative("rate", entry.rate).map_err(&with_location)?,
            burst: non_negative("burst", entry.burst).map_err(&with_location)?,
        });
    }
    let plan_index = |name: &str| {
        plans
            .iter()
            .position(|p| p.name == name)
            .ok_or_else(|| format!("plan: `{name}` is not a plan of this file"))
    };
    let mut firms = Vec::new();
    for f in &raw.firm {
        let (with_location, entry) = (locate(f.span()), f.get_ref());
        if entry.id >= 1 << 33 {
            return Err(with_location(format!("id: {} is not below 2^33", entry.id)));
        }
        let (units, operation) = (
            entry.units.unwrap_or(1),
            entry.operation.clone().unwrap_or_else(|| "tile".into()),
        );
        firms.push(Firm {
            id: entry.id,
            plan: plan_index(&entry.plan).map_err(&with_location)?,
            rate: non_negative("rate", entry.rate).map_err(&with_location)?,
            units,
            operation,
        });
    }
    let mut surges = Vec::new();
    for s in &raw.surge {
        let (with_location, entry) = (locate(s.span()), s.get_ref());
        let (start, surge_duration) = (
            duration("at", &entry.at).map_err(&with_location)?,
            duration("lasting", &entry.lasting).map_err(&with_location)?,
        );
        if start + surge_duration > parse_run_duration(&raw.lasting) {
            return Err(with_location(format!(
                "at: the surge ends after the run's {}",
                raw.lasting
            )));
        }
        surges.push(Surge {
            plan: plan_index(&entry.plan).map_err(&with_location)?,
            at: start,
            duration: surge_duration,
            factor: non_negative("factor", entry.factor).map_err(&with_location)?,
        });
    }
    let mut ramps = Vec::new();
    for s in &raw.ramp {
        let (with_location, entry) = (locate(s.span()), s.get_ref());
        let to = non_negative("to", entry.to).map_err(&with_location)?;
        ramps.push(Ramp {
            at: duration("at", &entry.at).map_err(&with_location)?,
            duration: duration("lasting", &entry.lasting).map_err(&with_location)?,
            from: entry
                .from
                .map_or(Ok(to), |f| non_negative("from", f))
                .map_err(&with_location)?,
            to,
        });
    }
    let client_options = match &raw.client {
        Some(c) => client_options(c.get_ref().clone()).map_err(locate(c.span()))?,
        None => ClientOptions {
            clients: 1,
            ..ClientOptions::default()
        },
    };
    Ok(Profile {
        ramps,
        client_options,
        seed: raw.seed,
        duration: run_duration,
        patience,
        plans,
        firms,
        surges,
    })
}

/// Parses the duration of the run; returns the maximum where the text is invalid.
fn parse_run_duration(text: &str) -> Duration {
    humantime::parse_duration(text).unwrap_or(Duration::MAX)
}
