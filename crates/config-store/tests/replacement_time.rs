//! How long it takes to replace a lost voter: the registries have to find it dead, and the stores to change the voter set.

use std::collections::BTreeMap;
use std::time::Duration;

use damsonbeam_config_store::consensus::membership::{Presence, next_voters};
use damsonbeam_config_store::consensus::voters::{Voter, VoterSet};
use damsonbeam_control::address::Ip;
use damsonbeam_control::membership::Membership;
use damsonbeam_control::messages::{GossipBody, MemberUpdate};

/// Time after a loss after which the next one may come (`catch_up_s`).
const CATCH_UP_MS: u64 = 4000;
/// One way between regions.
const DATAGRAM_MS: u64 = 55;
/// A change of the voter set takes two round trips between regions, a sync each, and ticks of the stores.
const CHANGE_MS: u64 = 270;
const TICK_MS: u64 = 50;
const WARM_UP_MS: u64 = 3000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ip(number: u8) -> Ip {
    [10, 0, 0, number]
}

struct Datagram {
    due_ms: u64,
    from: Ip,
    to: Ip,
    body: GossipBody,
    updates: Vec<MemberUpdate>,
}

/// The registries of three voters and of a successor, which tick at different times.
struct Registries {
    members: BTreeMap<Ip, Membership>,
    in_flight: Vec<Datagram>,
}

impl Registries {
    fn start() -> Self {
        let ips: Vec<Ip> = (1..=4).map(ip).collect();
        let start = |ip: &Ip| (*ip, Membership::new(*ip, ips[..3].to_vec(), at(0)));
        Registries {
            members: ips.iter().map(start).collect(),
            in_flight: Vec::new(),
        }
    }

    fn send(&mut self, now_ms: u64, from: Ip, datagrams: Vec<(Ip, GossipBody)>) {
        let Some(membership) = self.members.get_mut(&from) else {
            return;
        };
        for (to, body) in datagrams {
            let updates = membership.updates_for(to);
            self.in_flight.push(Datagram {
                due_ms: now_ms + DATAGRAM_MS,
                from,
                to,
                body,
                updates,
            });
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let ips: Vec<Ip> = self.members.keys().copied().collect();
        for ip in ips {
            let phase_ms = u64::from(ip[3]) * 13;
            if now_ms % TICK_MS == phase_ms % TICK_MS
                && let Some(membership) = self.members.get_mut(&ip)
            {
                let datagrams = membership.tick(at(now_ms)).datagrams;
                self.send(now_ms, ip, datagrams);
            }
        }
        let in_flight = std::mem::take(&mut self.in_flight).into_iter();
        let (due, rest): (Vec<_>, Vec<_>) =
            in_flight.partition(|datagram| datagram.due_ms <= now_ms);
        self.in_flight = rest;
        for datagram in due {
            let Some(membership) = self.members.get_mut(&datagram.to) else {
                continue;
            };
            let output =
                membership.receive(datagram.from, &datagram.body, &datagram.updates, at(now_ms));
            self.send(now_ms, datagram.to, output.datagrams);
        }
    }

    fn all_hold_dead(&self, ip: Ip) -> bool {
        let mut members = self.members.values();
        members.all(|membership| !membership.alive().contains(&ip))
    }
}

/// Returns the time until all others hold a machine dead that is lost at a given time.
fn detection_ms(lost_at_ms: u64) -> u64 {
    let lost = ip(1);
    let mut registries = Registries::start();
    for now_ms in 0.. {
        if now_ms == lost_at_ms {
            registries.members.remove(&lost);
        }
        registries.tick(now_ms);
        if now_ms > lost_at_ms && registries.all_hold_dead(lost) {
            return now_ms - lost_at_ms;
        }
    }
    unreachable!("the loop has no end")
}

/// Returns how long a voter of three has to be dead until it is removed in favour of a successor.
fn removal_ms() -> u64 {
    let set = VoterSet::initial(&[ip(1), ip(2), ip(3)]);
    let successor = Voter {
        ip: ip(4),
        disk_id: 7,
    };
    let is_removed = |missing_ms: &u64| {
        let presence = |voter: &Voter| match voter.ip == ip(1) {
            true => Presence::Missing(at(*missing_ms)),
            false => Presence::Present,
        };
        let next = next_voters(&set, presence, &[successor]);
        next.is_some_and(|next| next.voters().iter().all(|voter| voter.ip != ip(1)))
    };
    (1..).find(is_removed).expect("a time")
}

#[test]
fn lost_voter_is_replaced_before_the_next_loss_may_come() {
    let losses = (WARM_UP_MS..WARM_UP_MS + 1200).step_by(40);
    let detection_ms = losses.map(detection_ms).max().expect("some losses");
    // The lost voter is removed by one change, and its successor is added by another.
    let replacement_ms = detection_ms + removal_ms() + 2 * CHANGE_MS;
    assert!(
        replacement_ms <= CATCH_UP_MS,
        "{replacement_ms} ms, {detection_ms} of them until the loss is known"
    );
}

#[test]
fn voter_that_was_just_present_is_not_removed() {
    assert!(removal_ms() > TICK_MS);
}
