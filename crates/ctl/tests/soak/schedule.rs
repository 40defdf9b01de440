//! The seeded troubles of a soak: signals, restarts, spells of backends' faults and changes of the configuration. They
//! come in series and overlap.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::backend::{FaultKind, Faults};
use crate::cluster::{Cluster, Machine, PROXY};
use crate::{Soak, listed};

/// The grace period of a proxy, after which it is killed.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
const MAX_PAUSE_MS: u64 = 700;
const MAX_FREEZE_MS: u64 = 2500;
const MAX_SPELL_MS: u64 = 4000;
const MAX_OUTAGE_MS: u64 = 2500;
/// The longest time by which a link delays each piece.
const MAX_LINK_DELAY_MS: u64 = 60;
/// The longest time for which a link passes nothing on.
const MAX_STALL_MS: u64 = 1500;
/// The largest share of a backend's answers that a fault spoils.
const MAX_FAULT_SHARE: f64 = 0.08;
const MAX_FAULTS_AT_ONCE: usize = 3;

/// Something that ends at a time.
enum Ending {
    Thaw(usize),
    Restart(usize),
    FaultFree(usize),
    BackendUp(usize),
    LinkPrompt(usize),
    Undrained,
}

/// The troubles that are in progress.
pub struct Schedule {
    rng: ChaCha8Rng,
    next: Instant,
    endings: Vec<(Instant, Ending)>,
    config_version: u32,
}

impl Schedule {
    pub fn new(rng: ChaCha8Rng) -> Self {
        Schedule {
            rng,
            next: Instant::now(),
            endings: Vec::new(),
            config_version: 1,
        }
    }

