//! Fault scripts: timed steps in TOML, checked whole before anything runs.
//!
//! ```toml
//! [[step]]
//! at = "20s"
//! do = "counter-kill"
//! ```
//!
//! A step names what it does and to whom; times are written with their unit (`250ms`, `20s`). A file with an
//! unknown step or key, a negative or impossible figure, or times out of order is refused with its file,
//! line and reason.

use std::time::Duration;

use serde::Deserialize;

/// What a step does.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The counter's process dies: fronts end their connections and refuse.
    CounterKill {
        front: Option<usize>,
    },
    /// It comes back; `empty`: as a replacement with no counts.
    CounterRevive {
        front: Option<usize>,
        empty: bool,
    },
    /// Calls are answered this late.
    CounterSlow {
        front: Option<usize>,
        delay: Duration,
    },
    /// A front's link is cut silently.
    CounterCut {
        front: usize,
    },
    /// These fronts lead to another store from now on: a split.
    CounterSplit {
        fronts: Vec<usize>,
        store: usize,
    },
    /// All fronts up, on store 0.
    CounterHeal,
    BackendDrain {
        backend: usize,
    },
    BackendHeal {
        backend: Option<usize>,
    },
    BackendSlow {
        backend: Option<usize>,
        median: Duration,
    },
    BackendFail {
        backend: Option<usize>,
        share: f64,
    },
    BackendLose {
        backend: Option<usize>,
        share: f64,
    },
    BackendReset {
        backend: Option<usize>,
        share: f64,
    },
    BackendCold {
        backend: usize,
        factor: f64,
        lasting: Duration,
    },
    /// Its operators have it drain, or take clients again.
    GatewayDrain {
        gateway: usize,
    },
    GatewayRejoin {
        gateway: usize,
    },
    /// SIGHUP, with every plan's quota times `factor` (of the load profile's) in its file.
    GatewayReload {
        gateway: Option<usize>,
        factor: f64,
    },
    /// A second process beside it; SIGTERM to the first once the second says that it is ready.
    GatewayUpgrade {
        gateway: usize,
    },
    /// SIGKILL; it stays dead until it is started.
    GatewayKill {
        gateway: usize,
    },
    GatewayStart {
        gateway: usize,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub fault: Fault,
    /// As the script names it.
    pub name: String,
    pub line: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    step: Vec<toml::Spanned<RawStep>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawStep {
    at: String,
    #[serde(rename = "do")]
    does: String,
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

/// The line of a byte offset, from 1.
pub fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// `250ms`, `20s`, `2m`, as `humantime` reads them.
pub fn duration(key: &str, text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|e| format!("{key}: `{text}` is no time with its unit: {e}"))
}

fn share(key: &str, value: Option<f64>) -> Result<f64, String> {
    match value {
        Some(v) if (0.0..=1.0).contains(&v) => Ok(v),
        Some(v) => Err(format!("{key}: {v} is not a share between 0 and 1")),
        None => Err(format!("{key}: missing")),
    }
}

impl RawStep {
    fn fault(&self, fronts: usize, stores: usize, backends: usize) -> Result<Fault, String> {
        let front = |f: Option<usize>| match f {
            Some(f) if f >= fronts => Err(format!("front: {f} is not below the {fronts} fronts")),
            f => Ok(f),
        };
        let backend = |b: Option<usize>| match b {
            Some(b) if b >= backends => {
                Err(format!("backend: {b} is not below the {backends} backends"))
            }
            b => Ok(b),
        };
        // Each gateway has a front of the counter.
        let gateway = match self.gateway {
            Some(g) if g >= fronts => {
                return Err(format!("gateway: {g} is not below the {fronts} gateways"));
            }
            g => g,
        };
        let needed = |key: &str, v: Option<usize>| {
            v.ok_or_else(|| format!("{key}: missing for `{}`", self.does))
        };
        let time = |key: &str, v: &Option<String>| match v {
            Some(t) => duration(key, t),
            None => Err(format!("{key}: missing for `{}`", self.does)),
        };
        Ok(match self.does.as_str() {
            "counter-kill" => Fault::CounterKill {
                front: front(self.front)?,
            },
            "counter-revive" => Fault::CounterRevive {
                front: front(self.front)?,
                empty: self.empty.unwrap_or(false),
            },
            "counter-slow" => Fault::CounterSlow {
                front: front(self.front)?,
                delay: time("delay", &self.delay)?,
            },
            "counter-cut" => Fault::CounterCut {
                front: needed("front", front(self.front)?)?,
            },
            "counter-split" => {
                let list = self
                    .fronts
                    .clone()
                    .ok_or("fronts: missing for `counter-split`")?;
                if let Some(f) = list.iter().find(|f| **f >= fronts) {
                    return Err(format!("fronts: {f} is not below the {fronts} fronts"));
                }
                let store = needed("store", self.store)?;
                if store >= stores {
                    return Err(format!("store: {store} is not below the {stores} stores"));
                }
                Fault::CounterSplit {
                    fronts: list,
                    store,
                }
            }
            "counter-heal" => Fault::CounterHeal,
            "backend-drain" => Fault::BackendDrain {
                backend: needed("backend", backend(self.backend)?)?,
            },
            "backend-heal" => Fault::BackendHeal {
                backend: backend(self.backend)?,
            },
            "backend-slow" => Fault::BackendSlow {
                backend: backend(self.backend)?,
                median: time("median", &self.median)?,
            },
            "backend-fail" => Fault::BackendFail {
                backend: backend(self.backend)?,
                share: share("share", self.share)?,
            },
            "backend-lose" => Fault::BackendLose {
                backend: backend(self.backend)?,
                share: share("share", self.share)?,
            },
            "backend-reset" => Fault::BackendReset {
                backend: backend(self.backend)?,
                share: share("share", self.share)?,
            },
            "backend-cold" => {
                let factor = self.factor.ok_or("factor: missing for `backend-cold`")?;
                if factor < 1.0 || !factor.is_finite() {
                    return Err(format!(
                        "factor: {factor} is below 1; a cold backend is slower, not faster"
                    ));
                }
                let backend = needed("backend", backend(self.backend)?)?;
                Fault::BackendCold {
                    backend,
                    factor,
                    lasting: time("lasting", &self.lasting)?,
                }
            }
            "gateway-drain" => Fault::GatewayDrain {
                gateway: needed("gateway", gateway)?,
            },
            "gateway-rejoin" => Fault::GatewayRejoin {
                gateway: needed("gateway", gateway)?,
            },
            "gateway-reload" => {
                let factor = self.factor.unwrap_or(1.0);
                if factor <= 0.0 || !factor.is_finite() {
                    return Err(format!("factor: {factor} is no factor of a quota"));
                }
                Fault::GatewayReload { gateway, factor }
            }
            "gateway-upgrade" => Fault::GatewayUpgrade {
                gateway: needed("gateway", gateway)?,
            },
            "gateway-kill" => Fault::GatewayKill {
                gateway: needed("gateway", gateway)?,
            },
            "gateway-start" => Fault::GatewayStart {
                gateway: needed("gateway", gateway)?,
            },
            other => {
                return Err(format!(
                    "do: `{other}` is no step; steps are counter-kill, counter-revive, counter-slow, counter-cut, counter-split, counter-heal, backend-drain, backend-heal, backend-slow, backend-fail, backend-lose, backend-reset, backend-cold, gateway-drain, gateway-rejoin, gateway-reload, gateway-upgrade, gateway-kill, gateway-start"
                ));
            }
        })
    }
}

/// Reads a script for a lab of so many counter fronts, stores and backends; errors are `FILE:LINE: reason`.
pub fn parse(
    file: &str,
    text: &str,
    fronts: usize,
    stores: usize,
    backends: usize,
) -> Result<Vec<Step>, String> {
    let raw: Raw = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| line_of(text, s.start));
        format!("{file}:{line}: {}", e.message())
    })?;
    let mut steps: Vec<Step> = Vec::new();
    for spanned in &raw.step {
        let line = line_of(text, spanned.span().start);
        let at = |why: String| format!("{file}:{line}: {why}");
        let s = spanned.get_ref();
        let when = duration("at", &s.at).map_err(at)?;
        if let Some(last) = steps.last().filter(|last| last.at > when) {
            return Err(at(format!(
                "at: {} comes before the step of line {} at {}",
                s.at,
                last.line,
                humantime::format_duration(last.at)
            )));
        }
        let fault = s.fault(fronts, stores, backends).map_err(at)?;
        steps.push(Step {
            at: when,
            fault,
            name: s.does.clone(),
            line,
        });
    }
    Ok(steps)
}
