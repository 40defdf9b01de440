//! The proxy: it takes clients' requests, has the decision module choose what becomes of each, and forwards them to
//! backends. What it decides by, it gets from the registries. It is not for reading the platform's list or storing the
//! configuration.
//!
//! In reading order:
//!
//! - free of I/O: [`routing_table`] (a request's route and tenant), [`quota`] (the shared counts as seen from here),
//!   [`retry_budget`], [`slow_start`], [`load_reports`], [`backend_pool`] (the backends as the module takes them),
//!   [`coordinator`], [`config_transfer`], [`freshness`] (whether what the registries sent may be served with),
//!   [`shutdown`], [`unserved`] (the account of what was not served)
//! - [`protocol`]: what clients and backends speak; [`dispatch`]: the decision modules
//! - [`control_client`]: the connections to the registries; [`mirroring`]: mirrored requests
//! - [`process`]: one proxy process, from start to exit
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod backend_pool;
pub mod config_transfer;
pub mod control_client;
pub mod coordinator;
pub mod dispatch;
pub mod freshness;
pub mod load_reports;
pub mod mirroring;
pub mod process;
pub mod protocol;
pub mod quota;
pub mod retry_budget;
pub mod routing_table;
pub mod shutdown;
pub mod slow_start;
pub mod unserved;
