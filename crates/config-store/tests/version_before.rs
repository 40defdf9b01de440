//! A store written by the version of 2 December 2026, before its types were renamed: this version opens it, reads the
//! same items and promises, and goes on with it. `data/version-3/items.redb` was written by the program itself, one core
//! machine with its registry: a configuration, a change of it with a removal, an evacuation, and a rule for copies.

use std::path::{Path, PathBuf};

use damsonbeam_config_store::consensus::voters::{FOUNDER_DISK_ID, VoterSet};
use damsonbeam_config_store::consensus::{DurableWrite, Effect, Replica};
use damsonbeam_config_store::disk::{Disk, StoredState};
use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{
    ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber, Route, Tenant,
};
use damsonbeam_control::messages::{Command, CommandReply};
use std::time::Duration;

const STORE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/tests/data/version-3/items.redb"
);
const ME: Ip = [127, 77, 1, 1];

/// A copy of the recorded store, removed when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn with_recorded_store(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("damsonbeam-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        std::fs::copy(STORE, path.join("items.redb")).expect("copied");
        Folder(path)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
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
fn a_store_of_the_version_before_is_opened_with_its_items_and_promises() {
    let folder = Folder::with_recorded_store("version-before-read");
    let StoredState {
        durable: kept,
        roster,
        backends,
    } = Disk::open(folder.path())
        .and_then(|disk| disk.read())
        .expect("opens");
    assert_eq!(
        (kept.disk_id, kept.promised),
        (
            FOUNDER_DISK_ID,
            ProposalNumber {
                round: 6,
                proposer: 0x7f4d_0101
            }
        )
    );
    assert_eq!((roster, backends.backends.len()), (vec![ME], 0));
    assert_eq!(kept.accepted, kept.committed);
    assert_eq!(kept.committed.items().len(), 13);
    let versions = |kind| {
        let present_items = kept.committed.present_items(kind);
        present_items
            .map(|item| (item.key.name.clone(), item.version))
            .collect::<Vec<_>>()
    };
    let named = |all: &[(&str, u64)]| {
        all.iter()
            .map(|(n, v)| (n.to_string(), *v))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        versions(ItemKind::Route),
        named(&[("r-0", 4), ("r-1", 3), ("r-2", 3)])
    );
    assert_eq!(
        versions(ItemKind::Tenant),
        named(&[("t0", 2), ("t1", 2), ("t2", 2)])
    );
    assert_eq!(
        versions(ItemKind::Service),
        named(&[("routes", 1), ("tiles", 1)])
    );
    assert_eq!(versions(ItemKind::Limits), named(&[("limits", 1)]));
    assert_eq!(versions(ItemKind::Evacuation), named(&[("manila-a", 1)]));
    assert_eq!(versions(ItemKind::MirrorRule), named(&[("m", 1)]));
    let removed = item(&kept.committed, ItemKind::Tenant, "t3");
    assert_eq!((removed.version, &removed.body), (3, &None));
    let route = Route::try_from(item(&kept.committed, ItemKind::Route, "r-0")).expect("a route");
    assert_eq!((route.timeout_ms, &*route.host), (2500, "maps0.example"));
    let tenant = Tenant::try_from(item(&kept.committed, ItemKind::Tenant, "t1")).expect("a tenant");
    assert_eq!(
        (tenant.rate_per_s, tenant.burst, tenant.api_keys),
        (10.5, 20.0, vec!["key-1".to_string()])
    );
    let voters = VoterSet::committed(&kept.committed).expect("a voter set");
    assert_eq!((voters.epoch, voters.voters().len()), (1, 1));
    assert_eq!(
        voters
            .voters()
            .first()
            .map(|voter| (voter.ip, voter.disk_id)),
        Some((ME, FOUNDER_DISK_ID))
    );
}

#[test]
fn a_store_of_the_version_before_takes_further_changes() {
    let folder = Folder::with_recorded_store("version-before-write");
    let disk = Disk::open(folder.path()).expect("opens");
    let StoredState { durable: kept, .. } = disk.read().expect("reads");
    let promised_before = kept.promised;
    let mut replica = Replica::new(ME, kept, 7, Duration::ZERO);
    let command = Command::Evacuate {
        zone: "manila-a".into(),
        evacuated: false,
    };
    replica.submit(1, command, Duration::ZERO, Duration::from_millis(20));
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
    disk.persist(&writes).expect("kept");
    drop(disk);
    let StoredState { durable: kept, .. } = Disk::open(folder.path())
        .and_then(|disk| disk.read())
        .expect("opens again");
    let evacuation = item(&kept.committed, ItemKind::Evacuation, "manila-a");
    assert_eq!((evacuation.version, &evacuation.body), (2, &None));
    assert!(kept.promised > promised_before);
    assert_eq!(kept.committed.items().len(), 13);
}
