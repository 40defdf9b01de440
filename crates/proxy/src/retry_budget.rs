//! This proxy's share of the retry budgets, which all proxies share and which exist for each
//! service. Each request earns a fraction of a retry. Accumulated retries are capped at this
//! proxy's share of the slack, so the retries of all proxies in any window stay within
//! `slack + ratio * requests`.

use std::collections::HashMap;

/// Fraction of the budget that is used. The margin covers a proxy that starts and adds its share
/// while a departed proxy is still counted.
const USED_FRACTION: f64 = 0.7;

/// This proxy's share of the retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    proxies: f64,
    available: HashMap<String, f64>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request plus `slack` retries.
    pub fn new(ratio: f64, slack: f64) -> Self {
        RetryBudget {
            ratio: ratio * USED_FRACTION,
            slack: slack * USED_FRACTION,
            proxies: 1.0,
            available: HashMap::new(),
        }
    }

    fn own_slack(&self) -> f64 {
        self.slack / self.proxies
    }

    /// Sets the number of proxies that share the slack.
    pub fn set_proxy_count(&mut self, proxies: u32) {
        self.proxies = f64::from(proxies.max(1));
        let max_available = self.own_slack();
        self.available
            .values_mut()
            .for_each(|available| *available = available.min(max_available));
    }

    /// Records a request for a service, which earns a fraction of a retry.
    pub fn record_request(&mut self, service: &str) {
        let max_available = self.own_slack().max(1.0);
        if let Some(available) = self.available.get_mut(service) {
            *available = (*available + self.ratio).min(max_available);
            return;
        }
        // A proxy that has just started gets none of the slack, since it may have used its share
        // just before a restart.
        self.available.insert(service.to_owned(), self.ratio);
    }

    /// Spends a retry for a service; returns whether this proxy's share allows it.
    pub fn try_spend(&mut self, service: &str) -> bool {
        let available = self
            .available
            .get_mut(service)
            .filter(|available| **available >= 1.0);
        let Some(available) = available else {
            return false;
        };
        *available -= 1.0;
        true
    }
}
