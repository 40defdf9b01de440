//! Defines the gateway's metrics, which are updated where the events happen.
//!
//! All values start when the process starts. Clones share the same values; an update is one atomic operation.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the histogram buckets of response times, in seconds.
const ANSWER_TIME_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 7.5, 15.0,
];

/// The gateway's metrics.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Invocations that were served, by operation.
    pub answered: IntCounterVec,
    /// Invocations that were throttled, by operation.
    pub deferred: IntCounterVec,
    /// Invocations that were answered with an error, by operation.
    pub errored: IntCounterVec,
    /// Attempts whose last byte was written to a backend.
    pub sends: IntCounter,
    /// Invocations in progress.
    pub current: IntGauge,
    /// Listed backends.
    pub cluster_size: IntGauge,
    /// Listed backends that are avoided at present.
    pub cluster_unhealthy: IntGauge,
    /// Configurations that were applied at a reload.
    pub conf_loaded: IntCounter,
    /// Configurations that were rejected at a reload.
    pub conf_invalid: IntCounter,
    /// Throttled invocations, by whether an attempt was made: `before_delivery` or `after_delivery`.
    pub turned_away: IntCounterVec,
    /// Throttled invocations, by the decision module's reason.
    pub turned_away_why: IntCounterVec,
    /// Attempts, by outcome.
    pub deliveries: IntCounterVec,
    /// Calls to the counter, by outcome.
    pub counter_calls: IntCounterVec,
    /// Open client connections.
    pub clients: IntGauge,
    /// 1 if the configuration at the start came from registries cut off from most of the core, until a registry that is
    /// in contact with the core is reached.
    pub possibly_old: IntGauge,
    /// Seconds from the last byte of an invocation to its final answer; for a large answer, to its first byte.
    pub answer_seconds: Histogram,
    /// Hand-overs between two processes, by the step reached.
    pub handovers: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics with the value 0.
    ///
    /// # Errors
    /// Returns an error if two metrics have the same name.
    #[expect(clippy::too_many_lines, reason = "a flat list of metrics")]
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("gateway".into()), None)?;
        let by = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            prometheus::Result::Ok(counters)
        };
        let count = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let options = HistogramOpts::new(
            "answer_seconds",
            "Seconds from an invocation's last byte to its answer",
        )
        .buckets(ANSWER_TIME_BUCKETS.to_vec());
        let answer_seconds = Histogram::with_opts(options)?;
        registry.register(Box::new(answer_seconds.clone()))?;
        Ok(Metrics {
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

    /// Creates an operation's metrics with the value 0, so that they are exported before its first invocation.
    pub fn register_operation(&self, operation: &str) {
        for counters in [&self.answered, &self.deferred, &self.errored] {
            counters.with_label_values(&[operation]);
        }
    }

    /// Returns the metrics in Prometheus's text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only for a metric without a name.
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .ok();
        text
    }
}
