//! The figures: each is defined once, here, with its meaning, and counted where the event happens.
//!
//! All count from the process's start. Clones share the same counts; counting is an atomic addition.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the bins of answer times, in seconds.
const TIMES: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 7.5, 15.0,
];

/// What is counted for operators.
#[derive(Clone)]
pub struct Figures {
    registry: Registry,
    /// Invocations by their final answer, for each operation.
    pub answered: IntCounterVec,
    /// Answers that ask the client to come back.
    pub deferred: IntCounterVec,
    /// Answers that are errors.
    pub errored: IntCounterVec,
    /// Deliveries whose last byte was written to a backend.
    pub sends: IntCounter,
    /// Invocations taken and not ended.
    pub current: IntGauge,
    /// Backends that are listed.
    pub cluster_size: IntGauge,
    /// Those of them that are avoided.
    pub cluster_unhealthy: IntGauge,
    /// Configurations that were taken.
    pub conf_loaded: IntCounter,
    /// Configurations that were refused.
    pub conf_invalid: IntCounter,
    /// Why invocations were turned away: before any delivery (quota, line, time), or after one.
    pub turned_away: IntCounterVec,
    /// The same by reason, as the module names it.
    pub turned_away_why: IntCounterVec,
    /// Attempts, by how they ended.
    pub deliveries: IntCounterVec,
    /// Calls to the counter, by how they ended.
    pub counter_calls: IntCounterVec,
    /// Connections of clients.
    pub clients: IntGauge,
    /// 1 from a start by registries that were cut off from most of the core until one in contact is met.
    pub possibly_old: IntGauge,
    /// From the last byte of an invocation to its final answer, in seconds; a large one's first byte.
    pub answer_seconds: Histogram,
    /// Hand-overs between two processes, by how far they came.
    pub handovers: IntCounterVec,
}

impl Figures {
    /// All figures at 0.
    ///
    /// # Errors
    /// Where two figures have one name.
    #[expect(
        clippy::too_many_lines,
        reason = "a list of figures, one after the other"
    )]
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("gateway".into()), None)?;
        let by = |name: &str, help: &str, label: &str| {
            let all = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(all.clone()))?;
            prometheus::Result::Ok(all)
        };
        let count = |name: &str, help: &str| {
            let one = IntCounter::new(name, help)?;
            registry.register(Box::new(one.clone()))?;
            prometheus::Result::Ok(one)
        };
        let gauge = |name: &str, help: &str| {
            let one = IntGauge::new(name, help)?;
            registry.register(Box::new(one.clone()))?;
            prometheus::Result::Ok(one)
        };
        let times = HistogramOpts::new(
            "answer_seconds",
            "Seconds from an invocation's last byte to its answer",
        )
        .buckets(TIMES.to_vec());
        let answer_seconds = Histogram::with_opts(times)?;
        registry.register(Box::new(answer_seconds.clone()))?;
        Ok(Figures {
            answered: by("answered", "Invocations served, by operation", "group")?,
            deferred: by(
                "deferred",
                "Invocations throttled: trying again is harmless",
                "group",
            )?,
            errored: by("errored", "Invocations that failed", "group")?,
            sends: count("sends", "Deliveries written whole to backends")?,
            current: gauge("current", "Invocations taken and not ended")?,
            cluster_size: gauge("cluster_size", "Backends in the list")?,
            cluster_unhealthy: gauge("cluster_unhealthy", "Listed backends that are avoided now")?,
            conf_loaded: count("conf_loaded", "Configurations taken at SIGHUP")?,
            conf_invalid: count("conf_invalid", "Configurations turned down at SIGHUP")?,
            turned_away: by(
                "turned_away",
                "Throttled before or after a delivery was made",
                "when",
            )?,
            turned_away_why: by("turned_away_why", "Throttled, by reason", "why")?,
            deliveries: by("deliveries", "Deliveries by how they ended", "outcome")?,
            counter_calls: by(
                "counter_calls",
                "Calls to the quota counter by how they ended",
                "outcome",
            )?,
            clients: gauge("clients", "Clients' connections open")?,
            possibly_old: gauge(
                "possibly_old",
                "Serves by registries cut off from most of the core",
            )?,
            answer_seconds,
            handovers: by(
                "handovers",
                "Hand-overs to or from another process, by step reached",
                "step",
            )?,
            registry,
        })
    }

    /// An operation's figures show from the start, at 0.
    pub fn name(&self, operation: &str) {
        for all in [&self.answered, &self.deferred, &self.errored] {
            all.with_label_values(&[operation]);
        }
    }

    /// The text form: a line a figure.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only for a figure that has no name.
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .ok();
        text
    }
}
