//! Compares the encoding of stored and sent types with recorded bytes. The bytes were recorded with the version of 2
//! December 2026, before its types were renamed: processes of that version and of this one must understand each other's
//! messages and read each other's stored data.

use damsonbeam_control::address::Endpoint;
use damsonbeam_control::config::{ConfigChange, Item, ItemKey, ItemKind, ProposalNumber, ShardId};
use damsonbeam_control::messages::{
    AcceptAnswer, Allotment, Backend, BackendList, BackendListVersion, Command, CommandReply,
    Datagram, GossipBody, Heartbeat, LeaseHolder, LeaseMessage, MemberState, MemberUpdate, Message,
    NamedCount, Position, ProxyStatus, ReplicaItems, ShardDigests, ShardRequest, StateDigest,
    StateGroupDigests, TransferMessage, decode, encode,
};

const RECORDED: &str = include_str!("data/wire-format.txt");

fn item(kind: ItemKind, name: &str, version: u64) -> Item {
    let body = (version % 2 == 1).then(|| format!("{{\"name\":\"{name}\"}}").into_bytes());
    Item {
        key: ItemKey {
            kind,
            name: name.into(),
        },
        version,
        proposal_number: proposal_number(version + 2),
        body,
    }
}

fn proposal_number(round: u64) -> ProposalNumber {
    ProposalNumber {
        round,
        proposer: 0x0a00_0007,
    }
}

/// Returns an item of each kind.
fn items() -> Vec<Item> {
    let kinds = [
        ItemKind::Route,
        ItemKind::Tenant,
        ItemKind::Service,
        ItemKind::Limits,
        ItemKind::Evacuation,
        ItemKind::MirrorRule,
        ItemKind::Voters,
    ];
    (3..)
        .zip(kinds)
        .map(|(version, kind)| item(kind, &format!("item-{version}"), version))
        .collect()
}

fn backend_list() -> BackendList {
    let backend = Backend {
        id: "i-1".into(),
        service: "tiles".into(),
        address: Endpoint {
            ip: [10, 128, 0, 9],
            port: 8080,
        },
        zone: "manila-a".into(),
        capacity_slots: 6,
        draining: true,
        warm_up_left_ms: 1500,
    };
    BackendList {
        version: BackendListVersion {
            term: 7,
            revision: 11,
        },
        backends: vec![backend],
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        coordinator_time_ms: 1_796_199_592_497,
        registries: vec![[10, 1, 0, 1], [10, 1, 0, 2]],
        in_contact: true,
        coordinator: Some(LeaseHolder {
            ip: [10, 1, 0, 2],
            term: 9,
        }),
        known_proxy_count: 69,
        connected_proxy_count: 67,
        region_proxy_count: 23,
        region_position: 4,
        config_digest: 0xfeed_beef,
        backend_list: BackendListVersion {
            term: 9,
            revision: 3,
        },
    }
}

fn proxy_status() -> ProxyStatus {
    ProxyStatus {
        node: "edge-manila-a-1".into(),
        incarnation: 0x1234_5678_9abc_def0,
        zone: "manila-a".into(),
        address: Endpoint {
            ip: [10, 1, 0, 33],
            port: 8686,
        },
        ready: true,
        term: 9,
    }
}

fn named_counts() -> Vec<NamedCount> {
    vec![NamedCount {
        name: "12/house".into(),
        admitted: 3.5,
        requested: 4.0,
    }]
}

fn proxy_registry_messages() -> Vec<Message> {
    let position = Position {
        shard: ShardId::in_group(3, 5),
        after: Some(items()[0].key.clone()),
    };
    let shards = vec![ShardRequest {
        from: position.clone(),
        fingerprints: vec![5, 6],
    }];
    let groups = vec![ShardDigests {
        group: 3,
        digests: vec![1, 2, 3],
    }];
    vec![
        Message::Status {
            status: proxy_status(),
            coordinator_time_ms: Some(99),
        },
        Message::CountReport(named_counts()),
        Message::Transfer(TransferMessage::Compare {
            round: 1,
            group_digests: vec![7, 8],
        }),
        Message::Transfer(TransferMessage::Differences {
            round: 1,
            digest: 5,
            groups,
        }),
        Message::Transfer(TransferMessage::Request {
            round: 1,
            chunk: 2,
            shards,
        }),
        Message::Transfer(TransferMessage::Chunk {
            round: 1,
            chunk: 2,
            items: items(),
            resume_at: Some(position),
        }),
        Message::RequestBackends,
        Message::UpdateAck { number: 3 },
        Message::Heartbeat(heartbeat()),
        Message::ConfigUpdate {
            number: 4,
            items: items(),
        },
        Message::BackendUpdate {
            number: 5,
            list: backend_list(),
            page: 0,
            pages: 1,
        },
        Message::CountTotals {
            term: 9,
            totals: named_counts(),
        },
        Message::RequestPeers,
        Message::Peers {
            same_region: vec![[10, 0, 0, 1]],
            other_regions: vec![[10, 0, 0, 2]],
        },
        Message::ConfigChanged,
    ]
}

