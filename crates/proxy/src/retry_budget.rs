//! The budget of repeats that all proxies share, by service: this one's part of it. Each request earns a part of
//! a repeat; what is saved up is this one's part of the slack, so the sum over all stays within the bound in
//! any window: at most all slacks at once, and the ratio of the window's requests.

use std::collections::HashMap;

/// Part of the budget that is used: a proxy that comes while another is still counted adds its part.
const PART: f64 = 0.7;

#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    proxies: f64,
    saved: HashMap<String, f64>,
}

impl RetryBudget {
    pub fn new(ratio: f64, slack: f64) -> Self {
        RetryBudget {
            ratio: ratio * PART,
            slack: slack * PART,
            proxies: 1.0,
            saved: HashMap::new(),
        }
    }

    /// So many proxies share the slack.
    pub fn share(&mut self, proxies: u32) {
        self.proxies = f64::from(proxies.max(1));
        let most = self.slack / self.proxies;
        self.saved.values_mut().for_each(|s| *s = s.min(most));
    }

    /// A request for that service came.
    pub fn earn(&mut self, service: &str) {
        let most = self.slack / self.proxies;
        match self.saved.get_mut(service) {
            Some(saved) => *saved = (*saved + self.ratio).min(most.max(1.0)),
            // A new life has none of the slack: its last one may have used it just now.
            None => drop(self.saved.insert(service.to_owned(), self.ratio)),
        }
    }

    /// A repeat for that service, if it is within this one's part.
    pub fn spend(&mut self, service: &str) -> bool {
        let Some(saved) = self.saved.get_mut(service).filter(|s| **s >= 1.0) else {
            return false;
        };
        *saved -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ten_proxies_whose_every_request_fails_stay_within_the_budget_of_all() {
        let (ratio, slack) = (0.2, 60.0);
        let mut all: Vec<RetryBudget> = (0..10).map(|_| RetryBudget::new(ratio, slack)).collect();
        all.iter_mut().for_each(|p| p.share(10));
        let round = |all: &mut Vec<RetryBudget>, repeat: bool| {
            let mut repeats = 0;
            for p in all.iter_mut() {
                p.earn("s");
                repeats += u32::from(repeat && p.spend("s"));
            }
            repeats
        };
        // Saved up in quiet times, then all fails: in no window more than the ratio of its requests and the slack.
        assert_eq!((0..1000).map(|_| round(&mut all, false)).sum::<u32>(), 0);
        let repeats: u32 = (0..300).map(|_| round(&mut all, true)).sum();
        assert!(
            f64::from(repeats) <= ratio * 3000.0 + slack,
            "{repeats} repeats"
        );
        assert!(
            f64::from(repeats) >= 0.6 * ratio * 3000.0,
            "{repeats} repeats are too few"
        );
    }
}
