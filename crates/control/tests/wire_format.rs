//! The bytes of stored and sent types. They were recorded by the version of 2 December 2026 before its types were renamed: a
//! process of that version and one of this must understand each other, and read each other's records.

use damsonbeam_control::items::{Ballot, Change, Item, Key, Kind};
use damsonbeam_control::lease::LeaseMessage;
use damsonbeam_control::membership::{MemberState, MemberUpdate};
use damsonbeam_control::messages::{
    AcceptAnswer, BackendSnapshot, Command, CommandReply, Datagram, GossipBody, Heartbeat, Message,
    NamedCount, ProxyStatus, Server, pack, unpack,
};
use damsonbeam_control::part_index::PartId;
use damsonbeam_control::transfer::{GroupSums, PartRequest, Position, TransferMessage};

const RECORDED: &str = include_str!("data/wire-format.txt");

fn item(kind: Kind, name: &str, version: u64) -> Item {
    let body = (version % 2 == 1).then(|| format!("{{\"name\":\"{name}\"}}").into_bytes());
    Item {
        key: Key {
            kind,
            name: name.into(),
        },
        version,
        ballot: ballot(version + 2),
        body,
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        writer: 0x0a00_0007,
    }
}

/// An item of each kind.
fn items() -> Vec<Item> {
    let kinds = [
        Kind::Route,
        Kind::Tenant,
        Kind::Service,
        Kind::Limits,
        Kind::Evacuation,
        Kind::Copy,
        Kind::Voters,
    ];
    (3..)
        .zip(kinds)
        .map(|(version, kind)| item(kind, &format!("item-{version}"), version))
        .collect()
}

fn backends() -> BackendSnapshot {
    let server = Server {
        id: "i-1".into(),
        service: "tiles".into(),
        at: ([10, 128, 0, 9], 8080),
        zone: "manila-a".into(),
        slots: 6,
        draining: true,
        cold_ms: 1500,
    };
    BackendSnapshot {
        term: 7,
        reading: 11,
        servers: vec![server],
    }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        time_ms: 1_796_199_592_497,
        registries: vec![[10, 1, 0, 1], [10, 1, 0, 2]],
        in_contact: true,
        coordinator: Some(([10, 1, 0, 2], 9)),
        proxies: 69,
        attached: 67,
        near: 23,
        place: 4,
        items: 0xfeed_beef,
        list: (9, 3),
    }
}

fn status() -> ProxyStatus {
    ProxyStatus {
        node: "edge-manila-a-1".into(),
        life: 0x1234_5678_9abc_def0,
        zone: "manila-a".into(),
        front: ([10, 1, 0, 33], 8686),
        ready: true,
        term: 9,
    }
}

fn counts() -> Vec<NamedCount> {
    vec![NamedCount {
        name: "12/house".into(),
        held: 3.5,
        asked: 4.0,
    }]
}

fn messages_of_proxies_and_registries() -> Vec<Message> {
    let position = Position {
        part: PartId::in_group(3, 5),
        after: Some(items()[0].key.clone()),
    };
    let parts = vec![PartRequest {
        from: position.clone(),
        marks: vec![5, 6],
    }];
    let groups = vec![GroupSums {
        group: 3,
        part_sums: vec![1, 2, 3],
    }];
    vec![
        Message::Status {
            status: status(),
            time_ms: Some(99),
        },
        Message::CountReport(counts()),
        Message::Transfer(TransferMessage::Compare {
            round: 1,
            group_sums: vec![7, 8],
        }),
        Message::Transfer(TransferMessage::Differences {
            round: 1,
            digest: 5,
            groups,
        }),
        Message::Transfer(TransferMessage::Request {
            round: 1,
            chunk: 2,
            parts,
        }),
        Message::Transfer(TransferMessage::Chunk {
            round: 1,
            chunk: 2,
            items: items(),
            stopped: Some(position),
        }),
        Message::PullBackends,
        Message::Ack { no: 3 },
        Message::Heartbeat(heartbeat()),
        Message::ConfigUpdate {
            no: 4,
            items: items(),
        },
        Message::BackendUpdate {
            no: 5,
            list: backends(),
            page: 0,
            pages: 1,
        },
        Message::CountTotals {
            term: 9,
            totals: counts(),
        },
        Message::PullPartners,
        Message::Partners {
            near: vec![[10, 0, 0, 1]],
            far: vec![[10, 0, 0, 2]],
        },
        Message::ConfigChanged,
    ]
}

