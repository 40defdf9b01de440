//! A proxy catches up with registries that come and go, and takes no part for the whole.

use std::time::Duration;

use damsonbeam_control::address::{Endpoint, Ip};
use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::messages::{Backend, BackendList, BackendListVersion, TransferMessage};
use damsonbeam_control::transfer::answer;
use damsonbeam_proxy::config_transfer::{BackendPages, ConfigTransfer, Progress};

const NOW: Duration = Duration::ZERO;
const FIRST: Ip = [10, 1, 0, 1];
const SECOND: Ip = [10, 1, 0, 2];

fn item(number: u32, version: u64) -> Item {
    let key = ItemKey {
        kind: ItemKind::Tenant,
        name: format!("tenant-{number}"),
    };
    Item {
        key,
        version,
        proposal_number: ProposalNumber::default(),
        body: Some(vec![b'x'; 400]),
    }
}

/// Plays a round with a registry for so many answers at most; returns bytes of items received and the last progress.
fn play(
    transfer: &mut ConfigTransfer,
    known: &mut ConfigSnapshot,
    (registry, snapshot): (Ip, &ConfigSnapshot),
    answers: usize,
) -> (usize, Progress) {
    let mut to_registry = Vec::from_iter(transfer.begin(registry, known, NOW));
    let (mut bytes, mut progress) = (0, Progress::default());
    for _ in 0..answers {
        let Some(message) = to_registry.pop() else {
            break;
        };
        let reply = answer(snapshot, &message).expect("an answer");
        if let TransferMessage::Chunk { items, .. } = &reply {
            bytes += items.iter().map(Item::wire_bytes).sum::<usize>();
        }
        progress = transfer.receive(registry, known, reply, NOW);
        to_registry.append(&mut progress.requests);
    }
    (bytes, progress)
}

#[test]
fn half_a_transfer_goes_on_with_another_registry_and_is_not_served_before_its_end() {
    let mut snapshot = ConfigSnapshot::default();
    (0..3_000).for_each(|n| snapshot.insert(item(n, 1)));
    let all: usize = snapshot.items().values().map(Item::wire_bytes).sum();
    let (mut transfer, mut known) = (ConfigTransfer::default(), ConfigSnapshot::default());

    let (first, progress) = play(&mut transfer, &mut known, (FIRST, &snapshot), 12);
    assert!(
        first > all / 3 && first < all,
        "{first} bytes of {all} from the first"
    );
    assert!(!progress.changed && !transfer.has_first_snapshot());
    assert!(
        transfer.begin(SECOND, &known, NOW).is_none(),
        "one round at a time"
    );

    transfer.source_lost(SECOND);
    assert!(
        transfer.begin(SECOND, &known, NOW).is_none(),
        "another's loss does not end the round"
    );
    transfer.source_lost(FIRST);
    let (second, progress) = play(&mut transfer, &mut known, (SECOND, &snapshot), usize::MAX);
    assert!(progress.changed && transfer.has_first_snapshot());
    assert!(known == snapshot);
    assert_eq!(first + second, all, "nothing comes twice");

    snapshot.insert(item(1, 2));
    let late = answer(
        &snapshot,
        &transfer.begin(SECOND, &known, NOW).expect("a round"),
    );
    let progress = transfer.receive(FIRST, &mut known, late.expect("an answer"), NOW);
    assert!(
        !progress.changed && progress.requests.is_empty(),
        "not of the present source"
    );
}

#[test]
fn a_list_is_taken_when_all_its_pages_are_there() {
    let backend = |id: &str| Backend {
        id: id.into(),
        service: "s".into(),
        address: Endpoint {
            ip: [10, 0, 0, 1],
            port: 8080,
        },
        zone: "z".into(),
        slots: 1,
        draining: false,
        warm_up_left_ms: 0,
    };
    let page = |revision, id| BackendList {
        version: BackendListVersion { term: 1, revision },
        backends: vec![backend(id)],
    };
    let mut pages = BackendPages::default();
    assert_eq!(pages.add(page(1, "a"), 0, 2), None);
    assert_eq!(pages.add(page(2, "b"), 1, 2), None, "of another revision");
    assert_eq!(pages.add(page(1, "c"), 1, 2), None, "of an older revision");
    assert_eq!(pages.add(page(2, "d"), 9, 2), None, "no such page");
    assert_eq!(
        pages.add(page(2, "d"), 0, 2),
        Some(vec![backend("d"), backend("b")])
    );
}
