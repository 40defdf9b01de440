//! Orders whose answers are lost, that are sent again, that come at once or contradict each other.

use std::thread;

use crate::cluster::{Cluster, Plan};
use crate::operator::{Outcome, change, remove_route, send_and_hang_up, set_route};

/// Core machines alone, each in a zone of its own.
pub fn core_only(zones: &[&'static str]) -> Plan {
    let zones = zones.iter().map(|z| (*z, *z, 0, 1)).collect();
    Plan {
        zones,
        bounds: crate::BOUNDS.to_vec(),
        cloud: false,
        words: &[],
    }
}

#[test]
fn an_order_sent_again_is_acknowledged_wherever_and_whenever_it_comes() {
    let mut cluster = Cluster::new(core_only(&["a", "b", "c"]), &[]);
    cluster.begin();
    let order = set_route("r-2", "/two/", 2);
    let again_everywhere =
        |cluster: &mut Cluster| (0..3).for_each(|n| cluster.change_at(n, &order));

    // Its answer is lost; it is sent to another machine, and to the one that took it after its restart.
    send_and_hang_up(cluster.control(0), &order);
    cluster.change_at(1, &order);
    cluster.kill_one(0);
    cluster.change_at(2, &order);
    cluster.start_one(0);
    again_everywhere(&mut cluster);
    assert!(cluster.read_at(0).contains("\"/two/\""));

    // Another route is changed, then this one goes and its place is another's: the order would be refused if it were new.
    cluster.change_at(0, &set_route("r-1", "/one/", 2));
    again_everywhere(&mut cluster);
    cluster.change_at(1, &remove_route("r-2", 3));
    cluster.change_at(2, &set_route("r-3", "/two/", 3));
    again_everywhere(&mut cluster);
    let text = cluster.read_at(1);
    assert!(
        text.contains("\"r-3\"") && !text.contains("\"r-2\""),
        "{text}"
    );

    // Eight at once, each at two machines at the same time.
    let orders: Vec<String> = (0..8)
        .map(|n| set_route(&format!("r-at-once-{n}"), &format!("/at-once-{n}/"), 4))
        .collect();
    let tries: Vec<_> = (0..16)
        .map(|n| {
            let (at, body) = (cluster.control(n % 3), orders[n % 8].clone());
            thread::spawn(move || change(at, &body))
        })
        .collect();
    for tried in tries {
        let outcome = tried.join().expect("sent");
        assert!(!matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
    }
    for (n, body) in orders.iter().enumerate() {
        cluster.change_at((n + 1) % 3, body);
    }
    cluster.all_read(
        &(0..8)
            .map(|n| format!("\"/at-once-{n}/\""))
            .collect::<Vec<_>>(),
    );
}
