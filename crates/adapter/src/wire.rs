//! The simulator's wire, as it stands in a line of JSON.

use damsonbeam_settings::Facts;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "clock-ns")]
    pub clock: u64,
    pub happened: Vec<Happened>,
}

#[derive(Serialize, Default)]
pub struct Reply {
    pub output: Vec<Output>,
}

#[derive(Deserialize)]
#[serde(tag = "t", rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Happened {
    Begin {
        gateway_id: u32,
        rng_seed: u64,
        facts: Box<Facts>,
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
        #[serde(default = "one")]
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

fn one() -> f64 {
    1.0
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    Update,
    Replace,
    Restored,
    Unavailable,
    #[serde(other)]
    Unknown,
}

#[derive(Deserialize, Clone, Copy)]
pub enum Disposition {
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

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    #[serde(default)]
    pub online_since_ns: u64,
    #[serde(default)]
    pub family_type: u32,
    pub health: String,
    #[serde(default)]
    pub unit_group: u32,
    #[serde(default = "one")]
    pub capacity_hint: f64,
    #[serde(default)]
    pub failure_domain: u32,
    pub backend: u32,
}

#[derive(Serialize)]
#[serde(tag = "t", rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Output {
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
