//! Compatibility with a store written by the version of 2 December 2026, before its types were renamed: this version
//! reads the same items and promises from it, and applies further commands to it. `data/version-3/items.redb` was
//! written by the program on one core machine with its registry. It holds a configuration, a change with a removal, an
//! evacuation and a mirror rule.

use std::path::{Path, PathBuf};

use damsonbeam_config_store::consensus::voters::{INITIAL_DISK_ID, VoterSet};
use damsonbeam_config_store::consensus::{DurableWrite, Effect, Replica};
use damsonbeam_config_store::disk::{Disk, StoredState};
use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{
    ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber, Route, Tenant,
};
use damsonbeam_control::messages::{Command, CommandReply};
use std::time::Duration;

const RECORDED_STORE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/tests/data/version-3/items.redb"
);
const OWN_IP: Ip = [127, 77, 1, 1];

/// A temporary directory with a copy of the recorded store, removed on drop.
struct StoreDirectory(PathBuf);

impl StoreDirectory {
    fn with_recorded_store(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("damsonbeam-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("temporary directory");
        std::fs::copy(RECORDED_STORE, path.join("items.redb")).expect("recorded store copied");
        StoreDirectory(path)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for StoreDirectory {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

fn item<'a>(snapshot: &'a ConfigSnapshot, kind: ItemKind, name: &str) -> &'a Item {
    snapshot
        .get(&ItemKey {
            kind,
            name: name.into(),
        })
        .expect(name)
}

#[test]
fn a_store_of_the_previous_version_is_read_with_its_items_and_promises() {
    let directory = StoreDirectory::with_recorded_store("version-before-read");
    let StoredState {
        durable,
        roster,
        backends,
    } = Disk::open(directory.path())
        .and_then(|disk| disk.read())
        .expect("store opens");
    assert_eq!(
        (durable.disk_id, durable.promised),
        (
            INITIAL_DISK_ID,
            ProposalNumber {
                round: 6,
                proposer: 0x7f4d_0101
            }
        )
    );
    assert_eq!((roster, backends.backends.len()), (vec![OWN_IP], 0));
    assert_eq!(durable.accepted, durable.committed);
    assert_eq!(durable.committed.items().len(), 13);
    let versions = |kind| {
        let present_items = durable.committed.present_items(kind);
        present_items
            .map(|item| (item.key.name.clone(), item.version))
            .collect::<Vec<_>>()
    };
    let expected_versions = |all: &[(&str, u64)]| {
        all.iter()
            .map(|(n, v)| (n.to_string(), *v))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        versions(ItemKind::Route),
        expected_versions(&[("r-0", 4), ("r-1", 3), ("r-2", 3)])
    );
    assert_eq!(
        versions(ItemKind::Tenant),
        expected_versions(&[("t0", 2), ("t1", 2), ("t2", 2)])
    );
    assert_eq!(
        versions(ItemKind::Service),
        expected_versions(&[("routes", 1), ("tiles", 1)])
    );
    assert_eq!(
        versions(ItemKind::Limits),
        expected_versions(&[("limits", 1)])
    );
    assert_eq!(
        versions(ItemKind::Evacuation),
        expected_versions(&[("manila-a", 1)])
    );
    assert_eq!(
        versions(ItemKind::MirrorRule),
        expected_versions(&[("m", 1)])
    );
    let removed = item(&durable.committed, ItemKind::Tenant, "t3");
    assert_eq!((removed.version, &removed.body), (3, &None));
    let route =
        Route::try_from(item(&durable.committed, ItemKind::Route, "r-0")).expect("valid route");
    assert_eq!((route.timeout_ms, &*route.host), (2500, "maps0.example"));
    let tenant =
        Tenant::try_from(item(&durable.committed, ItemKind::Tenant, "t1")).expect("valid tenant");
    assert_eq!(
        (tenant.rate_per_s, tenant.burst, tenant.api_keys),
        (10.5, 20.0, vec!["key-1".to_string()])
    );
    let voters = VoterSet::from_snapshot(&durable.committed).expect("committed voter set");
    assert_eq!((voters.epoch, voters.voters().len()), (1, 1));
    assert_eq!(
        voters
            .voters()
            .first()
            .map(|voter| (voter.ip, voter.disk_id)),
        Some((OWN_IP, INITIAL_DISK_ID))
    );
}

#[test]
fn a_store_of_the_previous_version_accepts_further_changes() {
    let directory = StoreDirectory::with_recorded_store("version-before-write");
    let disk = Disk::open(directory.path()).expect("store opens");
    let StoredState { durable, .. } = disk.read().expect("store is readable");
    let previous_promise = durable.promised;
    let mut replica = Replica::new(OWN_IP, durable, 7, Duration::ZERO);
    let command = Command::Evacuate {
        zone: "manila-a".into(),
        evacuated: false,
    };
    replica.submit_at_once(1, command, Duration::from_millis(20));
    let effects = replica.take_effects();
    assert!(
        effects.contains(&Effect::Reply(1, CommandReply::Done)),
        "{effects:?}"
    );
    let writes: Vec<DurableWrite> = effects
        .into_iter()
        .filter_map(|effect| {
            if let Effect::Persist(write) = effect {
                Some(write)
            } else {
                None
            }
        })
        .collect();
    disk.persist(&writes).expect("writes persisted");
    drop(disk);
    let StoredState { durable, .. } = Disk::open(directory.path())
        .and_then(|disk| disk.read())
        .expect("store reopens");
    let evacuation = item(&durable.committed, ItemKind::Evacuation, "manila-a");
    assert_eq!((evacuation.version, &evacuation.body), (2, &None));
    assert!(durable.promised > previous_promise);
    assert_eq!(durable.committed.items().len(), 13);
}