fn allotment_messages() -> Vec<Message> {
    let allotments = vec![Allotment {
        tenant: "house".into(),
        parts: 0x4_0000,
    }];
    vec![
        Message::AllotmentReport {
            term: 9,
            allotments: allotments.clone(),
        },
        Message::SetAllotments {
            term: 9,
            revision: 3,
            allotments: allotments.clone(),
        },
        Message::AllotmentsAck {
            term: 9,
            revision: 3,
        },
        Message::AllotmentStatus {
            term: 9,
            departed_proxies: 2,
            absent: allotments,
            absent_parts_per_unlisted_tenant: 0x10_0000,
        },
        Message::ProxyShutdown,
    ]
}

fn registry_store_messages() -> Vec<Message> {
    let change = Command::Change(ConfigChange { items: items() });
    let invalid = CommandReply::Invalid("r-1: path_prefix: must start and end with a slash".into());
    vec![
        Message::CoreMachines {
            ips: vec![[10, 1, 0, 1]],
        },
        Message::Voters {
            epoch: 2,
            voters: vec![[10, 1, 0, 1], [10, 1, 0, 2]],
        },
        Message::ConfirmEpoch { number: 6 },
        Message::EpochConfirmed {
            number: 6,
            epoch: 2,
        },
        Message::Submit {
            number: 7,
            command: change,
        },
        Message::Submit {
            number: 8,
            command: Command::Evacuate {
                zone: "manila-a".into(),
                evacuated: true,
            },
        },
        Message::Submit {
            number: 9,
            command: Command::Read,
        },
        Message::Reply {
            number: 7,
            reply: CommandReply::Done,
        },
        Message::Reply {
            number: 8,
            reply: CommandReply::Config(items()),
        },
        Message::Reply {
            number: 9,
            reply: invalid,
        },
        Message::Reply {
            number: 9,
            reply: CommandReply::Unavailable("no majority in time".into()),
        },
        Message::ConfirmSubmit { number: 8 },
        Message::SubmitConfirmed {
            number: 8,
            waited_ms: 120,
        },
        Message::Committed {
            items: items(),
            complete: true,
        },
        Message::LastKnownBackends(backend_list()),
    ]
}

fn store_messages() -> Vec<Message> {
    let voters = item(ItemKind::Voters, "voters", 3);
    let accepted = |answer| Message::Accepted {
        proposal_number: proposal_number(5),
        step: 2,
        disk_id: 77,
        answer,
    };
    vec![
        Message::Forward {
            incarnation: 1,
            number: 2,
            command: Command::Read,
        },
        Message::ForwardReply {
            incarnation: 1,
            number: 2,
            reply: None,
        },
        Message::ForwardAck {
            incarnation: 1,
            number: 2,
        },
        Message::Prepare {
            proposal_number: proposal_number(5),
            voters: voters.clone(),
            digest: StateDigest {
                accepted: 1,
                committed: 2,
            },
        },
        Message::Promise {
            proposal_number: proposal_number(5),
            promised: proposal_number(6),
            disk_id: 77,
            items: Some(ReplicaItems {
                accepted: items(),
                committed: vec![voters.clone()],
            }),
        },
        Message::Accept {
            proposal_number: proposal_number(5),
            step: 2,
            voters: voters.clone(),
            items: items(),
            committed: vec![],
            required_digest: Some(8),
        },
        accepted(AcceptAnswer::Accepted),
        accepted(AcceptAnswer::RejectedByPromise(proposal_number(9))),
        accepted(AcceptAnswer::MissingItems),
        Message::NewerVoters {
            proposal_number: proposal_number(5),
            voters,
        },
        Message::Commit { items: items() },
        Message::CompareDigests {
            digests: StateGroupDigests {
                accepted: vec![1, 2],
                committed: vec![3],
            },
            learner_disk_id: Some(77),
        },
        Message::RepairItems {
            items: items(),
            committed: items(),
            promised: proposal_number(5),
        },
    ]
}

