//! A histogram of answer times that fades: the module's measure of how long answers take.
//!
//! Bins are half an octave wide; the whole is halved once it holds more samples than the caller's
//! `max_samples`, so that it follows the recent answers of a backend or of the fleet. `hdrhistogram` keeps exact
//! counts and has no fading, which is why this one is kept here.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The lowest bin in seconds.
const FIRST_BIN_S: f64 = 0.004;
/// How many bins: each is half an octave up, the last takes the rest.
const BINS: usize = 24;
const BINS_PER_OCTAVE: f64 = 2.0;

/// Samples of answer times, by bin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LatencyHistogram([f64; BINS]);

impl LatencyHistogram {
    /// Counts one answer time; halves all bins where they hold more than `max_samples`.
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

    fn middle_s(bin: usize) -> f64 {
        FIRST_BIN_S * 2f64.powf((bin as f64 + 0.5) / BINS_PER_OCTAVE)
    }

    /// The middle of the bin in which the quantile lies, in seconds; `None` while empty.
    pub(crate) fn quantile_s(&self, quantile: f64) -> Option<f64> {
        let mut left = quantile * self.samples();
        let bin = self.0.iter().position(|samples| {
            left -= samples;
            left < 0.0
        })?;
        Some(Self::middle_s(bin))
    }

    /// The mean in seconds, with `usual_s` counted as `weight` samples beside those measured.
    pub(crate) fn mean_s(&self, usual_s: f64, weight: f64) -> f64 {
        let bins = self.0.iter().enumerate();
        let sum: f64 = bins
            .map(|(bin, samples)| samples * Self::middle_s(bin))
            .sum();
        (sum + usual_s * weight) / (self.samples() + weight)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_fall_in_the_bin_of_the_sample_and_the_empty_has_none() {
        let mut h = LatencyHistogram::default();
        assert_eq!(h.quantile_s(0.5), None);
        (0..9).for_each(|_| h.record(Duration::from_millis(10), 100.0));
        h.record(Duration::from_secs(2), 100.0);
        let median = h.quantile_s(0.5).unwrap();
        assert!((0.008..0.012).contains(&median), "{median}");
        assert!(
            h.quantile_s(0.95).unwrap() > 1.4,
            "the slow tenth shows at the top"
        );
        assert!(h.quantile_s(0.0).unwrap() <= median);
    }

    #[test]
    fn it_fades_to_the_recent_answers() {
        let mut h = LatencyHistogram::default();
        (0..200).for_each(|_| h.record(Duration::from_millis(5), 16.0));
        (0..40).for_each(|_| h.record(Duration::from_millis(500), 16.0));
        assert!(
            h.quantile_s(0.5).unwrap() > 0.3,
            "old fast answers are forgotten"
        );
    }

    #[test]
    fn the_mean_is_drawn_towards_the_usual_by_its_weight() {
        let mut h = LatencyHistogram::default();
        assert!(
            (h.mean_s(0.2, 3.0) - 0.2).abs() < 1e-12,
            "the empty one is the usual"
        );
        h.record(Duration::from_millis(4), 100.0);
        let m = h.mean_s(0.2, 3.0);
        assert!(m > 0.1 && m < 0.2, "{m}");
        assert!(h.mean_s(0.2, 0.0) < 0.01);
    }
}
