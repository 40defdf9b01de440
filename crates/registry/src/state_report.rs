//! Builds the state report: the state of the system as one registry sees it.

use std::time::Duration;

use damsonbeam_control::address::{ip_addr, ip_strings};

use crate::registry::Registry;
use crate::report::{self, CoordinatorReport, ListReport, ProxyReport, StateReport};

impl Registry {
    /// Returns the state report as JSON, for `damsonbeam-ctl state`.
    pub(crate) fn state_report_json(&self) -> Vec<u8> {
        let now = self.now();
        let voters = self
            .lease
            .voters()
            .map_or(&[][..], |voters| voters.voters());
        let coordinator = self.lease.holder(now).map(|holder| CoordinatorReport {
            ip: ip_addr(holder.ip).to_string(),
            term: holder.term,
        });
        report::to_json(&StateReport {
            registry: self.settings.node_name.clone(),
            up_ms: now.as_millis() as u64,
            registries: ip_strings(self.membership.alive()),
            epoch: self.lease.epoch(),
            voters: ip_strings(voters.iter().copied()),
            in_contact: self.is_in_contact(),
            contact_age_ms: self
                .contact
                .contact_age(now)
                .map(|age| age.as_millis() as u64),
            coordinator,
            store_reached: self.store.is_connected(),
            items: self.config.items().len(),
            digest: format!("{:016x}", self.config.digest()),
            list: ListReport {
                term: self.backends.version.term,
                reading: self.backends.version.revision,
                backends: self.backends.backends.len(),
            },
            proxies: self.proxy_reports(now),
        })
    }

    fn proxy_reports(&self, now: Duration) -> Vec<ProxyReport> {
        let sessions = self.proxies.all();
        let reports = sessions.map(|(_, session)| ProxyReport {
            node: session.status().node.clone(),
            ready: session.status().ready,
            silent_ms: session.silent_for(now).as_millis() as u64,
            news_not_acknowledged: session.unacknowledged_updates(),
        });
        reports.collect()
    }
}
