//! A machine with an empty disk next to a machine that knows no other.

use crate::cluster::Cluster;
use crate::isolation::{assert_no_call_is_decided, unreachable_seeds};
use crate::operator::set_route;
use crate::orders::core_only_plan;

/// Returns the number of registries that the given machine considers alive, including itself.
fn registries(cluster: &Cluster, machine: usize) -> Option<usize> {
    let state = damsonbeam_ctl::state(cluster.control_address(machine)).ok()?;
    let alive = state.split("\"registries\":[").nth(1)?.split(']').next()?;
    Some(alive.split(',').filter(|ip| !ip.is_empty()).count())
}

/// One of six machines restarts with an empty disk and finds only one other. The two must not act as a majority, since
/// the voters are six.
#[test]
fn two_of_six_machines_neither_acknowledge_nor_reject_calls() {
    let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c", "d", "e", "f"]), &[]);
    cluster.start_configured();
    cluster.wait_until_in_sync();
    cluster.kill_machine(4);
    cluster.delete_disk(4);
    cluster.suspend(&[0, 1, 2, 3]);
    cluster.wait_until("the last machine considers the suspended ones gone", |c| {
        registries(c, 5) == Some(1)
    });
    let other = cluster.control_address(5);
    cluster.set_seeds(4, [vec![other], unreachable_seeds()[..2].to_vec()].concat());
    cluster.start_machine(4);
    assert_no_call_is_decided(&[cluster.control_address(4), other], 5);
    cluster.resume(&[0, 1, 2, 3]);
    cluster.change_at_any_machine(&set_route("r-2", "/two/", 6));
    cluster.wait_until_in_sync();
    cluster.assert_all_read(&["\"/two/\"".into()]);
}
