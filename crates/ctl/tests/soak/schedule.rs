//! The seeded troubles of a soak: signals, restarts, spells of backends' faults and changes of the configuration. They
//! come in series and overlap.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::backend::{FaultKind, Faults};
use crate::cluster::{Cluster, Machine, PROXY};
use crate::history::Disruptions;
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
/// The longest time between the first and the last of a series of signals and changes.
const MAX_SERIES_MS: u64 = 1500;
const MAX_SERIES_STEPS: usize = 6;

/// Something that is due at a time: the end of a trouble, or a later step of a series.
enum ScheduledEvent {
    /// A proxy is told to end.
    Terminate(usize),
    /// The routes change.
    Change,
    Thaw(usize),
    Restart(usize),
    FaultFree(usize),
    BackendUp(usize),
    LinkPrompt(usize),
    Undrained,
}

impl ScheduledEvent {
    fn is_restart_of(&self, machines: &[usize]) -> bool {
        matches!(self, ScheduledEvent::Restart(index) if machines.contains(index))
    }
}

/// The troubles that are in progress.
pub struct Schedule {
    rng: ChaCha8Rng,
    next: Instant,
    scheduled: Vec<(Instant, ScheduledEvent)>,
    config_version: u32,
    disruptions: Disruptions,
}

impl Schedule {
    pub fn new(rng: ChaCha8Rng, disruptions: Disruptions) -> Self {
        Schedule {
            rng,
            next: Instant::now(),
            scheduled: Vec::new(),
            config_version: 1,
            disruptions,
        }
    }