    fn up_to_ms(&mut self, limit_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(1..=limit_ms))
    }

    fn end_after(&mut self, limit_ms: u64, ending: Ending) {
        let at = Instant::now() + self.up_to_ms(limit_ms);
        self.endings.push((at, ending));
    }

    /// Begins and ends the troubles that are due.
    pub fn step(&mut self, soak: &mut Soak) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.endings.drain(..).partition(|(at, _)| *at <= now);
        self.endings = later;
        due.into_iter().for_each(|(_, ending)| end(ending, soak));
        restart_exited(&mut soak.cluster);
        if now >= self.next {
            self.begin(soak);
            self.next = now + self.up_to_ms(MAX_PAUSE_MS);
        }
    }

    /// Ends all troubles.
    pub fn finish(&mut self, soak: &mut Soak) {
        let endings = std::mem::take(&mut self.endings);
        endings
            .into_iter()
            .for_each(|(_, ending)| end(ending, soak));
    }

    fn begin(&mut self, soak: &mut Soak) {
        match self.rng.random_range(0..18) {
            0 | 1 => self.terminate_proxy(soak),
            2 => self.kill(soak, |machine| !machine.is_core),
            3 => self.freeze(soak, |machine| !machine.is_core),
            4 => self.signal_proxy(soak, "-HUP"),
            5 => self.kill(soak, |machine| machine.is_core),
            6 => self.freeze(soak, |machine| machine.is_core),
            7 | 8 => self.change_configuration(soak),
            9 => self.crash_backend(soak),
            10 => self.drain_backend(soak),
            11 => self.delay_link(soak),
            12 => self.stall_link(soak),
            _ => self.begin_fault_spell(soak),
        }
    }

    fn choose(&mut self, soak: &Soak, is_eligible: impl Fn(&Machine) -> bool) -> usize {
        let machines = soak.cluster.machines.iter().enumerate();
        let eligible: Vec<usize> = machines
            .filter(|(_, machine)| is_eligible(machine))
            .map(|(index, _)| index)
            .collect();
        *eligible.choose(&mut self.rng).expect("a machine")
    }

    fn terminate_proxy(&mut self, soak: &mut Soak) {
        let index = self.choose(soak, |machine| !machine.is_core);
        if soak.cluster.is_running(index, PROXY) {
            soak.cluster.signal(index, "-TERM");
            let at = Instant::now() + GRACE_PERIOD;
            self.endings.push((at, Ending::Restart(index)));
        }
    }

    fn kill(&mut self, soak: &mut Soak, is_eligible: impl Fn(&Machine) -> bool) {
        let index = self.choose(soak, is_eligible);
        soak.cluster.kill_machine(index);
        self.end_after(MAX_OUTAGE_MS, Ending::Restart(index));
    }

    fn freeze(&mut self, soak: &mut Soak, is_eligible: impl Fn(&Machine) -> bool) {
        let index = self.choose(soak, is_eligible);
        if all_running(&mut soak.cluster, index) {
            soak.cluster.suspend(&[index]);
            self.end_after(MAX_FREEZE_MS, Ending::Thaw(index));
        }
    }

    fn signal_proxy(&mut self, soak: &mut Soak, signal: &str) {
        let index = self.choose(soak, |machine| !machine.is_core);
        if soak.cluster.is_running(index, PROXY) {
            soak.cluster.signal(index, signal);
        }
    }

    fn change_configuration(&mut self, soak: &mut Soak) {
        self.config_version += 1;
        let max_attempts = self.rng.random_range(2..4);
        let timeout_ms = [1000, 3000][self.rng.random_range(0..2)];
        soak.send_configuration(self.config_version, max_attempts, timeout_ms);
    }

    fn crash_backend(&mut self, soak: &mut Soak) {
        let index = self.rng.random_range(0..soak.backends.len());
        if soak.backends[index].life().is_up {
            soak.backends[index].crash();
            self.end_after(MAX_OUTAGE_MS, Ending::BackendUp(index));
        }
    }

    fn drain_backend(&mut self, soak: &mut Soak) {
        let index = self.rng.random_range(0..soak.backends.len());
        let backend = &soak.backends[index];
        let draining = backend.life().id;
        let entries = listed(&soak.backends);
        soak.cluster.set_instances(&entries, &[&draining]);
        self.end_after(MAX_OUTAGE_MS, Ending::Undrained);
    }

    fn delay_link(&mut self, soak: &mut Soak) {
        let delay = self.up_to_ms(MAX_LINK_DELAY_MS);
        self.slow_link(soak, delay);
    }

    /// Holds back what passes a link; the pieces that wait are passed on late even if the spell ends before.
    fn stall_link(&mut self, soak: &mut Soak) {
        let delay = self.up_to_ms(MAX_STALL_MS);
        self.slow_link(soak, delay);
    }

    fn slow_link(&mut self, soak: &mut Soak, delay: Duration) {
        let index = self.rng.random_range(0..soak.backends.len());
        soak.backends[index].set_link_delay(delay);
        self.end_after(MAX_SPELL_MS, Ending::LinkPrompt(index));
    }

    fn begin_fault_spell(&mut self, soak: &mut Soak) {
        let index = self.rng.random_range(0..soak.backends.len());
        let share = self.rng.random_range(0.01..MAX_FAULT_SHARE);
        let kinds: Vec<FaultKind> = soak
            .fault_kinds
            .choose_multiple(&mut self.rng, MAX_FAULTS_AT_ONCE)
            .copied()
            .collect();
        let count = self.rng.random_range(1..=MAX_FAULTS_AT_ONCE);
        let shares = kinds.into_iter().take(count).map(|kind| (kind, share));
        let faults = Faults::new(shares.collect());
        soak.backends[index].set_faults(faults);
        self.end_after(MAX_SPELL_MS, Ending::FaultFree(index));
    }
}

fn end(ending: Ending, soak: &mut Soak) {
    match ending {
        Ending::Thaw(index) => {
            if all_running(&mut soak.cluster, index) {
                soak.cluster.resume(&[index]);
            }
        }
        Ending::Restart(index) => {
            soak.cluster.kill_machine(index);
            soak.cluster.start_machine(index);
        }
        Ending::FaultFree(index) => soak.backends[index].set_faults(Faults::default()),
        Ending::BackendUp(index) => {
            soak.backends[index].restart();
            soak.cluster.set_instances(&listed(&soak.backends), &[]);
        }
        Ending::LinkPrompt(index) => soak.backends[index].set_link_delay(Duration::ZERO),
        Ending::Undrained => soak.cluster.set_instances(&listed(&soak.backends), &[]),
    }
}

fn all_running(cluster: &mut Cluster, index: usize) -> bool {
    let programs = cluster.running_programs(index);
    !programs.is_empty()
        && programs
            .into_iter()
            .all(|program| cluster.is_running(index, program))
}

/// Starts the proxies again that have exited by themselves after SIGTERM.
fn restart_exited(cluster: &mut Cluster) {
    for index in 0..cluster.machines.len() {
        let programs = cluster.running_programs(index);
        let has_exited = programs
            .into_iter()
            .any(|program| !cluster.is_running(index, program));
        if has_exited {
            cluster.kill_machine(index);
            cluster.start_machine(index);
        }
    }
}
