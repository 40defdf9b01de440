//! Transfers of the configuration and of backend lists to a proxy: the loss of a registry's connection, and incomplete
//! data.

use std::time::Duration;

use damsonbeam_control::address::{Endpoint, Ip};
use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::messages::{Backend, BackendList, BackendListVersion, TransferMessage};
use damsonbeam_control::transfer::answer_message;
use damsonbeam_proxy::config_transfer::{BackendPages, ConfigTransfer, Progress};

const NOW: Duration = Duration::ZERO;
const FIRST_REGISTRY: Ip = [10, 1, 0, 1];
const SECOND_REGISTRY: Ip = [10, 1, 0, 2];

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

/// Runs a round with a registry for at most `max_answers` answers. Returns the bytes of items received and the result
/// of the last message.
fn run_round(
    transfer: &mut ConfigTransfer,
    received: &mut ConfigSnapshot,
    (registry, snapshot): (Ip, &ConfigSnapshot),
    max_answers: usize,
) -> (usize, Progress) {
    let mut requests = Vec::from_iter(transfer.begin(registry, received, NOW));
    let (mut bytes, mut progress) = (0, Progress::default());
    for _ in 0..max_answers {
        let Some(message) = requests.pop() else {
            break;
        };
        let reply = answer_message(snapshot, &message).expect("an answer");
        if let TransferMessage::Chunk { items, .. } = &reply {
            bytes += items.iter().map(Item::wire_bytes).sum::<usize>();
        }
        progress = transfer.receive(registry, received, reply, NOW);
        requests.append(&mut progress.requests);
    }
    (bytes, progress)
}

#[test]
fn interrupted_transfer_continues_with_another_registry_and_is_complete_only_at_its_end() {
    let mut snapshot = ConfigSnapshot::default();
    (0..3_000).for_each(|n| snapshot.insert(item(n, 1)));
    let total_bytes: usize = snapshot.items().values().map(Item::wire_bytes).sum();
    let (mut transfer, mut received) = (ConfigTransfer::default(), ConfigSnapshot::default());

    let (first_bytes, progress) = run_round(
        &mut transfer,
        &mut received,
        (FIRST_REGISTRY, &snapshot),
        12,
    );
    assert!(
        first_bytes > total_bytes / 3 && first_bytes < total_bytes,
        "{first_bytes} bytes of {total_bytes} from the first registry"
    );
    assert!(!progress.changed && !transfer.has_first_snapshot());
    assert!(
        transfer.begin(SECOND_REGISTRY, &received, NOW).is_none(),
        "a second round must not start while one is in progress"
    );

    transfer.abort_from(SECOND_REGISTRY);
    assert!(
        transfer.begin(SECOND_REGISTRY, &received, NOW).is_none(),
        "the loss of another registry must not end the round"
    );
    transfer.abort_from(FIRST_REGISTRY);
    let (second_bytes, progress) = run_round(
        &mut transfer,
        &mut received,
        (SECOND_REGISTRY, &snapshot),
        usize::MAX,
    );
    assert!(progress.changed && transfer.has_first_snapshot());
    assert!(received == snapshot);
    assert_eq!(
        first_bytes + second_bytes,
        total_bytes,
        "no item is transferred twice"
    );

    snapshot.insert(item(1, 2));
    let late_answer = answer_message(
        &snapshot,
        &transfer
            .begin(SECOND_REGISTRY, &received, NOW)
            .expect("a round"),
    );
    let progress = transfer.receive(
        FIRST_REGISTRY,
        &mut received,
        late_answer.expect("an answer"),
        NOW,
    );
    assert!(
        !progress.changed && progress.requests.is_empty(),
        "a message that is not from the current source must be ignored"
    );
}

#[test]
fn backend_list_is_returned_once_all_pages_of_one_revision_are_received() {
    let backend = |id: &str| Backend {
        id: id.into(),
        service: "s".into(),
        address: Endpoint {
            ip: [10, 0, 0, 1],
            port: 8080,
        },
        zone: "z".into(),
        capacity_slots: 1,
        draining: false,
        warm_up_left_ms: 0,
    };
    let page = |revision, id| BackendList {
        version: BackendListVersion { term: 1, revision },
        backends: vec![backend(id)],
    };
    let mut pages = BackendPages::default();
    assert_eq!(pages.add(page(1, "a"), 0, 2), None);
    assert_eq!(
        pages.add(page(2, "b"), 1, 2),
        None,
        "a page of a newer revision discards the older pages"
    );
    assert_eq!(
        pages.add(page(1, "c"), 1, 2),
        None,
        "a page of an older revision is dropped"
    );
    assert_eq!(
        pages.add(page(2, "d"), 9, 2),
        None,
        "a page number out of range is ignored"
    );
    assert_eq!(
        pages.add(page(2, "d"), 0, 2),
        Some(vec![backend("d"), backend("b")])
    );
}
