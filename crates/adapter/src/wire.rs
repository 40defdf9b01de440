//! The simulator's message format, one JSON object per line. The names of fields and variants are defined by the
//! simulator.

use damsonbeam_settings::SettingsFile;
use serde::{Deserialize, Serialize};

/// An input line: a batch of events.
#[derive(Deserialize)]
pub(crate) struct Batch {
    /// Time of all events in the batch, in nanoseconds.
    #[serde(rename = "clock-ns")]
    pub clock_ns: u64,
    /// Events in the order in which they happened.
    pub happened: Vec<WireEvent>,
}

/// An output line: the actions that result from one batch.
#[derive(Serialize, Default)]
pub(crate) struct Reply {
    /// Actions in the order in which they are to be performed.
    pub output: Vec<WireAction>,
}

/// An event of the simulator.
#[derive(Deserialize)]
#[serde(tag = "t", rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub(crate) enum WireEvent {
    Begin {
        gateway_id: u32,
        rng_seed: u64,
        facts: Box<SettingsFile>,
    },
    Shutdown {
        gateway_id: u32,
    },
    Register {
        page: u32,
        rows_in: Vec<Row>,
    },
    RosterChange {
        gateway_id: u32,
        #[serde(default)]
        page: Option<u32>,
        form: Form,
    },
    Request {
        gateway_id: u32,
        msg_id: u64,
        valid_until_ns: u64,
        cls: usize,
        #[serde(default)]
        mutates: bool,
        #[serde(default)]
        repeat: bool,
        #[serde(default)]
        first_door: u32,
        #[serde(default)]
        account: String,
        #[serde(default = "default_capacity")]
        units: f64,
        #[serde(default)]
        width: u32,
        #[serde(default)]
        package: usize,
    },
    FirstByte {
        gateway_id: u32,
        msg_id: u64,
        r#try: u32,
        backend: u32,
        wait_time_ns: u64,
    },
    Response {
        gateway_id: u32,
        msg_id: u64,
        r#try: u32,
        backend: u32,
        disposition: Disposition,
        wait_time_ns: u64,
        #[serde(default)]
        done_flag: bool,
        #[serde(default)]
        seen_use: u64,
        #[serde(default)]
        cost: f64,
        #[serde(default)]
        server_stats: Vec<f64>,
    },
    Left {
        gateway_id: u32,
        msg_id: u64,
    },
    DeadlineHit {
        gateway_id: u32,
        cookie: String,
    },
    Checked {
        gateway_id: u32,
        backend: u32,
        wait_time_ns: u64,
        disposition: Disposition,
        #[serde(default)]
        server_stats: Vec<f64>,
    },
    PeerData {
        gateway_id: u32,
        by: u32,
        raw: String,
    },
    Total {
        gateway_id: u32,
        wait_time_ns: u64,
        #[serde(default)]
        sum: f64,
        disposition: Disposition,
        tally_id: String,
    },
    #[serde(other)]
    Unknown,
}

fn default_capacity() -> f64 {
    1.0
}

/// How a backend list changes the previous one.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Form {
    Update,
    Replace,
    Restored,
    Unavailable,
    #[serde(other)]
    Unknown,
}

/// The outcome of an attempt, a health check or a counter call.
#[derive(Deserialize, Clone, Copy)]
pub(crate) enum Disposition {
    Ok,
    Failed,
    QueueFull,
    TimedOut,
    ConnectError,
    ResetByPeer,
    Canceled,
    Ignored,
    #[serde(other)]
    Unknown,
}

/// One row of a backend list.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Row {
    #[serde(default)]
    pub online_since_ns: u64,
    #[serde(default)]
    pub family_type: u32,
    pub health: String,
    #[serde(default)]
    pub unit_group: u32,
    #[serde(default = "default_capacity")]
    pub capacity_hint: f64,
    #[serde(default)]
    pub failure_domain: u32,
    pub backend: u32,
}

/// An action that the simulator performs for a gateway.
#[derive(Serialize)]
#[serde(tag = "t", rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub(crate) enum WireAction {
    Place {
        gateway_id: u32,
        msg_id: u64,
        backend: u32,
        #[serde(skip_serializing_if = "Option::is_none")]
        timeout_ns: Option<u64>,
    },
    Abandon {
        gateway_id: u32,
        msg_id: u64,
        r#try: u32,
    },
    PushBack {
        gateway_id: u32,
        msg_id: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        stay_away_ns: Option<u64>,
    },
    GiveUp {
        gateway_id: u32,
        msg_id: u64,
    },
    Schedule {
        gateway_id: u32,
        wait_ns: u64,
        cookie: String,
    },
    HealthCheck {
        gateway_id: u32,
        backend: u32,
    },
    LetGo {
        gateway_id: u32,
        backend: u32,
    },
    Signal {
        gateway_id: u32,
        target: i64,
        raw: String,
    },
    Count {
        gateway_id: u32,
        tally_id: String,
        step: f64,
        lifetime_ns: u64,
    },
    Observe {
        gateway_id: u32,
        on: bool,
    },
    Resolve {
        gateway_id: u32,
    },
    Remark {
        gateway_id: u32,
        what: String,
    },
}
