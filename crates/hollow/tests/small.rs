//! The tool on a small cluster: what it measures is there, and what it starts ends with it.

use std::path::{Path, PathBuf};
use std::process::Command;

use damsonbeam_control::messages::{
    BackendList, Heartbeat, Message, NamedCount, ProxyStatus, encode,
};
use damsonbeam_hollow::meter::{self, MessageKind};
use damsonbeam_hollow::process::{StoreBytes, read_listing};
use damsonbeam_hollow::report::{self, Outcome};
use damsonbeam_hollow::run::{Plan, run};
use damsonbeam_hollow::topology::Topology;

const PROXIES: usize = 4;

/// The folder of the programs, built here too: where only this test is asked for they may be missing, or older than it.
fn programs() -> PathBuf {
    let programs = ["-p", "damsonbeam-registry", "-p", "damsonbeam-config-store"];
    let built = Command::new(env!("CARGO"))
        .args(["build", "--locked"])
        .args(programs)
        .status();
    assert!(
        built.is_ok_and(|s| s.success()),
        "the programs can't be built"
    );
    Path::new(env!("CARGO_BIN_EXE_damsonbeam-hollow"))
        .parent()
        .expect("a folder")
        .into()
}

#[test]
fn a_small_run_finds_every_change_at_every_proxy_and_leaves_nothing_behind() {
    meter::start();
    let folder =
        std::env::temp_dir().join(format!("damsonbeam-hollow-test-{}", std::process::id()));
    let plan = Plan {
        machines: 2,
        proxies: PROXIES,
        backends: 70,
        routes: 10,
        tenants: 20,
        services: 3,
        batch: 2000,
        load_s: 20.0,
        page: 50,
        platform_rate: 50.0,
        requests: 20.0,
        changes: 2.0,
        backend_churn: 1.0,
        restarts: 0.0,
        ramp: 50.0,
        settle_s: 20.0,
        seconds: 3.0,
        threads: 2,
        kill_coordinator: false,
        programs: programs(),
        folder: folder.clone(),
    };
    let found = run(&plan).expect("it runs");
    assert_eq!(found.settled, PROXIES);
    assert!(
        found.changes_done >= 2 && found.in_force_missing == 0,
        "{found:?}"
    );
    assert!(found.in_force_ms_most < 4000.0, "{found:?}");
    let kinds: Vec<(&str, &str)> = found.kinds.iter().map(|k| (k.kind, k.direction)).collect();
    for kind in [
        ("status", "out"),
        ("heartbeat", "in"),
        ("config_update", "in"),
        ("backend_update", "in"),
    ] {
        assert!(kinds.contains(&kind), "no {kind:?} in {kinds:?}");
    }
    assert!(
        kinds.contains(&("count_report", "out")) && kinds.contains(&("count_totals", "in")),
        "{kinds:?}"
    );
    assert!(
        found.between_stores_s > 0.0 && found.coordinator_mb > 0.0,
        "{found:?}"
    );
    let outcome = Outcome {
        axis: "proxies".into(),
        at: 4.0,
        plan,
        found: Some(found),
        error: None,
    };
    report::write(&folder, &[outcome]).expect("written");
    let runs = std::fs::read_to_string(folder.join("runs.csv")).expect("a table");
    assert_eq!(runs.lines().count(), 2, "{runs}");
    assert!(
        !folder.join("core-0").exists(),
        "the stores' disks are gone"
    );
    std::fs::remove_dir_all(&folder).ok();
}

#[test]
fn connections_of_stores_are_told_from_all_others() {
    let topology = Topology { street: 9 };
    let listing = "0 0 127.60.9.1:7741 127.60.9.2:40000 cubic bytes_sent:100 bytes_acked:100\n\
                   0 0 127.60.9.2:40000 127.60.9.1:7741 cubic bytes_sent:30 bytes_acked:30\n\
                   0 0 127.0.0.1:41000 127.60.9.1:7741 cubic bytes_sent:7\n\
                   0 0 127.0.0.1:41000 127.60.9.1:7740 cubic bytes_sent:5000\n\
                   0 0 127.60.8.1:7741 127.60.8.2:40000 cubic bytes_sent:900\n";
    let found = read_listing(listing, &topology);
    assert_eq!(
        found,
        StoreBytes {
            between_stores: 130,
            with_registries: 7
        }
    );
}

#[test]
fn the_kind_of_a_packed_message_is_told_by_its_first_bytes() {
    let list = || {
        vec![NamedCount {
            name: "1/x".into(),
            admitted: 1.0,
            requested: 2.0,
        }]
    };
    let cases = [
        (
            Message::Status {
                status: ProxyStatus::default(),
                coordinator_time_ms: Some(7),
            },
            MessageKind::Status,
        ),
        (Message::CountReport(list()), MessageKind::CountReport),
        (Message::RequestBackends, MessageKind::Pull),
        (Message::UpdateAck { number: 300 }, MessageKind::Ack),
        (
            Message::Heartbeat(Heartbeat::default()),
            MessageKind::Heartbeat,
        ),
        (
            Message::ConfigUpdate {
                number: 1,
                items: vec![],
            },
            MessageKind::ConfigUpdate,
        ),
        (
            Message::BackendUpdate {
                number: 1,
                list: BackendList::default(),
                page: 0,
                pages: 1,
            },
            MessageKind::BackendUpdate,
        ),
        (
            Message::CountTotals {
                term: 3,
                totals: list(),
            },
            MessageKind::CountTotals,
        ),
        (Message::RequestPeers, MessageKind::Other),
        (
            Message::LastKnownBackends(BackendList::default()),
            MessageKind::Other,
        ),
    ];
    for (message, kind) in cases {
        assert_eq!(
            MessageKind::of_packed(&encode(&message)),
            kind,
            "{message:?}"
        );
    }
}
