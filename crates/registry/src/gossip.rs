//! Datagrams among registries: probes, member updates, lease messages.

use std::net::SocketAddr;
use std::rc::Rc;

use damsonbeam_control::messages::{Datagram, GossipBody, Ip, addr, unpack};
use damsonbeam_control::settings::Port;
use tokio::net::UdpSocket;

use crate::state::Shared;

/// Receives datagrams and answers them.
pub(crate) async fn receive(registry: Shared, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; 64 << 10];
    let port = registry
        .borrow()
        .settings
        .inner(registry.borrow().settings.ip, Port::Gossip)
        .port();
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Ok(d) = unpack::<Datagram>(&buf[..n]) else {
            continue;
        };
        if from.ip() != addr(d.from) {
            continue;
        }
        let out: Vec<(Ip, Vec<u8>)> = {
            let mut w = registry.borrow_mut();
            let now = w.now();
            // The coordinator's time is the common time.
            let coordinator = w.lease.holder(now).is_some_and(|h| h.0 == d.from);
            w.observe_time(d.time_ms, coordinator);
            w.lease.observe_epoch(d.epoch);
            if let GossipBody::Pong { no } = d.body {
                w.contact.receive_answer(d.from, no);
            }
            let (mut back, changes) = w.members.heard(d.from, &d.body, &d.updates, now);
            changes
                .iter()
                .for_each(|(ip, state)| log::info!("members: {} is {state:?}.", addr(*ip)));
            if let GossipBody::Lease(message) = &d.body
                && let Some(answer) = w.lease.receive(d.from, message, now)
            {
                back.push((d.from, GossipBody::Lease(answer)));
            }
            back.into_iter()
                .map(|(to, what)| (to, w.datagram(to, what)))
                .collect()
        };
        for (to, bytes) in out {
            socket
                .send_to(&bytes, SocketAddr::new(addr(to), port))
                .await
                .ok();
        }
    }
}
