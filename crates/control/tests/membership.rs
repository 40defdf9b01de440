//! The membership over whole worlds of registries: bad links, partitions, restarts.

use std::collections::BTreeMap;
use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::membership::Membership;
use damsonbeam_control::messages::{GossipBody, MemberUpdate};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Registries with datagrams of 30 ms; `lost` says which way is cut when.
fn play(
    all: &mut BTreeMap<Ip, Membership>,
    lost: &dyn Fn(Ip, Ip, u64) -> bool,
    ms: std::ops::Range<u64>,
) {
    let mut in_flight: Vec<(u64, Ip, Ip, GossipBody, Vec<MemberUpdate>)> = Vec::new();
    for t in ms.step_by(10) {
        let ips: Vec<Ip> = all.keys().copied().collect();
        for ip in ips {
            let m = all.get_mut(&ip).expect("listed");
            for (to, what) in m.tick(at(t)).datagrams {
                let updates = m.updates_for(to);
                in_flight.push((t + 30, ip, to, what, updates));
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = in_flight.drain(..).partition(|m| m.0 <= t);
        in_flight = rest;
        for (_, from, to, what, updates) in due {
            if lost(from, to, t) {
                continue;
            }
            let Some(m) = all.get_mut(&to) else { continue };
            let out = m.receive(from, &what, &updates, at(t)).datagrams;
            for (back, what) in out {
                let updates = m.updates_for(back);
                in_flight.push((t + 30, to, back, what, updates));
            }
        }
    }
}

fn six() -> BTreeMap<Ip, Membership> {
    let ips: Vec<Ip> = (1..=6).map(|i| [10, 0, 0, i]).collect();
    ips.iter()
        .map(|ip| (*ip, Membership::new(*ip, ips[..3].to_vec(), at(0))))
        .collect()
}

#[test]
fn all_find_each_other_from_three_seeds_and_a_second_opinion_saves_one_that_is_cut_off_from_one() {
    let mut all = six();
    play(&mut all, &|_, _, _| false, 0..3000);
    assert!(
        all.values().all(|m| m.alive().len() == 6),
        "not found within 3 s"
    );
    let (a, b) = ([10, 0, 0, 1], [10, 0, 0, 5]);
    play(
        &mut all,
        &|f, t, _| (f, t) == (a, b) || (f, t) == (b, a),
        3000..12_000,
    );
    assert!(
        all.values().all(|m| m.alive().len() == 6),
        "one bad link condemned a registry"
    );
}

#[test]
fn the_lost_are_removed_on_both_sides_of_a_cut_and_known_again_after_it() {
    let mut all = six();
    play(&mut all, &|_, _, _| false, 0..3000);
    let side = |ip: Ip| ip[3] <= 2;
    play(&mut all, &|f, t, _| side(f) != side(t), 3000..9000);
    assert!(
        all.iter()
            .all(|(ip, m)| m.alive().len() == if side(*ip) { 2 } else { 4 })
    );
    play(&mut all, &|_, _, _| false, 9000..14_000);
    assert!(
        all.values().all(|m| m.alive().len() == 6),
        "the cut healed unseen"
    );
}

#[test]
fn one_that_comes_back_under_its_address_with_a_new_incarnation_clears_itself() {
    let mut all = six();
    play(&mut all, &|_, _, _| false, 0..3000);
    let lost = [10, 0, 0, 2];
    play(&mut all, &|f, t, _| f == lost || t == lost, 3000..9000);
    assert_eq!(all[&[10, 0, 0, 1]].alive().len(), 5);
    all.insert(lost, Membership::new(lost, vec![[10, 0, 0, 1]], at(9000)));
    play(&mut all, &|_, _, _| false, 9000..13_000);
    assert!(all.values().all(|m| m.alive().len() == 6));
}
