//! The proxy accepts client requests, lets a decision module admit or reject each of them, and forwards admitted
//! requests to backends. Configuration, the backend list and quota data come from the registries: the proxy neither
//! reads the platform's instance list nor stores the configuration.
//!
//! Modules in reading order:
//!
//! - without I/O: [`routing_table`] (finds the route and tenant of a request), [`quota`] (this proxy's view of the
//!   shared counters), [`retry_budget`], [`slow_start`], [`load_reports`], [`backend_pool`] (the backends in the form
//!   that the decision modules take), [`coordinator`], [`config_transfer`], [`freshness`] (whether the data received
//!   from the registries is recent enough to serve requests), [`shutdown`], [`unserved`] (the log of requests that were
//!   not served)
//! - [`protocol`]: the protocols spoken with clients and backends; [`dispatch`]: runs the decision modules
//! - [`control_client`]: the connections to the registries; [`mirroring`]: request mirroring
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
