//! The store on a disk that loses and tears what was not synced, at every write and sync of it.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use damsonbeam_config_store::consensus::DurableWrite;
use damsonbeam_config_store::disk::{Disk, StoredState};
use damsonbeam_control::address::Endpoint;
use damsonbeam_control::config::{Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::messages::{Backend, BackendList, BackendListVersion};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use redb::StorageBackend;

#[derive(Debug, Default)]
struct SimulatedDisk {
    /// What its last sync covered, and what was written since: offset and bytes, or a length.
    synced: Vec<u8>,
    since: Vec<Write>,
    /// Operations until the power goes; none: it stays.
    left: Option<usize>,
    /// It answers every write and sync with an error.
    refuses: bool,
    /// Each sync tells the first that it has begun, and waits for the second.
    stall: Option<(Sender<()>, Gate)>,
}

type Gate = Arc<Mutex<Receiver<()>>>;

#[derive(Clone, Debug)]
enum Write {
    Bytes(u64, Vec<u8>),
    Length(u64),
}

fn apply(file: &mut Vec<u8>, write: &Write) {
    match write {
        Write::Bytes(at, bytes) => {
            let end = *at as usize + bytes.len();
            file.resize(file.len().max(end), 0);
            file[*at as usize..end].copy_from_slice(bytes);
        }
        Write::Length(len) => file.resize(*len as usize, 0),
    }
}

#[derive(Clone, Debug, Default)]
struct File(Arc<Mutex<SimulatedDisk>>);

impl File {
    fn step(&self) -> io::Result<std::sync::MutexGuard<'_, SimulatedDisk>> {
        let mut disk = self.0.lock().expect("no test panics with it");
        match &mut disk.left {
            Some(0) => return Err(io::Error::other("the power is gone")),
            Some(left) => *left -= 1,
            None => {}
        }
        if disk.refuses {
            return Err(io::Error::from_raw_os_error(28));
        }
        Ok(disk)
    }

    fn holding(bytes: Vec<u8>) -> File {
        File(Arc::new(Mutex::new(SimulatedDisk {
            synced: bytes,
            ..SimulatedDisk::default()
        })))
    }

    fn now(&self) -> Vec<u8> {
        let disk = self.0.lock().expect("no test panics with it");
        let mut file = disk.synced.clone();
        disk.since.iter().for_each(|w| apply(&mut file, w));
        file
    }

    /// After a loss of power each write since the last sync is there, missing or torn.
    fn after(&self, rng: &mut SmallRng) -> File {
        let disk = self.0.lock().expect("no test panics with it");
        let mut file = disk.synced.clone();
        let all_gone = rng.random::<f64>() < 0.3;
        for write in disk.since.iter().filter(|_| !all_gone) {
            match (rng.random_range(0..3), write) {
                (0, _) => apply(&mut file, write),
                (1, Write::Bytes(at, bytes)) => {
                    let torn = rng.random_range(0..=bytes.len());
                    apply(&mut file, &Write::Bytes(*at, bytes[..torn].to_vec()));
                }
                _ => {}
            }
        }
        File::holding(file)
    }

    /// All that was written since the last sync is gone.
    fn after_losing_all(&self) -> File {
        File::holding(
            self.0
                .lock()
                .expect("no test panics with it")
                .synced
                .clone(),
        )
    }
}

