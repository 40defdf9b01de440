//! Carries datagrams of load reports, in and out.

use std::cell::RefCell;
use std::rc::Rc;

use damsonbeam_control::address::{Ip, ip_addr, octets};
use damsonbeam_gateway::clock::Clock;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use super::TICK;
use crate::backend_pool::BackendPool;
use crate::dispatch::Dispatchers;

/// A datagram's size at most.
const MAX_DATAGRAM_BYTES: usize = 4096;
/// Ticks of the proxy between two of the exchange.
const TICKS_PER_ROUND: u32 = 4;

/// Exchanges load reports for as long as the process runs. All proxies use the same port.
pub(super) async fn run(
    socket: UdpSocket,
    pool: Rc<RefCell<BackendPool>>,
    dispatchers: Rc<RefCell<Dispatchers>>,
    clock: Clock,
) {
    let port = socket.local_addr().map_or(0, |address| address.port());
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut tick = interval(TICK * TICKS_PER_ROUND);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Ok((length, from)) = socket.recv_from(&mut buffer) => {
                if let Some(load_reports) = pool.borrow_mut().load_reports() {
                    load_reports.receive(octets(from.ip()), &buffer[..length], clock.now());
                }
            }
            _ = tick.tick() => {
                for (to, bytes) in datagrams_due(&pool, clock) {
                    socket.send_to(&bytes, (ip_addr(to), port)).await.ok();
                }
                if have_factors_changed(&pool, clock) {
                    dispatchers.borrow().send_backends();
                }
            }
        }
    }
}

fn datagrams_due(pool: &Rc<RefCell<BackendPool>>, clock: Clock) -> Vec<(Ip, Vec<u8>)> {
    let mut pool = pool.borrow_mut();
    let load_reports = pool.load_reports();
    load_reports.map_or(vec![], |load_reports| load_reports.tick(clock.now()))
}

fn have_factors_changed(pool: &Rc<RefCell<BackendPool>>, clock: Clock) -> bool {
    let mut pool = pool.borrow_mut();
    let load_reports = pool.load_reports();
    load_reports.is_some_and(|load_reports| load_reports.update_factors(clock.now()))
}
