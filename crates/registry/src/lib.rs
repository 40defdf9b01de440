//! The registry: members, the coordinator's lease, connections of proxies, the platform's list, outside calls.

pub mod backend_list;
pub mod calls;
mod config_transfer;
pub mod counts;
pub mod directory;
pub mod duty;
mod gossip;
mod operators;
mod platform;
mod proxies;
mod report;
mod state;
mod store_link;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_control::contact::Contact;
use damsonbeam_control::items::ConfigSnapshot;
use damsonbeam_control::lease::{LeaseElection, LeaseMessage};
use damsonbeam_control::link;
use damsonbeam_control::membership::Members;
use damsonbeam_control::messages::{BackendSnapshot, GossipBody, Ip, addr, ip};
use damsonbeam_control::settings::{Port, Settings};
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use duty::Duty;
use state::Registry;

const TICK: Duration = Duration::from_millis(50);
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);
const REDIAL_PAUSE: Duration = Duration::from_millis(200);

/// One registry, from start to exit.
///
/// # Errors
/// Where an address can't be listened on.
pub async fn run(settings: Settings) -> Result<(), String> {
    // SIGHUP ends a program that has not asked for it.
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let settings = Rc::new(settings);
    let me = ip(settings.ip);
    let seeds: BTreeSet<Ip> = settings.seed_ips().into_iter().map(ip).collect();
    let registry = Rc::new(RefCell::new(Registry {
        me,
        start: Instant::now(),
        members: Members::new(me, seeds.iter().copied().collect(), Duration::ZERO),
        lease: LeaseElection::new(me, Duration::ZERO),
        contact: Contact::new(me),
        duty: Duty::default(),
        time: None,
        proxies: BTreeMap::new(),
        seen: BTreeMap::new(),
        was_in_contact: false,
        next_heartbeat: Duration::ZERO,
        heartbeats: 0,
        snapshot: ConfigSnapshot::default(),
        has_all_items: false,
        backends: BackendSnapshot::default(),
        store: None,
        asks: HashMap::new(),
        next: 0,
        roster: Vec::new(),
        epoch_question: None,
        leaving: false,
        settings: settings.clone(),
    }));
    let socket = UdpSocket::bind(settings.inner(settings.ip, Port::Gossip)).await;
    let socket = Rc::new(socket.map_err(|e| format!("the port for datagrams: {e}"))?);
    tokio::task::spawn_local(proxies::serve(
        registry.clone(),
        link::listen(settings.inner(settings.ip, Port::Registry))?,
    ));
    tokio::task::spawn_local(store_link::hold(registry.clone()));
    tokio::task::spawn_local(gossip::receive(registry.clone(), socket.clone()));
    tokio::task::spawn_local(platform::poll(registry.clone()));
    for name in ["control", "directory"] {
        if let Ok(at) = settings.listens(name) {
            tokio::task::spawn_local(operators::serve(registry.clone(), link::listen(at)?));
        }
    }
    let port = settings.inner(settings.ip, Port::Gossip).port();
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    log::info!("registry: {} serves.", settings.node);
    let send = async |out: Vec<(Ip, Vec<u8>)>| {
        for (to, bytes) in out {
            socket
                .send_to(&bytes, SocketAddr::new(addr(to), port))
                .await
                .ok();
        }
    };
    loop {
        tokio::select! {
            _ = tick.tick() => {
                let out = registry.borrow_mut().tick();
                send(out).await;
            }
            _ = hangup.recv() => damsonbeam_control::reloaded("registry"),
            _ = terminate.recv() => {
                let out: Vec<(Ip, Vec<u8>)> = {
                    let mut w = registry.borrow_mut();
                    w.leaving = true;
                    let (now, alive) = (w.now(), w.members.alive());
                    match w.lease.leave(now, &alive) {
                        Some(vote) => {
                            if let LeaseMessage::Yield { to, .. } = &vote {
                                log::info!("coordinator: names {} its successor.", addr(*to));
                            }
                            w.duty.follow(None);
                            let others = alive.into_iter().filter(|a| *a != me);
                            others.map(|a| (a, w.datagram(a, GossipBody::Lease(vote.clone())))).collect()
                        }
                        None => vec![],
                    }
                };
                send(out).await;
                // Calls that are under way are answered.
                sleep(Duration::from_millis(1200)).await;
                log::info!("registry: ends.");
                return Ok(());
            }
        }
    }
}
