//! The retry budget that all proxies share, by service: this one's share of it. Each request earns a part of a retry;
//! what is saved up is this proxy's share of the slack, so the sum over all proxies stays within the bound in any window:
//! at most all slacks at once, and the ratio of the window's requests.

use std::collections::HashMap;

/// The part of the budget that is used: a proxy that starts while another is still counted adds its share.
const USED_PART: f64 = 0.7;

/// This proxy's share of the retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    proxies: f64,
    saved: HashMap<String, f64>,
}

impl RetryBudget {
    /// A budget of `ratio` retries a request, and `slack` retries beyond.
    pub fn new(ratio: f64, slack: f64) -> Self {
        RetryBudget {
            ratio: ratio * USED_PART,
            slack: slack * USED_PART,
            proxies: 1.0,
            saved: HashMap::new(),
        }
    }

    fn own_slack(&self) -> f64 {
        self.slack / self.proxies
    }

    /// Sets the number of proxies that share the slack.
    pub fn set_proxies(&mut self, proxies: u32) {
        self.proxies = f64::from(proxies.max(1));
        let most = self.own_slack();
        self.saved
            .values_mut()
            .for_each(|saved| *saved = saved.min(most));
    }

    /// A request for a service has come.
    pub fn earn(&mut self, service: &str) {
        let most = self.own_slack().max(1.0);
        if let Some(saved) = self.saved.get_mut(service) {
            *saved = (*saved + self.ratio).min(most);
            return;
        }
        // A proxy that has just started has none of the slack: it may have used it just before its restart.
        self.saved.insert(service.to_owned(), self.ratio);
    }

    /// Spends a retry for a service; returns whether it is within this proxy's share.
    pub fn spend(&mut self, service: &str) -> bool {
        let saved = self.saved.get_mut(service).filter(|saved| **saved >= 1.0);
        let Some(saved) = saved else {
            return false;
        };
        *saved -= 1.0;
        true
    }
}
