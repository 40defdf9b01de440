//! The laboratory: stand-ins for all that a gateway meets, written here from the platform's protocol, with
//! faults set while they run or on a timed script, and gateways started as processes of the built program.
//! Everything listens on 127.0.0.1 and stops when dropped.

pub mod backends;
pub mod counter;
pub mod discovery;
pub mod gateways;
pub mod plain;
pub mod programs;
pub mod script;

pub use backends::{Behaviour, Fleet};
pub use counter::{Counter, Front};
pub use discovery::{Discovery, Member};
pub use script::{Fault, Step};

use std::time::Duration;

use crate::gateways::Place;

/// The stand-ins of one experiment.
pub struct Lab {
    pub counter: Counter,
    pub fleet: Fleet,
    pub discovery: Discovery,
}

impl Lab {
    /// `fronts`: one counter address for each gateway; `stores`: counters that a split can lead to.
    pub async fn start(
        fronts: usize,
        stores: usize,
        backends: usize,
        seed: u64,
        b: Behaviour,
    ) -> std::io::Result<Lab> {
        let counter = Counter::start(fronts, stores).await?;
        let fleet = Fleet::start(backends, seed, b).await?;
        let members = fleet
            .backends
            .iter()
            .enumerate()
            .map(|(i, b)| Member::active(&format!("s-{i:04}"), b.at));
        let discovery = Discovery::start(members.collect()).await?;
        Ok(Lab {
            counter,
            fleet,
            discovery,
        })
    }

    /// Carries a step out at once; those of gateways are their places' ([`Place::apply`]).
    pub fn apply(&self, fault: &Fault) {
        let fronts = |f: Option<usize>| f.map_or(0..self.counter.fronts.len(), |f| f..f + 1);
        let each = |b: Option<usize>, change: &dyn Fn(&mut Behaviour)| {
            let all = b.map_or(0..self.fleet.backends.len(), |b| b..b + 1);
            all.for_each(|i| self.fleet.backends[i].set(change));
        };
        match fault {
            Fault::CounterKill { front } => {
                fronts(*front).for_each(|f| self.counter.set(f, Front::Dead))
            }
            Fault::CounterRevive { front, empty } => {
                for f in fronts(*front) {
                    if *empty {
                        self.counter.empty(self.counter.store_of(f));
                    }
                    self.counter.set(f, Front::Up(Duration::ZERO));
                }
            }
            Fault::CounterSlow { front, delay } => {
                fronts(*front).for_each(|f| self.counter.set(f, Front::Up(*delay)))
            }
            Fault::CounterCut { front } => self.counter.set(*front, Front::Silent),
            Fault::CounterSplit { fronts, store } => {
                fronts.iter().for_each(|f| self.counter.route(*f, *store))
            }
            Fault::CounterHeal => (0..self.counter.fronts.len()).for_each(|f| {
                self.counter.route(f, 0);
                self.counter.set(f, Front::Up(Duration::ZERO));
            }),
            Fault::BackendDrain { backend } => {
                self.fleet.backends[*backend].set(|b| b.draining = true);
                let id = format!("s-{backend:04}");
                self.discovery.change(|m| {
                    m.iter_mut()
                        .filter(|m| m.id == id)
                        .for_each(|m| m.phase = "leaving".into())
                });
            }
            Fault::BackendHeal { backend } => {
                each(*backend, &|b| {
                    *b = Behaviour {
                        median: b.median,
                        spread: b.spread,
                        ..Behaviour::default()
                    }
                });
                self.discovery
                    .change(|m| m.iter_mut().for_each(|m| m.phase = "active".into()));
            }
            Fault::BackendSlow { backend, median } => each(*backend, &|b| b.median = *median),
            Fault::BackendFail { backend, share } => each(*backend, &|b| b.fail = *share),
            Fault::BackendLose { backend, share } => each(*backend, &|b| b.lose = *share),
            Fault::BackendReset { backend, share } => each(*backend, &|b| b.reset = *share),
            Fault::BackendCold {
                backend,
                factor,
                lasting,
            } => {
                let until = std::time::Instant::now() + *lasting;
                self.fleet.backends[*backend]
                    .set(|b| (b.cold_factor, b.cold_until) = (*factor, Some(until)));
            }
            Fault::GatewayDrain { .. }
            | Fault::GatewayRejoin { .. }
            | Fault::GatewayReload { .. }
            | Fault::GatewayUpgrade { .. }
            | Fault::GatewayKill { .. }
            | Fault::GatewayStart { .. } => {}
        }
    }

    /// Runs a script from now on; returns when its last step is done, or with the first that can't be done.
    ///
    /// # Errors
    /// The step's line and what failed: a gateway that does not start, or an operator's call that is refused.
    pub async fn play(&self, steps: &[Step], gateways: &mut [Place]) -> Result<(), String> {
        let start = tokio::time::Instant::now();
        for step in steps {
            tokio::time::sleep_until(start + step.at).await;
            self.apply(&step.fault);
            for (n, place) in gateways.iter_mut().enumerate() {
                place
                    .apply(n, &step.fault)
                    .await
                    .map_err(|why| format!("line {}: {why}", step.line))?;
            }
        }
        Ok(())
    }
}