fn forwarding_messages() -> Vec<Message> {
    vec![
        Message::ForwardCommand {
            incarnation: 1,
            number: 2,
            command: Command::Change(ConfigChange { items: items() }),
            as_of: proposal_number(7),
        },
        Message::ForwardOutdated {
            incarnation: 1,
            number: 2,
            committed: items(),
        },
    ]
}

fn datagrams() -> Vec<Datagram> {
    let updates =
        [MemberState::Alive, MemberState::Suspect, MemberState::Dead].map(|state| MemberUpdate {
            ip: [10, 1, 0, 5],
            incarnation: 3,
            state,
        });
    let bodies = [
        GossipBody::Ping { number: 1 },
        GossipBody::Pong { number: 1 },
        GossipBody::IndirectPing {
            number: 2,
            target: [10, 1, 0, 9],
        },
        GossipBody::Lease(LeaseMessage::Claim {
            epoch: 2,
            term: 9,
            sent_us: 1234,
        }),
        GossipBody::Lease(LeaseMessage::Grant {
            epoch: 2,
            term: 9,
            sent_us: 1234,
        }),
        GossipBody::Lease(LeaseMessage::Refuse {
            highest_epoch: 2,
            highest_term: 10,
        }),
        GossipBody::Lease(LeaseMessage::Transfer {
            epoch: 2,
            term: 9,
            to: [10, 1, 0, 2],
        }),
    ];
    let datagram = |body| Datagram {
        from: [10, 1, 0, 1],
        epoch: 2,
        coordinator_time_ms: Some(42),
        body,
        updates: updates.to_vec(),
    };
    bodies.map(datagram).to_vec()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the recorded lines of a section, without the section's name.
fn recorded_lines(section: &str) -> Vec<&'static str> {
    RECORDED
        .lines()
        .filter_map(|line| line.strip_prefix(section)?.strip_prefix(' '))
        .collect()
}

fn assert_messages(section: &str, messages: &[Message]) {
    let recorded = recorded_lines(section);
    assert_eq!(recorded.len(), messages.len(), "{section}");
    for (message, expected) in messages.iter().zip(recorded) {
        let bytes = encode(message);
        assert_eq!(hex(&bytes), expected, "{message:?}");
        assert_eq!(decode::<Message>(&bytes).ok().as_ref(), Some(message));
    }
}

#[test]
fn messages_encode_to_the_recorded_bytes() {
    assert_messages("proxy-registry", &proxy_registry_messages());
    assert_messages("registry-store", &registry_store_messages());
    assert_messages("store-store", &store_messages());
}

/// The bytes were recorded when these messages were appended to `Message`.
#[test]
fn allotment_messages_encode_to_the_recorded_bytes() {
    assert_messages("allotment", &allotment_messages());
}

/// The bytes were recorded when these messages were appended to `Message`.
#[test]
fn forwarding_messages_encode_to_the_recorded_bytes() {
    assert_messages("forwarding", &forwarding_messages());
}

#[test]
fn datagrams_encode_to_the_recorded_bytes() {
    let recorded = recorded_lines("datagram");
    assert_eq!(recorded.len(), datagrams().len());
    for (datagram, expected) in datagrams().iter().zip(recorded) {
        let bytes = encode(datagram);
        assert_eq!(hex(&bytes), expected, "{datagram:?}");
        assert_eq!(decode::<Datagram>(&bytes).ok().as_ref(), Some(datagram));
    }
}

#[test]
fn stored_items_encode_to_the_recorded_bytes() {
    let recorded = recorded_lines("item");
    assert_eq!(recorded.len(), items().len());
    for (item, expected) in items().iter().zip(recorded) {
        assert_eq!(hex(&bitcode::encode(item)), expected, "{item:?}");
    }
}
