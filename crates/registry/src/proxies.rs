//! Connections of proxies: their status, heartbeats to them, configuration, backends and counts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use damsonbeam_control::link::{self, Out};
use damsonbeam_control::messages::{Heartbeat, Ip, Message, NamedCount, ProxyStatus, ip};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::REDIAL_PAUSE;
use crate::config_transfer;
use crate::directory::{self, ProxyEndpoint};
use crate::state::{Registry, Shared};

/// Of so many, a proxy of another region gets one where this registry is not the coordinator: bytes between regions are paid for.
const FAR_HEARTBEAT_EVERY: u32 = 3;
/// A proxy that said nothing for so long is not attached any more, and not named to clients.
const PROXY_SILENCE: Duration = Duration::from_millis(1300);
/// Proxies not seen for so long may be serving out of touch: their part of each quota stays theirs.
const PROXY_FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

pub(crate) struct ProxySession {
    pub(crate) status: ProxyStatus,
    pub(crate) out: Out,
    pub(crate) last: Duration,
    pub(crate) no: u64,
    pub(crate) acked: u64,
    /// It exchanges load summaries with others.
    pub(crate) tells_loads: bool,
}

impl Registry {
    pub(crate) fn known_proxies(&mut self) -> u32 {
        let now = self.now();
        self.seen.retain(|_, at| now < *at + PROXY_FORGOTTEN_AFTER);
        self.seen.len() as u32
    }

    pub(crate) fn attached(&self) -> impl Iterator<Item = &ProxySession> {
        let now = self.now();
        self.proxies
            .values()
            .filter(move |p| now < p.last + PROXY_SILENCE)
    }

    /// Whether a proxy is this one's to tell news: those of its region, and all where it is the coordinator. The others
    /// hear from their own region's registries, see by the beats what they lack, and ask for it.
    pub(crate) fn tells(&self, status: &ProxyStatus) -> bool {
        self.duty.term().is_some() || self.region(&status.zone) == self.settings.region
    }

    /// To all proxies whose turn it is, or to one that has just come.
    pub(crate) fn send_heartbeats(&mut self, newcomer: Option<u64>) {
        let now = self.now();
        let (proxies, coordinator) = (self.known_proxies(), self.lease.holder(now));
        let nodes: BTreeSet<&str> = self.attached().map(|p| &*p.status.node).collect();
        let attached = nodes.len() as u32;
        let mut registries = self.members.alive();
        registries.retain(|w| *w != self.me);
        registries.insert(0, self.me);
        let ready = self.attached().filter(|p| p.status.ready);
        let ready: BTreeSet<(String, String)> = ready
            .map(|p| (self.region(&p.status.zone), p.status.node.clone()))
            .collect();
        let heartbeat = Heartbeat {
            time_ms: self.time_ms().unwrap_or(0),
            registries,
            in_contact: self.is_in_contact(),
            coordinator,
            proxies,
            attached,
            near: 0,
            place: 0,
            items: if self.has_all_items {
                self.snapshot.digest()
            } else {
                0
            },
            list: (self.backends.term, self.backends.reading),
        };
        self.heartbeats += u32::from(newcomer.is_none());
        let endpoints = self.endpoints();
        let ips = |all: &[SocketAddr]| all.iter().map(|a| ip(a.ip())).collect::<Vec<Ip>>();
        let far_turn = self.heartbeats.is_multiple_of(FAR_HEARTBEAT_EVERY);
        for (link, p) in &self.proxies {
            let is_due = match newcomer {
                Some(newcomer) => newcomer == *link,
                None => far_turn || self.tells(&p.status),
            };
            if !is_due {
                continue;
            }
            let region = self.region(&p.status.zone);
            let home = ready.iter().filter(|r| r.0 == region);
            let (near, place) = (
                home.clone().count() as u32,
                home.take_while(|r| r.1 < p.status.node).count() as u32,
            );
            p.out.send(&Message::Heartbeat(Heartbeat {
                near,
                place,
                ..heartbeat.clone()
            }));
            if p.tells_loads {
                let (near, far) =
                    directory::partners(&endpoints, p.status.front(), &region, self.heartbeats);
                p.out.send(&Message::Partners {
                    near: ips(&near),
                    far: ips(&far),
                });
            }
        }
    }

