//! Measures the cost of removed items, which are kept as versions without a body (tombstones): memory, and the size and
//! time of a transfer to an empty receiver. Prints CSV.

use std::alloc::System;
use std::time::{Duration, Instant};

use cap::Cap;
use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::messages::TransferMessage;
use damsonbeam_control::messages::{Message, encode};
use damsonbeam_control::transfer::{Receiver, answer_message};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

fn tombstone(number: usize) -> Item {
    let proposal_number = ProposalNumber {
        round: number as u64,
        proposer: 7,
    };
    let key = ItemKey {
        kind: ItemKind::Tenant,
        name: format!("t{:07}", number),
    };
    Item {
        key,
        version: 2 + number as u64 % 9,
        proposal_number,
        body: None,
    }
}

/// Transfers a snapshot to an empty receiver and returns the size of the provider's messages, in bytes.
fn transfer_bytes(provider: &ConfigSnapshot) -> usize {
    let (mut receiver, mut held) = (Receiver::default(), ConfigSnapshot::default());
    let mut requests = vec![receiver.begin(&held, Duration::ZERO)];
    let mut bytes = 0;
    while let Some(request) = requests.pop() {
        let reply: TransferMessage =
            answer_message(provider, &request).expect("the provider answers each request");
        bytes += encode(&Message::Transfer(reply.clone())).len();
        let received = receiver.receive(&held, reply, Duration::ZERO);
        received.items.into_iter().for_each(|item| {
            held.merge(item);
        });
        requests.append(&mut receiver.requests(&held));
    }
    assert!(held == *provider);
    bytes
}

fn main() {
    println!("tombstones,memory_bytes,transfer_bytes,transfer_ms");
    for count in [6_000, 60_000, 600_000, 2_190_000] {
        let before = ALLOCATOR.allocated();
        let mut snapshot = ConfigSnapshot::default();
        (0..count).for_each(|n| snapshot.insert(tombstone(n)));
        let memory = ALLOCATOR.allocated() - before;
        let started_at = Instant::now();
        let bytes = transfer_bytes(&snapshot);
        println!(
            "{count},{memory},{bytes},{}",
            started_at.elapsed().as_millis()
        );
    }
}
