//! Reports to the other gateways of the units that this gateway has admitted.

use std::time::Duration;

use damsonbeam::interface::{Event, PeerUnits};

use super::{Dispatcher, Timer};
use crate::messages::PeerDatagram;
use crate::peer_admissions;
use crate::sizes::MAX_DATAGRAM;

impl Dispatcher {
    /// Sends this gateway's report to the other gateways, and passes the reports received from them to the decision
    /// module.
    pub(super) fn report_to_peers(&mut self, now: Duration) {
        let (Some((peer_admissions, to)), Some(peers)) = (&mut self.peer_admissions, &self.peers)
        else {
            return;
        };
        let admitted = self.rules.admitted_units(now);
        for bytes in peer_admissions.report(&admitted, MAX_DATAGRAM) {
            for gateway in to.iter() {
                let datagram = PeerDatagram {
                    to: Some(*gateway),
                    bytes: bytes.clone(),
                };
                peers.try_send(datagram).ok();
            }
        }
        let complete_until = peer_admissions.reported_until(to, now);
        let peers_admitted = admitted.into_iter().map(|admitted| PeerUnits {
            units: peer_admissions.admitted_by_peers(&admitted.name, now),
            customer: admitted.customer,
            slot: admitted.slot,
            complete_until,
        });
        let peers_admitted = peers_admitted.collect();
        let next = now + peer_admissions::REPORT_INTERVAL;
        self.state.timers.insert((next, Timer::PeerReport));
        self.handle_event(Event::PeerUnits(peers_admitted));
    }
}
