//! Sends and receives the datagrams of load reports.

use std::cell::RefCell;
use std::rc::Rc;

use damsonbeam_control::address::{Ip, ip_addr, ip_octets};
use damsonbeam_gateway::clock::Clock;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use super::TICK;
use crate::backend_pool::BackendPool;
use crate::dispatch::Dispatchers;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4096;
/// Ticks of the proxy (each [`TICK`] long) per round of the exchange.
const TICKS_PER_ROUND: u32 = 4;

/// Exchanges load reports with other proxies for as long as the process runs. Datagrams go to the port that this proxy
/// itself listens on, as all proxies use the same one.
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
                    load_reports.receive(ip_octets(from.ip()), &buffer[..length], clock.now());
                }
            }
            _ = tick.tick() => {
                for (to, bytes) in take_due_datagrams(&pool, clock) {
                    socket.send_to(&bytes, (ip_addr(to), port)).await.ok();
                }
                if update_factors_when_due(&pool, clock) {
                    dispatchers.borrow().send_backends();
                }
            }
        }
    }
}

fn take_due_datagrams(pool: &Rc<RefCell<BackendPool>>, clock: Clock) -> Vec<(Ip, Vec<u8>)> {
    let mut pool = pool.borrow_mut();
    let load_reports = pool.load_reports();
    load_reports.map_or(vec![], |load_reports| load_reports.tick(clock.now()))
}

fn update_factors_when_due(pool: &Rc<RefCell<BackendPool>>, clock: Clock) -> bool {
    let mut pool = pool.borrow_mut();
    let load_reports = pool.load_reports();
    load_reports.is_some_and(|load_reports| load_reports.update_factors(clock.now()))
}
