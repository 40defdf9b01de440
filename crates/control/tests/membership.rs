//! The membership protocol among six simulated registries, with a broken link, a partition and a restart.

use std::collections::BTreeMap;
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::membership::Membership;
use damsonbeam_control::messages::{GossipBody, MemberUpdate};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Simulates the registries over the time range `ms`. Datagrams take 30 ms; `is_lost` states whether the datagram from the
/// first registry to the second, due at that time, is lost.
fn simulate(
    registries: &mut BTreeMap<Ip, Membership>,
    is_lost: &dyn Fn(Ip, Ip, u64) -> bool,
    ms: std::ops::Range<u64>,
) {
    let mut in_flight: Vec<(u64, Ip, Ip, GossipBody, Vec<MemberUpdate>)> = Vec::new();
    for t in ms.step_by(10) {
        let ips: Vec<Ip> = registries.keys().copied().collect();
        for ip in ips {
            let membership = registries.get_mut(&ip).expect("listed");
            for (to, body) in membership.tick(at(t)).datagrams {
                let updates = membership.updates_for(to);
                in_flight.push((t + 30, ip, to, body, updates));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            in_flight.drain(..).partition(|datagram| datagram.0 <= t);
        in_flight = rest;
        for (_, from, to, body, updates) in due {
            if is_lost(from, to, t) {
                continue;
            }
            let Some(membership) = registries.get_mut(&to) else {
                continue;
            };
            let replies = membership.receive(from, &body, &updates, at(t)).datagrams;
            for (requester, body) in replies {
                let updates = membership.updates_for(requester);
                in_flight.push((t + 30, to, requester, body, updates));
            }
        }
    }
}

/// Six registries that know the first three as seeds.
fn six_registries() -> BTreeMap<Ip, Membership> {
    let ips: Vec<Ip> = (1..=6).map(|i| [10, 0, 0, i]).collect();
    ips.iter()
        .map(|ip| (*ip, Membership::new(*ip, ips[..3].to_vec(), at(0))))
        .collect()
}

#[test]
fn registries_find_each_other_from_seeds_and_one_broken_link_leaves_all_members_alive() {
    let mut registries = six_registries();
    simulate(&mut registries, &|_, _, _| false, 0..3000);
    assert!(
        registries
            .values()
            .all(|membership| membership.alive().len() == 6),
        "a registry does not know all members after 3 s"
    );
    let (a, b) = ([10, 0, 0, 1], [10, 0, 0, 5]);
    simulate(
        &mut registries,
        &|from, to, _| (from, to) == (a, b) || (from, to) == (b, a),
        3000..12_000,
    );
    assert!(
        registries
            .values()
            .all(|membership| membership.alive().len() == 6),
        "a registry was declared dead because of one broken link"
    );
}

#[test]
fn both_sides_of_a_partition_remove_the_other_side_and_know_it_again_after_healing() {
    let mut registries = six_registries();
    simulate(&mut registries, &|_, _, _| false, 0..3000);
    let in_minority = |ip: Ip| ip[3] <= 2;
    simulate(
        &mut registries,
        &|from, to, _| in_minority(from) != in_minority(to),
        3000..9000,
    );
    assert!(
        registries.iter().all(
            |(ip, membership)| membership.alive().len() == if in_minority(*ip) { 2 } else { 4 }
        )
    );
    simulate(&mut registries, &|_, _, _| false, 9000..14_000);
    assert!(
        registries
            .values()
            .all(|membership| membership.alive().len() == 6),
        "a registry does not know all members 5 s after the partition healed"
    );
}

#[test]
fn a_restarted_registry_refutes_its_death_and_is_alive_again() {
    let mut registries = six_registries();
    simulate(&mut registries, &|_, _, _| false, 0..3000);
    let restarted = [10, 0, 0, 2];
    simulate(
        &mut registries,
        &|from, to, _| from == restarted || to == restarted,
        3000..9000,
    );
    assert_eq!(registries[&[10, 0, 0, 1]].alive().len(), 5);
    registries.insert(
        restarted,
        Membership::new(restarted, vec![[10, 0, 0, 1]], at(9000)),
    );
    simulate(&mut registries, &|_, _, _| false, 9000..13_000);
    assert!(
        registries
            .values()
            .all(|membership| membership.alive().len() == 6)
    );
}
