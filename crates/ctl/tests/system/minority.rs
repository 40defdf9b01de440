//! A machine without its disk beside one that knows of nobody else.

use crate::cluster::Cluster;
use crate::isolation::{dead_seeds, says_nothing};
use crate::operator::set_route;
use crate::orders::core_only;

/// How many registries one holds for alive, itself among them.
fn registries(cluster: &Cluster, machine: usize) -> Option<usize> {
    let state = damsonbeam_ctl::state(cluster.control(machine)).ok()?;
    let alive = state.split("\"registries\":[").nth(1)?.split(']').next()?;
    Some(alive.split(',').filter(|ip| !ip.is_empty()).count())
}

/// One of six machines comes back without its disk and finds only one other: the two are no majority of six.
#[test]
fn two_of_six_acknowledge_nothing() {
    let mut cluster = Cluster::new(core_only(&["a", "b", "c", "d", "e", "f"]), &[]);
    cluster.begin();
    cluster.until_level();
    cluster.kill_one(4);
    cluster.wipe(4);
    cluster.freeze(&[0, 1, 2, 3]);
    cluster.until("the last machine holds the frozen ones for gone", |c| {
        registries(c, 5) == Some(1)
    });
    let other = cluster.control(5);
    cluster.set_seeds(4, [vec![other], dead_seeds()[..2].to_vec()].concat());
    cluster.start_one(4);
    says_nothing(&[cluster.control(4), other], 5);
    cluster.thaw(&[0, 1, 2, 3]);
    cluster.change_anywhere(&set_route("r-2", "/two/", 6));
    cluster.until_level();
    cluster.all_read(&["\"/two/\"".into()]);
}