fn messages_of_registry_and_store() -> Vec<Message> {
    let change = Command::Change(Change { items: items() });
    let invalid = CommandReply::Invalid("r-1: path_prefix: must start and end with a slash".into());
    vec![
        Message::Roster {
            ips: vec![[10, 1, 0, 1]],
        },
        Message::Voters {
            epoch: 2,
            voters: vec![[10, 1, 0, 1], [10, 1, 0, 2]],
        },
        Message::ConfirmEpoch { no: 6 },
        Message::EpochConfirmed { no: 6, epoch: 2 },
        Message::Submit {
            no: 7,
            order: change,
        },
        Message::Submit {
            no: 8,
            order: Command::Evacuate {
                zone: "manila-a".into(),
                on: true,
            },
        },
        Message::Submit {
            no: 9,
            order: Command::Read,
        },
        Message::Reply {
            no: 7,
            reply: CommandReply::Done,
        },
        Message::Reply {
            no: 8,
            reply: CommandReply::Config(items()),
        },
        Message::Reply {
            no: 9,
            reply: invalid,
        },
        Message::Reply {
            no: 9,
            reply: CommandReply::Unsettled("no majority in time".into()),
        },
        Message::ConfirmSubmit { no: 8 },
        Message::SubmitConfirmed {
            no: 8,
            waited_ms: 120,
        },
        Message::Decided {
            items: items(),
            whole: true,
        },
        Message::StoreBackends(backends()),
    ]
}

fn messages_among_stores() -> Vec<Message> {
    let voters = item(Kind::Voters, "voters", 3);
    let accepted = |answer| Message::Accepted {
        ballot: ballot(5),
        step: 2,
        disk: 77,
        answer,
    };
    vec![
        Message::Forward {
            life: 1,
            no: 2,
            order: Command::Read,
        },
        Message::Forwarded {
            life: 1,
            no: 2,
            reply: None,
        },
        Message::ForwardAck { life: 1, no: 2 },
        Message::Prepare {
            ballot: ballot(5),
            voters: voters.clone(),
            digest: (1, 2),
        },
        Message::Promise {
            ballot: ballot(5),
            promised: ballot(6),
            disk: 77,
            items: Some((items(), vec![voters.clone()])),
        },
        Message::Accept {
            ballot: ballot(5),
            step: 2,
            voters: voters.clone(),
            items: items(),
            decided: vec![],
            level: Some(8),
        },
        accepted(AcceptAnswer::Accepted),
        accepted(AcceptAnswer::Promised(ballot(9))),
        accepted(AcceptAnswer::Behind),
        Message::NewerVoters {
            ballot: ballot(5),
            voters,
        },
        Message::Commit { items: items() },
        Message::CompareDigests {
            digests: (vec![1, 2], vec![3]),
            learner: Some(77),
        },
        Message::RepairItems {
            items: items(),
            decided: items(),
            ballot: ballot(5),
        },
    ]
}

fn datagrams() -> Vec<Datagram> {
    let updates =
        [MemberState::Alive, MemberState::Suspect, MemberState::Dead].map(|state| MemberUpdate {
            ip: [10, 1, 0, 5],
            number: 3,
            state,
        });
    let bodies = [
        GossipBody::Ping { no: 1 },
        GossipBody::Pong { no: 1 },
        GossipBody::Second {
            no: 2,
            whom: [10, 1, 0, 9],
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
        GossipBody::Lease(LeaseMessage::Refuse { epoch: 2, term: 10 }),
        GossipBody::Lease(LeaseMessage::Yield {
            epoch: 2,
            term: 9,
            to: [10, 1, 0, 2],
        }),
    ];
    let datagram = |body| Datagram {
        from: [10, 1, 0, 1],
        epoch: 2,
        time_ms: Some(42),
        body,
        updates: updates.to_vec(),
    };
    bodies.map(datagram).to_vec()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The lines that begin with a word, without it.
fn recorded(section: &str) -> Vec<&'static str> {
    RECORDED
        .lines()
        .filter_map(|line| line.strip_prefix(section)?.strip_prefix(' '))
        .collect()
}

fn assert_messages(section: &str, messages: &[Message]) {
    let recorded = recorded(section);
    assert_eq!(recorded.len(), messages.len(), "{section}");
    for (message, recorded) in messages.iter().zip(recorded) {
        let bytes = pack(message);
        assert_eq!(hex(&bytes), recorded, "{message:?}");
        assert_eq!(unpack::<Message>(&bytes).as_ref(), Ok(message));
    }
}

#[test]
fn messages_have_the_bytes_of_the_version_before() {
    assert_messages("proxy-registry", &messages_of_proxies_and_registries());
    assert_messages("registry-store", &messages_of_registry_and_store());
    assert_messages("store-store", &messages_among_stores());
}

#[test]
fn datagrams_have_the_bytes_of_the_version_before() {
    let recorded = recorded("datagram");
    assert_eq!(recorded.len(), datagrams().len());
    for (datagram, recorded) in datagrams().iter().zip(recorded) {
        let bytes = pack(datagram);
        assert_eq!(hex(&bytes), recorded, "{datagram:?}");
        assert_eq!(unpack::<Datagram>(&bytes).as_ref(), Ok(datagram));
    }
}

#[test]
fn stored_items_have_the_bytes_of_the_version_before() {
    let recorded = recorded("item");
    assert_eq!(recorded.len(), items().len());
    for (item, recorded) in items().iter().zip(recorded) {
        assert_eq!(hex(&bitcode::encode(item)), recorded, "{item:?}");
    }
}
