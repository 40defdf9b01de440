//! The reports of what this gateway has admitted, to the other gateways.

use std::time::Duration;

use damsonbeam::interface::{Event, PeersAdmitted};

use super::{Dispatcher, Timer};
use crate::messages::ToPeers;
use crate::peer_admissions;
use crate::sizes::DATAGRAM;

impl Dispatcher {
    /// Reports to the other gateways, and tells the rules what they have reported.
    pub(super) fn report_to_peers(&mut self, now: Duration) {
        let (Some((peer_admissions, to)), Some(peers)) = (&mut self.peer_admissions, &self.peers)
        else {
            return;
        };
        let admitted = self.rules.admitted(now);
        for bytes in peer_admissions.report(&admitted, DATAGRAM) {
            for gateway in to.iter() {
                let datagram = ToPeers {
                    to: Some(*gateway),
                    bytes: bytes.clone(),
                };
                peers.try_send(datagram).ok();
            }
        }
        let complete_until = peer_admissions.reported_until(to, now);
        let others = admitted.into_iter().map(|admitted| PeersAdmitted {
            units: peer_admissions.admitted_by_peers(&admitted.name, now),
            customer: admitted.customer,
            slot: admitted.slot,
            complete_until,
        });
        let others = others.collect();
        let next = now + peer_admissions::REPORT_INTERVAL;
        self.state.timers.insert((next, Timer::PeerReport));
        self.handle_event(Event::PeersAdmitted(others));
    }
}
