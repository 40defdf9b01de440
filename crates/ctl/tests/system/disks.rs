//! Stores whose disk rejects writes, stalls or holds an invalid file, tested with the real processes.

use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, STORE};
use crate::operator::{Outcome, remove_route, set_route, try_change};
use crate::orders::core_only_plan;

#[test]
fn store_with_a_full_disk_does_not_vote_until_space_is_free() {
    let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c"]), &[]);
    cluster.start_configured();
    cluster.wait_until_in_sync();
    cluster.set_disk_full(0, true);
    cluster.change_at(1, &set_route("r-2", "/two/", 2));
    cluster.change_at(2, &set_route("r-3", "/three/", 3));
    let full_disk_address = cluster.control_address(0);
    let deadline = Instant::now() + Duration::from_secs(2);
    while Instant::now() < deadline {
        let outcome = try_change(full_disk_address, &set_route("r-4", "/four/", 4));
        assert_eq!(
            outcome,
            Outcome::Unclear,
            "a change was acknowledged or rejected while the disk was full"
        );
        thread::sleep(Duration::from_millis(50));
    }
    assert!(cluster.is_running(0, STORE), "the store exited");
    // A store that can't write promises and accepts nothing, so it forms no majority with the one other running store.
    cluster.kill_machine(2);
    let (deadline, remaining_address) = (
        Instant::now() + Duration::from_secs(2),
        cluster.control_address(1),
    );
    while Instant::now() < deadline {
        assert_eq!(
            try_change(remaining_address, &set_route("r-5", "/five/", 5)),
            Outcome::Unclear,
            "a store with a full disk took part in a majority"
        );
    }
    cluster.set_disk_full(0, false);
    cluster.change_at(0, &set_route("r-4", "/four/", 4));
    cluster.change_at(1, &set_route("r-5", "/five/", 5));
    cluster.start_machine(2);
    cluster.wait_until_in_sync();
    // The changes that the store acknowledged are on its disk and are there after a restart.
    cluster.kill_machine(0);
    cluster.start_machine(0);
    cluster.assert_all_read(&[
        "\"/two/\"".into(),
        "\"/three/\"".into(),
        "\"/four/\"".into(),
    ]);
}

/// Simulates a disk sync that does not return. Such a sync blocks the store, which has a single thread; the test
/// suspends the process instead.
#[test]
fn stalled_store_is_bypassed_and_catches_up_after_resuming() {
    let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c"]), &[]);
    cluster.start_configured();
    // The other machines forward changes to the first one.
    cluster.signal_program(0, STORE, "-STOP");
    cluster.change_at(1, &set_route("r-2", "/two/", 2));
    cluster.change_at(2, &set_route("r-3", "/three/", 3));
    assert_eq!(
        try_change(cluster.control_address(0), &set_route("r-4", "/four/", 4)),
        Outcome::Unclear
    );
    cluster.change_at(1, &remove_route("r-2", 5));
    cluster.signal_program(0, STORE, "-CONT");
    cluster.change_at(0, &set_route("r-4", "/four/", 4));
    cluster.wait_until_in_sync();
    cluster.assert_all_read(&["\"/three/\"".into(), "\"/four/\"".into()]);
    assert!(
        !cluster.read_at(0).contains("\"/two/\""),
        "the removed route came back"
    );
}

#[test]
fn invalid_store_file_is_rejected_and_left_unchanged() {
    let mut cluster = Cluster::new(core_only_plan(&["a", "b", "c"]), &[]);
    cluster.start_configured();
    cluster.change_at_any_machine(&set_route("r-2", "/two/", 2));
    cluster.kill_machine(0);
    let folder = cluster.store_folder(0);
    let file = folder.join("items.redb");
    std::fs::write(&file, vec![7; 9000]).expect("written");
    cluster.start_machine(0);
    assert_eq!(
        cluster.wait_for_exit_code(0, STORE),
        Some(1),
        "the store must exit with an error"
    );
    assert_eq!(std::fs::read(&file).expect("left there"), vec![7; 9000]);
    let error = damsonbeam_ctl::verify_store(&folder)
        .expect_err("no store")
        .to_string();
    assert!(
        error.contains("items.redb: it holds no sound store"),
        "{error}"
    );
    assert_eq!(
        try_change(cluster.control_address(0), &set_route("r-3", "/three/", 3)),
        Outcome::Unclear
    );
    cluster.change_at(1, &set_route("r-3", "/three/", 3));

    // After an operator removes the file, the store starts empty and gets its data from the others.
    std::fs::remove_file(&file).expect("removed");
    cluster.start_machine(0);
    cluster.wait_until_caught_up(Instant::now());
    cluster.assert_all_read(&["\"/two/\"".into(), "\"/three/\"".into()]);
    // The restored store forms a majority with one other.
    cluster.kill_machine(1);
    cluster.change_at(2, &set_route("r-4", "/four/", 4));
    cluster.kill_machine(0);
    assert!(damsonbeam_ctl::verify_store(&folder).is_ok_and(|report| report.starts_with("sound")));
}
