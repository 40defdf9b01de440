//! Latencies of the answers to one operation.

use std::time::Duration;

use super::MEDIAN;
use super::latency_histogram::LatencyHistogram;

/// Samples at which the histogram is halved: it follows the last few hundred answers of all backends.
const MAX_SAMPLES: f64 = 400.0;

/// Latencies of the answers to one operation, from all backends.
#[derive(Clone, Debug, Default)]
pub(super) struct OperationLatency {
    histogram: LatencyHistogram,
    last: Option<Duration>,
}

impl OperationLatency {
    /// Starts with a histogram taken over from another process, whose last answer is not known.
    pub(super) fn from_histogram(histogram: LatencyHistogram) -> Self {
        OperationLatency {
            histogram,
            last: None,
        }
    }

    pub(super) fn histogram(&self) -> &LatencyHistogram {
        &self.histogram
    }

    /// Records the latency of an answer.
    pub(super) fn record(&mut self, latency: Duration) {
        self.histogram.record(latency, MAX_SAMPLES);
        self.last = Some(latency);
    }

    /// Returns the latency in seconds that the next answer is likely to have; `None` before the first answer. This is
    /// the median, or the last latency if that is lower: where backends have recovered, the median shows it only after
    /// as many answers as there were slow ones.
    pub(super) fn likely_s(&self) -> Option<f64> {
        let median_s = self.histogram.quantile_s(MEDIAN)?;
        let last_s = self.last.map_or(median_s, |last| last.as_secs_f64());
        Some(median_s.min(last_s))
    }
}
