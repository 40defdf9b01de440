//! A proxy catches up with registries that come and go, and takes no part for the whole.

use std::time::Duration;

use damsonbeam_control::items::{Ballot, ConfigSnapshot, Item, Key, Kind};
use damsonbeam_control::messages::{BackendSnapshot, Ip, Server};
use damsonbeam_control::transfer::{TransferMessage, answer};
use damsonbeam_proxy::config_transfer::{BackendPages, ConfigTransfer, Progress};

const NOW: Duration = Duration::ZERO;
const FIRST: Ip = [10, 1, 0, 1];
const SECOND: Ip = [10, 1, 0, 2];

fn item(number: u32, version: u64) -> Item {
    let key = Key {
        kind: Kind::Tenant,
        name: format!("tenant-{number}"),
    };
    Item {
        key,
        version,
        ballot: Ballot::default(),
        body: Some(vec![b'x'; 400]),
    }
}

/// Plays a round with a registry for so many answers at most; returns bytes of items received and the last progress.
fn play(
    transfer: &mut ConfigTransfer,
    held: &mut ConfigSnapshot,
    (registry, snapshot): (Ip, &ConfigSnapshot),
    answers: usize,
) -> (usize, Progress) {
    let mut to_registry = Vec::from_iter(transfer.begin(registry, held, NOW));
    let (mut bytes, mut progress) = (0, Progress::default());
    for _ in 0..answers {
        let Some(message) = to_registry.pop() else {
            break;
        };
        let reply = answer(snapshot, &message).expect("an answer");
        if let TransferMessage::Chunk { items, .. } = &reply {
            bytes += items.iter().map(Item::wire_bytes).sum::<usize>();
        }
        progress = transfer.receive(registry, held, reply, NOW);
        to_registry.append(&mut progress.requests);
    }
    (bytes, progress)
}

#[test]
fn half_a_transfer_goes_on_with_another_registry_and_is_not_served_before_its_end() {
    let mut snapshot = ConfigSnapshot::default();
    (0..3_000).for_each(|n| snapshot.set(item(n, 1)));
    let all: usize = snapshot.items().values().map(Item::wire_bytes).sum();
    let (mut transfer, mut held) = (ConfigTransfer::default(), ConfigSnapshot::default());

    let (first, progress) = play(&mut transfer, &mut held, (FIRST, &snapshot), 12);
    assert!(
        first > all / 3 && first < all,
        "{first} bytes of {all} from the first"
    );
    assert!(!progress.changed && !transfer.has_first_snapshot());
    assert!(
        transfer.begin(SECOND, &held, NOW).is_none(),
        "one round at a time"
    );

    transfer.lost(SECOND);
    assert!(
        transfer.begin(SECOND, &held, NOW).is_none(),
        "another's loss does not end the round"
    );
    transfer.lost(FIRST);
    let (second, progress) = play(&mut transfer, &mut held, (SECOND, &snapshot), usize::MAX);
    assert!(progress.changed && transfer.has_first_snapshot());
    assert!(held == snapshot);
    assert_eq!(first + second, all, "nothing comes twice");

    snapshot.set(item(1, 2));
    let late = answer(
        &snapshot,
        &transfer.begin(SECOND, &held, NOW).expect("a round"),
    );
    let progress = transfer.receive(FIRST, &mut held, late.expect("an answer"), NOW);
    assert!(
        !progress.changed && progress.requests.is_empty(),
        "not of the present source"
    );
}

#[test]
fn a_list_is_taken_when_all_its_pages_are_there() {
    let server = |id: &str| Server {
        id: id.into(),
        service: "s".into(),
        at: ([10, 0, 0, 1], 8080),
        zone: "z".into(),
        slots: 1,
        draining: false,
        cold_ms: 0,
    };
    let page = |reading, id| BackendSnapshot {
        term: 1,
        reading,
        servers: vec![server(id)],
    };
    let mut pages = BackendPages::default();
    assert_eq!(pages.add(page(1, "a"), 0, 2), None);
    assert_eq!(pages.add(page(2, "b"), 1, 2), None, "of another reading");
    assert_eq!(pages.add(page(1, "c"), 1, 2), None, "of an older reading");
    assert_eq!(pages.add(page(2, "d"), 9, 2), None, "no such page");
    assert_eq!(
        pages.add(page(2, "d"), 0, 2),
        Some(vec![server("d"), server("b")])
    );
}
