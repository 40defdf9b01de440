//! Fault scripts: timed steps in TOML, validated completely before anything runs.
//!
//! ```toml
//! [[step]]
//! at = "20s"
//! do = "counter-kill"
//! ```
//!
//! A step gives its action and the target of the action. Times have a unit (`250ms`, `20s`). A file with an unknown
//! action or key, a value out of range, or steps out of order is rejected with an error that gives file, line and
//! reason.

use std::time::Duration;

use serde::Deserialize;

/// The action of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Closes the connections of one front, or of all fronts, and accepts no new ones, as after the death of the
    /// counter process.
    CounterKill {
        /// Index of the front; `None` for all fronts.
        front: Option<usize>,
    },
    /// Makes one front, or all fronts, reply again without delay.
    CounterRevive {
        /// Index of the front; `None` for all fronts.
        front: Option<usize>,
        /// Whether all counts are lost, as when a new process replaces the counter.
        empty: bool,
    },
    /// Delays the replies of one front, or of all fronts.
    CounterSlow {
        /// Index of the front; `None` for all fronts.
        front: Option<usize>,
        /// Delay of each reply.
        delay: Duration,
    },
    /// Stops the replies of a front without closing its connections.
    CounterCut {
        /// Index of the front.
        front: usize,
    },
    /// Assigns fronts to another store, which splits the counter.
    CounterSplit {
        /// Indexes of the fronts.
        fronts: Vec<usize>,
        /// Index of the store.
        store: usize,
    },
    /// Assigns all fronts to store 0 and makes them reply without delay.
    CounterHeal,
    /// Makes a backend reject new requests and lists it as leaving in discovery.
    BackendDrain {
        /// Index of the backend.
        backend: usize,
    },
    /// Removes the faults of one backend, or of all backends, but keeps the response time distribution. Lists all
    /// backends as active in discovery.
    BackendHeal {
        /// Index of the backend; `None` for all backends.
        backend: Option<usize>,
    },
    /// Sets the median response time.
    BackendSlow {
        /// Index of the backend; `None` for all backends.
        backend: Option<usize>,
        /// Median response time.
        median: Duration,
    },
    /// Answers a fraction of requests with status 500.
    BackendFail {
        /// Index of the backend; `None` for all backends.
        backend: Option<usize>,
        /// Fraction of requests, from 0 to 1.
        share: f64,
    },
    /// Executes a fraction of requests and closes their connections without a response.
    BackendLose {
        /// Index of the backend; `None` for all backends.
        backend: Option<usize>,
        /// Fraction of requests, from 0 to 1.
        share: f64,
    },
    /// Closes the connections of a fraction of requests without executing them.
    BackendReset {
        /// Index of the backend; `None` for all backends.
        backend: Option<usize>,
        /// Fraction of requests, from 0 to 1.
        share: f64,
    },
    /// Multiplies the response times of a backend for a period, as after a cold start.
    BackendCold {
        /// Index of the backend.
        backend: usize,
        /// Factor on the response time, 1 or more.
        factor: f64,
        /// Length of the period.
        duration: Duration,
    },
    /// Evacuates a gateway through its admin interface.
    GatewayDrain {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Makes an evacuated gateway accept clients again, through its admin interface.
    GatewayRejoin {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Changes the quotas in the configuration file and sends SIGHUP.
    GatewayReload {
        /// Index of the gateway; `None` for all gateways.
        gateway: Option<usize>,
        /// Factor on `quota-rate` and `store-size` of each plan in the load profile.
        factor: f64,
    },
    /// Starts a second process and sends SIGTERM to the first once the second is ready.
    GatewayUpgrade {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Kills the serving process with SIGKILL; a later `GatewayStart` starts a new one.
    GatewayKill {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Starts a process of the gateway.
    GatewayStart {
        /// Index of the gateway.
        gateway: usize,
    },
}

/// A step of a fault script.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time from the start of the run.
    pub at: Duration,
    /// Action of the step.
    pub fault: Fault,
    /// Action as written in the script, for example `counter-kill`.
    pub name: String,
    /// Line of the step in the script, counted from 1.
    pub line: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawScript {
    #[serde(default)]
    step: Vec<toml::Spanned<RawStep>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawStep {
    at: String,
    #[serde(rename = "do")]
    action: String,
    front: Option<usize>,
    fronts: Option<Vec<usize>>,
    store: Option<usize>,
    backend: Option<usize>,
    gateway: Option<usize>,
    delay: Option<String>,
    median: Option<String>,
    share: Option<f64>,
    factor: Option<f64>,
    lasting: Option<String>,
    empty: Option<bool>,
}

/// Returns the line number, counted from 1, of a byte offset in `text`.
pub fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// Parses a duration in the format of `humantime`, for example `250ms`, `20s` or `2m`.
///
/// # Errors
/// Returns a message that names `key` where `text` is not a duration with a unit.
pub fn duration(key: &str, text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|e| format!("{key}: `{text}` is not a duration with a unit: {e}"))
}

fn required_share(key: &str, value: Option<f64>) -> Result<f64, String> {
    match value {
        Some(v) if (0.0..=1.0).contains(&v) => Ok(v),
        Some(v) => Err(format!("{key}: {v} is not a share between 0 and 1")),
        None => Err(format!("{key}: missing")),
    }
}

impl RawStep {
    fn to_fault(&self, fronts: usize, stores: usize, backends: usize) -> Result<Fault, String> {
        let front = |f: Option<usize>| match f {
            Some(f) if f >= fronts => Err(format!(
                "front: {f} is out of range; there are {fronts} fronts"
            )),
            f => Ok(f),
        };
        let backend = |b: Option<usize>| match b {
            Some(b) if b >= backends => Err(format!(
                "backend: {b} is out of range; there are {backends} backends"
            )),
            b => Ok(b),
        };
        // Each gateway has its own front of the counter, so the number of fronts is the number of gateways.
        let gateway = match self.gateway {
            Some(g) if g >= fronts => {
                return Err(format!(
                    "gateway: {g} is out of range; there are {fronts} gateways"
                ));
            }
            g => g,
        };
        let required = |key: &str, v: Option<usize>| {
            v.ok_or_else(|| format!("{key}: missing for `{}`", self.action))
        };
        let required_duration = |key: &str, v: &Option<String>| match v {
            Some(t) => duration(key, t),
            None => Err(format!("{key}: missing for `{}`", self.action)),
        };
        Ok(match self.action.as_str() {
            "counter-kill" => Fault::CounterKill {
                front: front(self.front)?,
            },
            "counter-revive" => Fault::CounterRevive {
                front: front(self.front)?,
                empty: self.empty.unwrap_or(false),
            },
            "counter-slow" => Fault::CounterSlow {
                front: front(self.front)?,
                delay: required_duration("delay", &self.delay)?,
            },
            "counter-cut" => Fault::CounterCut {
                front: required("front", front(self.front)?)?,
            },
            "counter-split" => {
                let selected = self
                    .fronts
                    .clone()
                    .ok_or("fronts: missing for `counter-split`")?;
                if let Some(f) = selected.iter().find(|f| **f >= fronts) {
                    return Err(format!(
                        "fronts: {f} is out of range; there are {fronts} fronts"
                    ));
                }
                let store = required("store", self.store)?;
                if store >= stores {
                    return Err(format!(
                        "store: {store} is out of range; there are {stores} stores"
                    ));
                }
                Fault::CounterSplit {
                    fronts: selected,
                    store,
                }
            }
            "counter-heal" => Fault::CounterHeal,
            "backend-drain" => Fault::BackendDrain {
                backend: required("backend", backend(self.backend)?)?,
            },
            "backend-heal" => Fault::BackendHeal {
                backend: backend(self.backend)?,
            },
            "backend-slow" => Fault::BackendSlow {
                backend: backend(self.backend)?,
                median: required_duration("median", &self.median)?,
            },
            "backend-fail" => Fault::BackendFail {
                backend: backend(self.backend)?,
                share: required_share("share", self.share)?,
            },
            "backend-lose" => Fault::BackendLose {
                backend: backend(self.backend)?,
                share: required_share("share", self.share)?,
            },
            "backend-reset" => Fault::BackendReset {
                backend: backend(self.backend)?,
                share: required_share("share", self.share)?,
            },
            "backend-cold" => {
                let factor = self.factor.ok_or("factor: missing for `backend-cold`")?;
                if factor < 1.0 || !factor.is_finite() {
                    return Err(format!(
                        "factor: {factor} is below 1; a cold backend is slower, not faster"
                    ));
                }
                let backend = required("backend", backend(self.backend)?)?;
                Fault::BackendCold {
                    backend,
                    factor,
                    duration: required_duration("lasting", &self.lasting)?,
                }
            }
            "gateway-drain" => Fault::GatewayDrain {
                gateway: required("gateway", gateway)?,
            },
            "gateway-rejoin" => Fault::GatewayRejoin {
                gateway: required("gateway", gateway)?,
            },
            "gateway-reload" => {
                let factor = self.factor.unwrap_or(1.0);
                if factor <= 0.0 || !factor.is_finite() {
                    return Err(format!("factor: {factor} is not a positive finite number"));
                }
                Fault::GatewayReload { gateway, factor }
            }
            "gateway-upgrade" => Fault::GatewayUpgrade {
                gateway: required("gateway", gateway)?,
            },
            "gateway-kill" => Fault::GatewayKill {
                gateway: required("gateway", gateway)?,
            },
            "gateway-start" => Fault::GatewayStart {
                gateway: required("gateway", gateway)?,
            },
            other => {
                return Err(format!(
                    "do: `{other}` is not a step; steps are counter-kill, counter-revive, counter-slow, counter-cut, counter-split, counter-heal, backend-drain, backend-heal, backend-slow, backend-fail, backend-lose, backend-reset, backend-cold, gateway-drain, gateway-rejoin, gateway-reload, gateway-upgrade, gateway-kill, gateway-start"
                ));
            }
        })
    }
}

/// Parses a fault script and checks its indexes against the numbers of counter fronts, stores and backends.
///
/// # Errors
/// Returns `FILE:LINE: reason` for the first error in the script.
pub fn parse(
    file: &str,
    text: &str,
    fronts: usize,
    stores: usize,
    backends: usize,
) -> Result<Vec<Step>, String> {
    let raw: RawScript = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| line_of(text, s.start));
        format!("{file}:{line}: {}", e.message())
    })?;
    let mut steps: Vec<Step> = Vec::new();
    for spanned in &raw.step {
        let line = line_of(text, spanned.span().start);
        let locate = |reason: String| format!("{file}:{line}: {reason}");
        let raw_step = spanned.get_ref();
        let start_time = duration("at", &raw_step.at).map_err(locate)?;
        if let Some(last) = steps.last().filter(|last| last.at > start_time) {
            return Err(locate(format!(
                "at: {} comes before the step of line {} at {}",
                raw_step.at,
                last.line,
                humantime::format_duration(last.at)
            )));
        }
        let fault = raw_step
            .to_fault(fronts, stores, backends)
            .map_err(locate)?;
        steps.push(Step {
            at: start_time,
            fault,
            name: raw_step.action.clone(),
            line,
        });
    }
    Ok(steps)
}
