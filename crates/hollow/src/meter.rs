//! Messages and bytes of this process's links, by kind and direction.

use std::collections::BTreeMap;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use damsonbeam_control::link::{self, MessageDirection};
use damsonbeam_control::messages::{
    BackendList, Heartbeat, Message, ProxyStatus, TransferMessage, encode,
};

/// Kinds of messages between proxies and registries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// How a proxy stands.
    Status,
    /// What a proxy has admitted.
    CountReport,
    /// A question for the list of backends.
    Pull,
    /// An acknowledgement.
    Ack,
    /// A registry is there.
    Heartbeat,
    /// Items of the configuration.
    ConfigUpdate,
    /// A page of the list of backends.
    BackendUpdate,
    /// What all proxies have admitted.
    CountTotals,
    /// Catching up with the configuration, both ways.
    Transfer,
    /// All else.
    Other,
}

impl MessageKind {
    /// All kinds.
    pub const ALL: [MessageKind; 10] = [
        MessageKind::Status,
        MessageKind::CountReport,
        MessageKind::Pull,
        MessageKind::Ack,
        MessageKind::Heartbeat,
        MessageKind::ConfigUpdate,
        MessageKind::BackendUpdate,
        MessageKind::CountTotals,
        MessageKind::Transfer,
        MessageKind::Other,
    ];

    /// As tables name it.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::Status => "status",
            MessageKind::CountReport => "count_report",
            MessageKind::Pull => "pull",
            MessageKind::Ack => "ack",
            MessageKind::Heartbeat => "heartbeat",
            MessageKind::ConfigUpdate => "config_update",
            MessageKind::BackendUpdate => "backend_update",
            MessageKind::CountTotals => "count_totals",
            MessageKind::Transfer => "transfer",
            MessageKind::Other => "other",
        }
    }

    /// Without decoding it: the byte after the version is the number of the message's variant (a test holds it so).
    pub fn of_packed(bytes: &[u8]) -> Self {
        static KINDS_BY_VARIANT: OnceLock<BTreeMap<u8, MessageKind>> = OnceLock::new();
        let kinds = KINDS_BY_VARIANT.get_or_init(|| {
            let samples = samples().into_iter();
            samples
                .filter_map(|(message, kind)| Some((*encode(&message).get(VARIANT_AT)?, kind)))
                .collect()
        });
        bytes
            .get(VARIANT_AT)
            .and_then(|variant| kinds.get(variant))
            .copied()
            .unwrap_or(MessageKind::Other)
    }
}

/// Where the number of a packed message's variant stands.
const VARIANT_AT: usize = 1;

/// A message of each variant that has a kind of its own.
fn samples() -> Vec<(Message, MessageKind)> {
    let status = Message::Status {
        status: ProxyStatus::default(),
        coordinator_time_ms: None,
    };
    let list = BackendList::default();
    vec![
        (status, MessageKind::Status),
        (Message::CountReport(Vec::new()), MessageKind::CountReport),
        (Message::RequestBackends, MessageKind::Pull),
        (Message::UpdateAck { number: 0 }, MessageKind::Ack),
        (
            Message::Heartbeat(Heartbeat::default()),
            MessageKind::Heartbeat,
        ),
        (
            Message::ConfigUpdate {
                number: 0,
                items: Vec::new(),
            },
            MessageKind::ConfigUpdate,
        ),
        (
            Message::BackendUpdate {
                number: 0,
                list,
                page: 0,
                pages: 1,
            },
            MessageKind::BackendUpdate,
        ),
        (
            Message::CountTotals {
                term: 0,
                totals: Vec::new(),
            },
            MessageKind::CountTotals,
        ),
        (Message::ConfigChanged, MessageKind::Transfer),
        (
            Message::Transfer(TransferMessage::Compare {
                round: 0,
                group_digests: Vec::new(),
            }),
            MessageKind::Transfer,
        ),
    ]
}

const LENGTH_BYTES: u64 = 4;
const KINDS: usize = MessageKind::ALL.len();
#[allow(clippy::declare_interior_mutable_const)]
const ZERO: AtomicU64 = AtomicU64::new(0);
/// By direction and kind: messages, bytes.
static MESSAGES: [AtomicU64; 2 * KINDS] = [ZERO; 2 * KINDS];
static BYTES: [AtomicU64; 2 * KINDS] = [ZERO; 2 * KINDS];

fn slot(direction: MessageDirection, kind: MessageKind) -> usize {
    kind as usize
        + if direction == MessageDirection::Out {
            KINDS
        } else {
            0
        }
}

fn count(direction: MessageDirection, bytes: &[u8]) {
    let slot = slot(direction, MessageKind::of_packed(bytes));
    MESSAGES[slot].fetch_add(1, Ordering::Relaxed);
    BYTES[slot].fetch_add(bytes.len() as u64 + LENGTH_BYTES, Ordering::Relaxed);
}

/// From now on all links of this process are counted.
pub fn start() {
    link::set_observer(count);
}

/// All counts at one moment.
#[derive(Clone, Debug)]
pub struct Reading {
    messages: Vec<u64>,
    bytes: Vec<u64>,
}

/// Messages and bytes between two readings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Messages.
    pub messages: u64,
    /// Bytes, with the length before each message.
    pub bytes: u64,
}

impl Reading {
    /// The counts now.
    pub fn now() -> Self {
        let all = |of: &[AtomicU64]| of.iter().map(|n| n.load(Ordering::Relaxed)).collect();
        Reading {
            messages: all(&MESSAGES),
            bytes: all(&BYTES),
        }
    }

    /// Messages of a kind since an earlier reading.
    pub fn since(&self, before: &Reading, direction: MessageDirection, kind: MessageKind) -> Flow {
        let slot = slot(direction, kind);
        Flow {
            messages: self.messages[slot] - before.messages[slot],
            bytes: self.bytes[slot] - before.bytes[slot],
        }
    }

    /// Bytes of all kinds since an earlier reading.
    pub fn bytes_since(&self, before: &Reading, direction: MessageDirection) -> u64 {
        MessageKind::ALL
            .iter()
            .map(|kind| self.since(before, direction, *kind).bytes)
            .sum()
    }
}
