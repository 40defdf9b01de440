//! A histogram of latencies that favors recent samples.
//!
//! Bins are half an octave wide. All bins are halved once the histogram holds more samples than the
//! caller's `max_samples`, so that the histogram follows recent answers of a backend or of the
//! fleet. `hdrhistogram` keeps exact counts and has no such decay.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Lower bound of the first bin in seconds. Shorter latencies fall into the same bin.
const FIRST_BIN_S: f64 = 0.004;
/// Number of bins. The last one holds all longer latencies.
const BINS: usize = 24;
const BINS_PER_OCTAVE: f64 = 2.0;

/// Number of samples per bin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LatencyHistogram([f64; BINS]);

impl LatencyHistogram {
    /// Records a latency, then halves all bins if they hold more than `max_samples`.
    pub(crate) fn record(&mut self, latency: Duration, max_samples: f64) {
        let octaves = (latency.as_secs_f64() / FIRST_BIN_S).max(1.0).log2();
        let bin = (BINS_PER_OCTAVE * octaves) as usize;
        self.0[bin.min(BINS - 1)] += 1.0;
        if self.samples() > max_samples {
            self.0.iter_mut().for_each(|samples| *samples /= 2.0);
        }
    }

    fn samples(&self) -> f64 {
        self.0.iter().sum()
    }

    fn bin_center_s(bin: usize) -> f64 {
        FIRST_BIN_S * 2f64.powf((bin as f64 + 0.5) / BINS_PER_OCTAVE)
    }

    /// Returns the middle of the bin that contains the quantile, in seconds; `None` if the
    /// histogram is empty.
    pub(crate) fn quantile_s(&self, quantile: f64) -> Option<f64> {
        let mut remaining = quantile * self.samples();
        let bin = self.0.iter().position(|samples| {
            remaining -= samples;
            remaining < 0.0
        })?;
        Some(Self::bin_center_s(bin))
    }

    /// Returns the mean in seconds, with `prior_s` counted as `weight` additional samples.
    pub(crate) fn mean_s(&self, prior_s: f64, weight: f64) -> f64 {
        let bins = self.0.iter().enumerate();
        let sum: f64 = bins
            .map(|(bin, samples)| samples * Self::bin_center_s(bin))
            .sum();
        (sum + prior_s * weight) / (self.samples() + weight)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantile_lies_in_bin_of_sample_and_is_none_when_empty() {
        let mut histogram = LatencyHistogram::default();
        assert_eq!(histogram.quantile_s(0.5), None);
        (0..9).for_each(|_| histogram.record(Duration::from_millis(10), 100.0));
        histogram.record(Duration::from_secs(2), 100.0);
        let median = histogram.quantile_s(0.5).unwrap();
        assert!((0.008..0.012).contains(&median), "median: {median} s");
        assert!(
            histogram.quantile_s(0.95).unwrap() > 1.4,
            "the slowest tenth determines the high quantile"
        );
        assert!(histogram.quantile_s(0.0).unwrap() <= median);
    }

    #[test]
    fn quantile_follows_recent_samples() {
        let mut histogram = LatencyHistogram::default();
        (0..200).for_each(|_| histogram.record(Duration::from_millis(5), 16.0));
        (0..40).for_each(|_| histogram.record(Duration::from_millis(500), 16.0));
        assert!(
            histogram.quantile_s(0.5).unwrap() > 0.3,
            "old fast samples have decayed"
        );
    }

    #[test]
    fn mean_is_weighted_with_prior() {
        let mut histogram = LatencyHistogram::default();
        assert!(
            (histogram.mean_s(0.2, 3.0) - 0.2).abs() < 1e-12,
            "an empty histogram returns the prior"
        );
        histogram.record(Duration::from_millis(4), 100.0);
        let mean = histogram.mean_s(0.2, 3.0);
        assert!(mean > 0.1 && mean < 0.2, "mean: {mean} s");
        assert!(histogram.mean_s(0.2, 0.0) < 0.01);
    }
}