    /// The list as last read; by others, where this one is not the coordinator: an old one is better than none.
    pub(crate) fn send_backends(&mut self, link: Option<u64>) {
        if self.backends.term == 0 || !self.duty.may_give_list() {
            return;
        }
        let pages = config_transfer::pages(&self.backends);
        let count = pages.len() as u32;
        for (_, p) in self
            .proxies
            .iter_mut()
            .filter(|(id, _)| link.is_none_or(|l| l == **id))
        {
            for (page, list) in (0..).zip(pages.iter().cloned()) {
                p.no += 1;
                p.out.send(&Message::BackendUpdate {
                    no: p.no,
                    list,
                    page,
                    pages: count,
                });
            }
        }
    }

    /// A message of a proxy.
    pub(crate) fn receive_from_proxy(&mut self, link: u64, out: &Out, note: Message) {
        let now = self.now();
        match note {
            Message::Status { status, time_ms } => {
                self.observe_time(time_ms, false);
                self.lease.observe_term(status.term);
                self.seen.insert(status.node.clone(), now);
                let fresh = !self.proxies.contains_key(&link);
                if fresh {
                    log::info!("proxies: {} came.", status.node);
                }
                let p = self.proxies.entry(link).or_insert_with(|| ProxySession {
                    status: status.clone(),
                    out: out.clone(),
                    last: now,
                    no: 0,
                    acked: 0,
                    tells_loads: false,
                });
                (p.status, p.last) = (status, now);
                if fresh {
                    if self
                        .proxies
                        .get(&link)
                        .is_some_and(|p| self.tells(&p.status))
                    {
                        self.send_backends(Some(link));
                    }
                    self.send_heartbeats(Some(link));
                }
            }
            Message::CountReport(held) => self.receive_counts(link, &held),
            Message::Transfer(message) => self.answer_transfer(link, &message),
            Message::PullBackends => self.send_backends(Some(link)),
            Message::PullPartners => self
                .proxies
                .get_mut(&link)
                .into_iter()
                .for_each(|p| p.tells_loads = true),
            Message::Ack { no } => {
                if let Some(p) = self.proxies.get_mut(&link) {
                    p.acked = p.acked.max(no);
                }
            }
            _ => {}
        }
    }

    /// Counts only while the duty is this one's: without an answer the proxy keeps to its part.
    pub(crate) fn receive_counts(&mut self, link: u64, held: &[NamedCount]) {
        let now = self.now();
        let Some(p) = self.proxies.get_mut(&link) else {
            return;
        };
        if let Some((term, totals)) = self.duty.count(&self.lease, now, p.status.life, held) {
            p.last = now;
            p.out.send(&Message::CountTotals { term, totals });
        }
    }

    pub(crate) fn endpoints(&self) -> Vec<ProxyEndpoint> {
        let mut by_node: BTreeMap<&str, ProxyEndpoint> = BTreeMap::new();
        for p in self.attached() {
            let s = &p.status;
            let post = ProxyEndpoint {
                front: s.front(),
                zone: s.zone.clone(),
                region: self.region(&s.zone),
                ready: s.ready,
            };
            by_node.insert(&s.node, post);
        }
        by_node.into_values().collect()
    }
}

/// Accepts the connections of proxies.
pub(crate) async fn serve(registry: Shared, listener: TcpListener) {
    for link in 1u64.. {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(REDIAL_PAUSE).await;
            continue;
        };
        link::tend(&stream);
        let registry = registry.clone();
        tokio::task::spawn_local(async move {
            let (mut from, out) = link::split(stream);
            while let Ok(note) = from.next::<Message>(link::SILENT).await {
                registry.borrow_mut().receive_from_proxy(link, &out, note);
            }
            if let Some(p) = registry.borrow_mut().proxies.remove(&link) {
                log::info!("proxies: {} left.", p.status.node);
            }
        });
    }
}
