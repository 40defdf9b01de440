//! A histogram of answer times that fades: the module's measure of how long answers take.
//!
//! It holds no decision. Bins are half an octave wide; the whole is
//! halved once it holds more samples than the caller's `most`, so that it follows the recent answers of a
//! backend or of the fleet. `hdrhistogram` keeps exact counts and has no fading, which is why this one is
//! kept here.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rules::bins::{BIN_FIRST, BINS};

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Histogram([f64; BINS]);

impl Histogram {
    /// Counts one answer time; halves all bins where they hold more than `most` samples.
    pub(crate) fn note(&mut self, t: Duration, most: f64) {
        let bin = (2.0 * (t.as_secs_f64() / BIN_FIRST).max(1.0).log2()) as usize;
        self.0[bin.min(BINS - 1)] += 1.0;
        if self.0.iter().sum::<f64>() > most {
            self.0.iter_mut().for_each(|b| *b /= 2.0);
        }
    }

    fn middle(bin: usize) -> f64 {
        BIN_FIRST * 2f64.powf((bin as f64 + 0.5) / 2.0)
    }

    /// The middle of the bin in which the quantile `q` lies, in seconds; none while empty.
    pub(crate) fn quantile(&self, q: f64) -> Option<f64> {
        let mut left = q * self.0.iter().sum::<f64>();
        let found = self.0.iter().position(|b| {
            left -= b;
            left < 0.0
        })?;
        Some(Self::middle(found))
    }

    /// The mean in seconds, with `usual` counted as `weight` samples beside those measured.
    pub(crate) fn mean(&self, usual: f64, weight: f64) -> f64 {
        let n: f64 = self.0.iter().sum();
        let sum: f64 = self
            .0
            .iter()
            .enumerate()
            .map(|(i, b)| b * Self::middle(i))
            .sum();
        (sum + usual * weight) / (n + weight)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_fall_in_the_bin_of_the_sample_and_the_empty_has_none() {
        let mut h = Histogram::default();
        assert_eq!(h.quantile(0.5), None);
        (0..9).for_each(|_| h.note(Duration::from_millis(10), 100.0));
        h.note(Duration::from_secs(2), 100.0);
        let median = h.quantile(0.5).unwrap();
        assert!((0.008..0.012).contains(&median), "{median}");
        assert!(
            h.quantile(0.95).unwrap() > 1.4,
            "the slow tenth shows at the top"
        );
        assert!(h.quantile(0.0).unwrap() <= median);
    }

    #[test]
    fn it_fades_to_the_recent_answers() {
        let mut h = Histogram::default();
        (0..200).for_each(|_| h.note(Duration::from_millis(5), 16.0));
        (0..40).for_each(|_| h.note(Duration::from_millis(500), 16.0));
        assert!(
            h.quantile(0.5).unwrap() > 0.3,
            "old fast answers are forgotten"
        );
    }

    #[test]
    fn the_mean_is_drawn_towards_the_usual_by_its_weight() {
        let mut h = Histogram::default();
        assert!(
            (h.mean(0.2, 3.0) - 0.2).abs() < 1e-12,
            "the empty one is the usual"
        );
        h.note(Duration::from_millis(4), 100.0);
        let m = h.mean(0.2, 3.0);
        assert!(m > 0.1 && m < 0.2, "{m}");
        assert!(h.mean(0.2, 0.0) < 0.01);
    }
}