    fn up_to_ms(&mut self, limit_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(1..=limit_ms))
    }

    fn schedule_within(&mut self, limit_ms: u64, event: ScheduledEvent) {
        let at = Instant::now() + self.up_to_ms(limit_ms);
        self.scheduled.push((at, event));
    }

    /// Begins and ends the troubles that are due.
    pub fn step(&mut self, soak: &mut Soak) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) =
            self.scheduled.drain(..).partition(|(at, _)| *at <= now);
        self.scheduled = later;
        for (_, event) in due {
            self.handle(event, soak);
        }
        let restarted = restart_exited(&mut soak.cluster);
        // A process that has ended in order is not killed at the end of its grace period, nor is the next one.
        self.scheduled
            .retain(|(_, event)| !event.is_restart_of(&restarted));
        if now >= self.next {
            match self.disruptions {
                Disruptions::All => self.begin(soak),
                Disruptions::Planned => self.begin_planned(soak),
            }
            self.next = now + self.up_to_ms(MAX_PAUSE_MS);
        }
    }

    fn handle(&mut self, event: ScheduledEvent, soak: &mut Soak) {
        match event {
            ScheduledEvent::Terminate(index) => self.terminate(soak, index),
            ScheduledEvent::Change => self.change_configuration(soak),
            event => end(event, soak),
        }
    }

    /// Ends all troubles. Where only planned work was under way, the proxies that are ending keep their grace period.
    pub fn finish(&mut self, soak: &mut Soak) {
        if self.disruptions == Disruptions::Planned {
            return;
        }
        let scheduled = std::mem::take(&mut self.scheduled);
        scheduled
            .into_iter()
            .for_each(|(_, event)| end(event, soak));
    }

    fn begin(&mut self, soak: &mut Soak) {
        match self.rng.random_range(0..20) {
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
            13 => self.begin_series(soak),
            _ => self.begin_fault_spell(soak),
        }
    }

    fn begin_planned(&mut self, soak: &mut Soak) {
        match self.rng.random_range(0..6) {
            0 | 1 => self.terminate_proxy(soak),
            2 => self.begin_series(soak),
            3 => self.signal_proxy(soak, "-HUP"),
            4 => self.change_configuration(soak),
            _ => self.drain_backend(soak),
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

    /// Begins a series of changes and of ends of proxies, as a rolling restart brings them.
    fn begin_series(&mut self, soak: &Soak) {
        for _ in 0..self.rng.random_range(2..=MAX_SERIES_STEPS) {
            let step = if self.rng.random() {
                ScheduledEvent::Terminate(self.choose(soak, |machine| !machine.is_core))
            } else {
                ScheduledEvent::Change
            };
            self.schedule_within(MAX_SERIES_MS, step);
        }
    }

    fn terminate_proxy(&mut self, soak: &mut Soak) {
        let index = self.choose(soak, |machine| !machine.is_core);
        self.terminate(soak, index);
    }

    fn terminate(&mut self, soak: &mut Soak, index: usize) {
        if soak.cluster.is_running(index, PROXY) {
            soak.cluster.signal(index, "-TERM");
            let at = Instant::now() + GRACE_PERIOD;
            self.scheduled.push((at, ScheduledEvent::Restart(index)));
        }
    }

    fn kill(&mut self, soak: &mut Soak, is_eligible: impl Fn(&Machine) -> bool) {
        let index = self.choose(soak, is_eligible);
        soak.cluster.kill_machine(index);
        self.schedule_within(MAX_OUTAGE_MS, ScheduledEvent::Restart(index));
    }

    fn freeze(&mut self, soak: &mut Soak, is_eligible: impl Fn(&Machine) -> bool) {
        let index = self.choose(soak, is_eligible);
        if all_running(&mut soak.cluster, index) {
            soak.cluster.suspend(&[index]);
            self.schedule_within(MAX_FREEZE_MS, ScheduledEvent::Thaw(index));
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
        if soak.backends[index].incarnation().is_up {
            soak.backends[index].crash();
            self.schedule_within(MAX_OUTAGE_MS, ScheduledEvent::BackendUp(index));
        }
    }

    fn drain_backend(&mut self, soak: &mut Soak) {
        let index = self.rng.random_range(0..soak.backends.len());
        let backend = &soak.backends[index];
        let draining = backend.incarnation().id;
        let entries = listed(&soak.backends);
        soak.cluster.set_instances(&entries, &[&draining]);
        self.schedule_within(MAX_OUTAGE_MS, ScheduledEvent::Undrained);
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
        self.schedule_within(MAX_SPELL_MS, ScheduledEvent::LinkPrompt(index));
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
        self.schedule_within(MAX_SPELL_MS, ScheduledEvent::FaultFree(index));
    }
}

fn end(event: ScheduledEvent, soak: &mut Soak) {
    match event {
        ScheduledEvent::Thaw(index) => {
            if all_running(&mut soak.cluster, index) {
                soak.cluster.resume(&[index]);
            }
        }
        ScheduledEvent::Restart(index) => {
            soak.cluster.kill_machine(index);
            soak.cluster.start_machine(index);
        }
        ScheduledEvent::FaultFree(index) => soak.backends[index].set_faults(Faults::default()),
        ScheduledEvent::BackendUp(index) => {
            soak.backends[index].restart();
            soak.cluster.set_instances(&listed(&soak.backends), &[]);
        }
        ScheduledEvent::LinkPrompt(index) => soak.backends[index].set_link_delay(Duration::ZERO),
        ScheduledEvent::Undrained => soak.cluster.set_instances(&listed(&soak.backends), &[]),
        // The rest of a series that the soak's end cuts short.
        ScheduledEvent::Terminate(_) | ScheduledEvent::Change => {}
    }
}

fn all_running(cluster: &mut Cluster, index: usize) -> bool {
    let programs = cluster.running_programs(index);
    !programs.is_empty()
        && programs
            .into_iter()
            .all(|program| cluster.is_running(index, program))
}

/// Starts the proxies again that have exited by themselves after SIGTERM, and returns their machines.
fn restart_exited(cluster: &mut Cluster) -> Vec<usize> {
    let mut restarted = Vec::new();
    for index in 0..cluster.machines.len() {
        let programs = cluster.running_programs(index);
        let has_exited = programs
            .into_iter()
            .any(|program| !cluster.is_running(index, program));
        if has_exited {
            cluster.kill_machine(index);
            cluster.start_machine(index);
            restarted.push(index);
        }
    }
    restarted
}
