//! An emulator for tests and experiments on loopback: simulated backends, counter and discovery service, each
//! implemented from the platform's protocol. Faults are injected at run time, directly or by a timed script.
//! Gateways run as processes of the built program and are killed when dropped. The simulated services listen on
//! 127.0.0.1 until the Tokio runtime ends.

pub mod backends;
pub mod counter;
pub mod discovery;
pub mod gateways;
pub mod http;
pub mod programs;
pub mod script;

pub use backends::{Behaviour, Fleet};
pub use counter::{Counter, FrontMode};
pub use discovery::{Discovery, Member};
pub use script::{Fault, Step};

use std::time::Duration;

use crate::gateways::Gateway;

/// The simulated services of one experiment.
pub struct Lab {
    /// The simulated counter.
    pub counter: Counter,
    /// The simulated backends.
    pub fleet: Fleet,
    /// The simulated discovery service, which lists all backends.
    pub discovery: Discovery,
}

impl Lab {
    /// Starts the simulated services. `fronts` is the number of counter addresses, one per gateway; `stores` is the
    /// number of independent counter stores, among which a split can divide the fronts.
    ///
    /// # Errors
    /// Returns the error where an address cannot be bound.
    pub async fn start(
        fronts: usize,
        stores: usize,
        backends: usize,
        seed: u64,
        behaviour: Behaviour,
    ) -> std::io::Result<Lab> {
        let counter = Counter::start(fronts, stores).await?;
        let fleet = Fleet::start(backends, seed, behaviour).await?;
        let members = fleet
            .backends
            .iter()
            .enumerate()
            .map(|(i, b)| Member::active(&format!("s-{i:04}"), b.address));
        let discovery = Discovery::start(members.collect()).await?;
        Ok(Lab {
            counter,
            fleet,
            discovery,
        })
    }

    /// Applies a fault of the simulated services immediately; ignores gateway faults, which [`Gateway::apply`]
    /// handles.
    ///
    /// # Panics
    /// Panics where the fault names a front, store or backend that does not exist.
    pub fn apply(&self, fault: &Fault) {
        let selected_fronts = |front: Option<usize>| {
            front.map_or(0..self.counter.front_addresses.len(), |f| f..f + 1)
        };
        let update_backends = |backend: Option<usize>, change: &dyn Fn(&mut Behaviour)| {
            let selected = backend.map_or(0..self.fleet.backends.len(), |b| b..b + 1);
            selected.for_each(|i| self.fleet.backends[i].update(change));
        };
        match fault {
            Fault::CounterKill { front } => {
                selected_fronts(*front).for_each(|f| self.counter.set_mode(f, FrontMode::Dead))
            }
            Fault::CounterRevive { front, empty } => {
                for f in selected_fronts(*front) {
                    if *empty {
                        self.counter.clear_store(self.counter.store_of(f));
                    }
                    self.counter.set_mode(f, FrontMode::Up(Duration::ZERO));
                }
            }
            Fault::CounterSlow { front, delay } => selected_fronts(*front)
                .for_each(|f| self.counter.set_mode(f, FrontMode::Up(*delay))),
            Fault::CounterCut { front } => self.counter.set_mode(*front, FrontMode::Silent),
            Fault::CounterSplit { fronts, store } => fronts
                .iter()
                .for_each(|f| self.counter.set_store(*f, *store)),
            Fault::CounterHeal => (0..self.counter.front_addresses.len()).for_each(|f| {
                self.counter.set_store(f, 0);
                self.counter.set_mode(f, FrontMode::Up(Duration::ZERO));
            }),
            Fault::BackendDrain { backend } => {
                self.fleet.backends[*backend].update(|b| b.draining = true);
                let id = format!("s-{backend:04}");
                self.discovery.update(|members| {
                    members
                        .iter_mut()
                        .filter(|m| m.id == id)
                        .for_each(|m| m.phase = "leaving".into())
                });
            }
            Fault::BackendHeal { backend } => {
                update_backends(*backend, &|b| {
                    *b = Behaviour {
                        median_latency: b.median_latency,
                        latency_sigma: b.latency_sigma,
                        ..Behaviour::default()
                    }
                });
                self.discovery
                    .update(|m| m.iter_mut().for_each(|m| m.phase = "active".into()));
            }
            Fault::BackendSlow { backend, median } => {
                update_backends(*backend, &|b| b.median_latency = *median)
            }
            Fault::BackendFail { backend, share } => {
                update_backends(*backend, &|b| b.fail_share = *share)
            }
            Fault::BackendLose { backend, share } => {
                update_backends(*backend, &|b| b.lose_share = *share)
            }
            Fault::BackendReset { backend, share } => {
                update_backends(*backend, &|b| b.reset_share = *share)
            }
            Fault::BackendCold {
                backend,
                factor,
                duration,
            } => {
                let until = std::time::Instant::now() + *duration;
                self.fleet.backends[*backend]
                    .update(|b| (b.slowdown_factor, b.slow_until) = (*factor, Some(until)));
            }
            Fault::GatewayDrain { .. }
            | Fault::GatewayRejoin { .. }
            | Fault::GatewayReload { .. }
            | Fault::GatewayUpgrade { .. }
            | Fault::GatewayKill { .. }
            | Fault::GatewayStart { .. } => {}
        }
    }

    /// Runs a fault script, with step times counted from the call; returns after the last step or at the first
    /// step that fails.
    ///
    /// # Errors
    /// Returns the line of the step and the reason: a gateway does not start, or rejects an admin request.
    pub async fn run_script(&self, steps: &[Step], gateways: &mut [Gateway]) -> Result<(), String> {
        let start = tokio::time::Instant::now();
        for step in steps {
            tokio::time::sleep_until(start + step.at).await;
            self.apply(&step.fault);
            for (index, gateway) in gateways.iter_mut().enumerate() {
                gateway
                    .apply(index, &step.fault)
                    .await
                    .map_err(|reason| format!("line {}: {reason}", step.line))?;
            }
        }
        Ok(())
    }
}