impl StorageBackend for File {
    fn len(&self) -> io::Result<u64> {
        Ok(self.now().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let file = self.now();
        let from = offset as usize;
        let part = file
            .get(from..from + out.len())
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(part);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.step()?.since.push(Write::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let stall = self.0.lock().expect("no test panics with it").stall.clone();
        if let Some((begun, go_on)) = stall {
            begun.send(()).expect("the test waits for it");
            go_on
                .lock()
                .expect("no test panics with it")
                .recv()
                .expect("the test lets it go on");
        }
        let mut disk = self.step()?;
        let since = std::mem::take(&mut disk.since);
        since.iter().for_each(|w| apply(&mut disk.synced, w));
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.step()?.since.push(Write::Bytes(offset, data.to_vec()));
        Ok(())
    }
}

/// Each second one is so large that the file grows.
fn item(n: u64) -> Item {
    let key = ItemKey {
        kind: ItemKind::Route,
        name: format!("r{}", n % 3),
    };
    let proposal_number = ProposalNumber {
        round: n,
        proposer: 1,
    };
    let size = if n.is_multiple_of(2) { 60_000 } else { 300 };
    Item {
        key,
        version: n,
        proposal_number,
        body: Some(vec![b'x'; size + n as usize]),
    }
}

/// Keeps one thing after another until the power goes; the number of those that were told to be kept.
fn keep_on(file: &File) -> u64 {
    let Ok(store) = Disk::open_with_storage(file.clone()) else {
        return 0;
    };
    for n in 1..=6 {
        let proposal_number = ProposalNumber {
            round: n,
            proposer: 1,
        };
        if store
            .persist(&[
                DurableWrite::Promised(proposal_number),
                DurableWrite::Accepted(vec![item(n)]),
            ])
            .is_err()
        {
            return n - 1;
        }
    }
    6
}

#[test]
fn what_was_kept_is_there_after_a_loss_of_power_at_any_write() {
    let mut rng = SmallRng::seed_from_u64(11);
    for left in 0..400 {
        let file = File::default();
        drop(Disk::open_with_storage(file.clone()).expect("opens"));
        file.0.lock().expect("fresh").left = Some(left);
        let kept = keep_on(&file);
        for _ in 0..3 {
            let store = Disk::open_with_storage(file.after(&mut rng))
                .unwrap_or_else(|e| panic!("after {left} steps: {e}"));
            let StoredState { durable: read, .. } = store
                .read()
                .unwrap_or_else(|e| panic!("after {left} steps: {e}"));
            assert!(
                read.promised.round >= kept,
                "after {left} steps a promise is forgotten"
            );
            for n in kept.saturating_sub(2).max(1)..=kept {
                let there = read.accepted.items().get(&item(n).key);
                assert!(
                    there.is_some_and(|i| i.version >= n),
                    "after {left} steps item {n} is gone"
                );
            }
        }
        if kept == 6 {
            return;
        }
    }
    panic!("the power never lasted");
}

#[test]
fn a_disk_that_refuses_says_so_and_keeps_what_it_has() {
    let file = File::default();
    let store = Disk::open_with_storage(file.clone()).expect("opens");
    store
        .persist(&[DurableWrite::Accepted(vec![item(1)])])
        .expect("kept");
    file.0.lock().expect("no test panics with it").refuses = true;
    assert!(
        store
            .persist(&[DurableWrite::Accepted(vec![item(2)])])
            .is_err()
    );
    drop(store);
    file.0.lock().expect("no test panics with it").refuses = false;
    let StoredState { durable: read, .. } = Disk::open_with_storage(file)
        .expect("opens again")
        .read()
        .expect("reads");
    assert_eq!(read.accepted.items().len(), 1);
}

/// The process opens its store again once a disk that was full has room: no power was lost meanwhile.
#[test]
fn what_was_kept_is_there_once_a_disk_that_refused_at_any_write_takes_writes_again() {
    for left in 0..400 {
        let file = File::default();
        drop(Disk::open_with_storage(file.clone()).expect("opens"));
        file.0.lock().expect("fresh").left = Some(left);
        let kept = keep_on(&file);
        file.0.lock().expect("no test panics with it").left = None;
        let store =
            Disk::open_with_storage(file).unwrap_or_else(|e| panic!("after {left} steps: {e}"));
        let StoredState { durable: read, .. } = store
            .read()
            .unwrap_or_else(|e| panic!("after {left} steps: {e}"));
        assert!(
            read.promised.round >= kept,
            "after {left} steps a promise is forgotten"
        );
        let last = item(kept + 1);
        store
            .persist(&[DurableWrite::Accepted(vec![last.clone()])])
            .expect("kept");
        let there = store
            .read()
            .expect("reads")
            .durable
            .accepted
            .items()
            .get(&last.key)
            .cloned();
        assert_eq!(
            there,
            Some(last),
            "after {left} steps it keeps nothing more"
        );
        if kept == 6 {
            return;
        }
    }
    panic!("the disk never took all");
}

/// Who kept something may speak of it once the sync is done, however long that takes; until then it may be lost.
#[test]
fn a_sync_that_stalls_holds_its_caller_until_what_it_kept_outlasts_a_loss_of_power() {
    let file = File::default();
    let store = Disk::open_with_storage(file.clone()).expect("opens");
    store
        .persist(&[DurableWrite::Accepted(vec![item(1)])])
        .expect("kept");
    let (begun, has_begun) = channel();
    let (go_on, goes_on) = channel();
    file.0.lock().expect("no test panics with it").stall =
        Some((begun, Arc::new(Mutex::new(goes_on))));
    let keeps = thread::spawn(move || {
        let kept = store.persist(&[DurableWrite::Accepted(vec![item(2)])]);
        (store, kept)
    });
    has_begun
        .recv_timeout(Duration::from_secs(20))
        .expect("a sync");
    assert!(
        !keeps.is_finished(),
        "it is told to be kept before its sync is done"
    );
    let StoredState { durable: read, .. } = Disk::open_with_storage(file.after_losing_all())
        .expect("opens")
        .read()
        .expect("reads");
    assert_eq!(read.accepted.items().get(&item(1).key), Some(&item(1)));
    assert_eq!(
        read.accepted.items().get(&item(2).key),
        None,
        "it outlasts what no sync covered"
    );
    // This sync, and those that may follow.
    file.0.lock().expect("no test panics with it").stall = None;
    go_on.send(()).expect("it waits");
    let (_store, kept) = keeps.join().expect("it ends");
    kept.expect("kept");
    let StoredState { durable: read, .. } = Disk::open_with_storage(file.after_losing_all())
        .expect("opens")
        .read()
        .expect("reads");
    assert_eq!(read.accepted.items().get(&item(2).key), Some(&item(2)));
}

/// A file of a store, after some items were kept in it.
fn a_store_of_items() -> Vec<u8> {
    let file = File::default();
    let store = Disk::open_with_storage(file.clone()).expect("opens");
    for n in 1..=3 {
        store
            .persist(&[DurableWrite::Accepted(vec![item(n)])])
            .expect("kept");
    }
    drop(store);
    file.now()
}

#[test]
fn a_file_that_is_no_store_is_refused() {
    let garbage = (0..20_000u32)
        .map(|n| (n * 7919 / 8) as u8)
        .collect::<Vec<u8>>();
    let cut_short = |len: usize| a_store_of_items()[..len].to_vec();
    for (what, bytes) in [
        ("a text", b"items: none".to_vec()),
        ("zeros", vec![0; 9000]),
        ("bytes by chance", garbage),
        ("half a header", cut_short(200)),
        ("a store without its end", cut_short(9000)),
        // The file grows by whole pages, each time synced before anything is written there: no crash leaves this.
        (
            "a store with a byte behind its end",
            [a_store_of_items(), vec![0x5a]].concat(),
        ),
    ] {
        let opened = Disk::open_with_storage(File::holding(bytes)).and_then(|disk| disk.read());
        assert!(opened.is_err(), "{what} is taken for a store");
    }
}

#[test]
fn a_store_half_made_when_the_power_went_is_made_anew() {
    let dir = std::env::temp_dir().join(format!("damsonbeam-config-store-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    std::fs::write(dir.join("items.new"), vec![7; 5000]).expect("written");
    let store = Disk::open(&dir).expect("opens");
    store
        .persist(&[DurableWrite::Accepted(vec![item(1)])])
        .expect("kept");
    drop(store);
    let StoredState { durable: read, .. } = Disk::open(&dir)
        .expect("opens again")
        .read()
        .expect("reads");
    std::fs::remove_dir_all(&dir).ok();
    assert_eq!(read.accepted.items().len(), 1);
}

#[test]
fn a_disk_keeps_its_id_and_a_new_one_has_another() {
    let file = File::default();
    let id = |file: &File| {
        Disk::open_with_storage(file.clone())
            .expect("opens")
            .read()
            .expect("reads")
            .durable
            .disk_id
    };
    let first = id(&file);
    assert_eq!(id(&file), first);
    assert_ne!(id(&File::default()), first);
}

/// A store of a version without voter sets may not be guessed about: its size could be anybody's view.
#[test]
fn a_store_of_a_version_without_voters_is_refused_by_name() {
    let file = File::default();
    let db = redb::Database::builder()
        .create_with_backend(file.clone())
        .expect("made");
    let write = db.begin_write().expect("begins");
    let whole = redb::TableDefinition::<&str, &[u8]>::new("meta");
    write
        .open_table(whole)
        .expect("opens")
        .insert("whole", &[1u8][..])
        .expect("kept");
    write.commit().expect("kept");
    drop(db);
    let told = Disk::open_with_storage(file)
        .err()
        .expect("refused")
        .to_string();
    assert!(
        told.starts_with("items.redb: made by a version that kept no voter set; start all"),
        "{told}"
    );
}

#[test]
fn the_roster_and_the_list_come_back() {
    let file = File::default();
    let store = Disk::open_with_storage(file.clone()).expect("opens");
    let roster = vec![[10, 0, 0, 1], [10, 0, 0, 2]];
    let server = Backend {
        id: "i-1".into(),
        service: "s".into(),
        address: Endpoint {
            ip: [10, 128, 0, 1],
            port: 80,
        },
        zone: "z".into(),
        slots: 6,
        draining: false,
        warm_up_left_ms: 0,
    };
    let backends = BackendList {
        version: BackendListVersion {
            term: 3,
            revision: 7,
        },
        backends: vec![server],
    };
    store.persist_backends(&backends).expect("kept");
    store.persist_roster(&roster).expect("kept");
    drop(store);
    let StoredState {
        roster: known,
        backends: list,
        ..
    } = Disk::open_with_storage(file)
        .expect("opens again")
        .read()
        .expect("reads");
    assert_eq!((known, list), (roster, backends));
}

/// How large the file grows by items and by changes, and how long it takes: docs/results/recovery.
#[test]
#[ignore = "a measurement"]
fn size_and_time_by_items() {
    let dir = std::env::temp_dir().join(format!("damsonbeam-size-{}", std::process::id()));
    for count in [100u32, 1000, 10_000] {
        std::fs::remove_dir_all(&dir).ok();
        let store = Disk::open(&dir).expect("made");
        let item = |n: u32, version: u64| {
            let name = format!("route-{n}");
            let key = ItemKey {
                kind: ItemKind::Route,
                name,
            };
            Item {
                key,
                version,
                proposal_number: Default::default(),
                body: Some(vec![b'x'; 300]),
            }
        };
        let all: Vec<Item> = (0..count).map(|n| item(n, 1)).collect();
        store
            .persist(&[
                DurableWrite::Accepted(all.clone()),
                DurableWrite::Committed(all),
            ])
            .expect("kept");
        let file = || {
            std::fs::metadata(dir.join("items.redb"))
                .expect("there")
                .len()
                / 1024
        };
        let first = file();
        let began = std::time::Instant::now();
        for round in 0..2000u32 {
            let changed = vec![item(round % count, 2 + u64::from(round))];
            store
                .persist(&[DurableWrite::Accepted(changed.clone())])
                .expect("kept");
            store
                .persist(&[DurableWrite::Committed(changed)])
                .expect("kept");
        }
        let each = began.elapsed().as_secs_f64() / 4000.0 * 1000.0;
        let after = file();
        drop(store);
        let began = std::time::Instant::now();
        let store = Disk::open(&dir).expect("there");
        store.read().expect("read");
        let open = began.elapsed().as_secs_f64() * 1000.0;
        println!(
            "{count} items: {first} kB, after 2000 changes {after} kB, {each:.2} ms a transaction, {open:.0} ms to open and read"
        );
    }
    std::fs::remove_dir_all(&dir).ok();
}
