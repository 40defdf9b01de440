//! Stores' disks that refuse, or hold what is no store, under the real processes.

use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, STORE};
use crate::operator::{Outcome, change, remove_route, set_route};
use crate::orders::core_only;

#[test]
fn a_full_disk_takes_its_store_out_until_it_has_room_again() {
    let mut cluster = Cluster::new(core_only(&["a", "b", "c"]), &[]);
    cluster.begin();
    cluster.until_level();
    cluster.set_disk_full(0, true);
    cluster.change_at(1, &set_route("r-2", "/two/", 2));
    cluster.change_at(2, &set_route("r-3", "/three/", 3));
    let full = cluster.control(0);
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        let outcome = change(full, &set_route("r-4", "/four/", 4));
        assert_eq!(outcome, Outcome::Unclear, "a full disk kept nothing");
        thread::sleep(Duration::from_millis(50));
    }
    assert!(cluster.runs(0, STORE), "the store ended");
    // It promises and accepts nothing that it can't keep: it makes no majority with the one that is left.
    cluster.kill_one(2);
    let (until, left) = (Instant::now() + Duration::from_secs(2), cluster.control(1));
    while Instant::now() < until {
        assert_eq!(
            change(left, &set_route("r-5", "/five/", 5)),
            Outcome::Unclear,
            "a full disk has a say"
        );
    }
    cluster.set_disk_full(0, false);
    cluster.change_at(0, &set_route("r-4", "/four/", 4));
    cluster.change_at(1, &set_route("r-5", "/five/", 5));
    cluster.start_one(2);
    cluster.until_level();
    // What it acknowledged is on its disk: it comes back from it.
    cluster.kill_one(0);
    cluster.start_one(0);
    cluster.all_read(&[
        "\"/two/\"".into(),
        "\"/three/\"".into(),
        "\"/four/\"".into(),
    ]);
}

/// A sync that does not return holds the whole process up, which has one thread: here it is frozen instead.
#[test]
fn a_stalled_store_is_passed_by_and_goes_on_level() {
    let mut cluster = Cluster::new(core_only(&["a", "b", "c"]), &[]);
    cluster.begin();
    // The others pass orders on to the first.
    cluster.signal_program(0, STORE, "-STOP");
    cluster.change_at(1, &set_route("r-2", "/two/", 2));
    cluster.change_at(2, &set_route("r-3", "/three/", 3));
    assert_eq!(
        change(cluster.control(0), &set_route("r-4", "/four/", 4)),
        Outcome::Unclear
    );
    cluster.change_at(1, &remove_route("r-2", 5));
    cluster.signal_program(0, STORE, "-CONT");
    cluster.change_at(0, &set_route("r-4", "/four/", 4));
    cluster.until_level();
    cluster.all_read(&["\"/three/\"".into(), "\"/four/\"".into()]);
    assert!(
        !cluster.read_at(0).contains("\"/two/\""),
        "what was removed came back"
    );
}

#[test]
fn a_file_that_is_no_store_is_refused_and_left_as_it_is() {
    let mut cluster = Cluster::new(core_only(&["a", "b", "c"]), &[]);
    cluster.begin();
    cluster.change_anywhere(&set_route("r-2", "/two/", 2));
    cluster.kill_one(0);
    let folder = cluster.store_folder(0);
    let file = folder.join("items.redb");
    std::fs::write(&file, vec![7; 9000]).expect("written");
    cluster.start_one(0);
    assert_eq!(
        cluster.ended_program(0, STORE),
        Some(1),
        "it ends with an error"
    );
    assert_eq!(std::fs::read(&file).expect("left there"), vec![7; 9000]);
    let told = damsonbeam_ctl::verify_store(&folder)
        .expect_err("no store")
        .to_string();
    assert!(
        told.contains("items.redb: it holds no sound store"),
        "{told}"
    );
    assert_eq!(
        change(cluster.control(0), &set_route("r-3", "/three/", 3)),
        Outcome::Unclear
    );
    cluster.change_at(1, &set_route("r-3", "/three/", 3));

    // Staff take the file away: the store starts empty and is mended by the others.
    std::fs::remove_file(&file).expect("removed");
    cluster.start_one(0);
    cluster.settle(Instant::now());
    cluster.all_read(&["\"/two/\"".into(), "\"/three/\"".into()]);
    // It makes a majority with one other.
    cluster.kill_one(1);
    cluster.change_at(2, &set_route("r-4", "/four/", 4));
    cluster.kill_one(0);
    assert!(damsonbeam_ctl::verify_store(&folder).is_ok_and(|told| told.starts_with("sound")));
}
