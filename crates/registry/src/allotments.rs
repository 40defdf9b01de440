//! Messages about quota allotments between the coordinator and proxies.

use std::time::Duration;

use damsonbeam_control::messages::{Allotment, Message};

use crate::proxies::ConnectionId;
use crate::registry::Registry;

impl Registry {
    /// Records the allotments that a proxy reports to hold. A report addressed to the coordinator of another term is
    /// ignored.
    pub(crate) fn receive_allotments(
        &mut self,
        link: ConnectionId,
        term: u64,
        allotments: &[Allotment],
    ) {
        let now = self.now();
        let Some(session) = self.proxies.get(link) else {
            return;
        };
        if self.role.acting_term(&self.lease, now) == Some(term) {
            let incarnation = session.status().incarnation;
            let ledger = self.role.allotments_mut();
            ledger.record_report(incarnation, allotments, now);
        }
    }

    /// Records that a proxy has applied a change of its allotments.
    pub(crate) fn acknowledge_allotments(&mut self, link: ConnectionId, term: u64, revision: u64) {
        let Some(session) = self.proxies.get(link) else {
            return;
        };
        if self.role.term() == Some(term) {
            let incarnation = session.status().incarnation;
            self.role
                .allotments_mut()
                .acknowledge(incarnation, revision);
        }
    }

    /// Divides the quotas again if due, and sends the changes to the proxies.
    pub(crate) fn send_allotments(&mut self, now: Duration) {
        let Some((term, changes)) = self.role.divide_quotas(&self.lease, now) else {
            return;
        };
        for change in changes {
            let message = Message::SetAllotments {
                term,
                revision: change.revision,
                allotments: change.allotments,
            };
            self.proxies.send_to(change.incarnation, &message);
        }
    }

    /// Renews the proxies' leases on their allotments, and tells proxies how much of each quota the absent ones hold.
    pub(crate) fn send_allotment_status(&mut self, now: Duration) {
        let Some(term) = self.role.acting_term(&self.lease, now) else {
            return;
        };
        let attached = self.proxies.attached_count(now);
        let known = self.proxies.known_count(now).max(1);
        let missing_fraction = known.saturating_sub(attached) as f64 / known as f64;
        let absent = self
            .role
            .allotments()
            .absent_allotments(missing_fraction, now);
        let message = Message::AllotmentStatus {
            term,
            departed_proxies: self.proxies.departed_count() as u32,
            absent: absent.by_tenant,
            absent_parts_per_unlisted_tenant: absent.parts_per_unlisted_tenant,
        };
        for (_, session) in self.proxies.all() {
            let incarnation = session.status().incarnation;
            if self.role.allotments().may_renew(incarnation, now) {
                session.send(&message);
            }
        }
    }
}
