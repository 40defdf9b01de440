//! The gateway on sockets. It carries events to the module and its actions out, and decides nothing.
//! Files go by peer: clients, backends, the counter, the list, the other gateways; `module` is the actor
//! that owns the rules, `life` the phases from start to exit.

pub mod backends;
pub mod clients;
pub mod clock;
pub mod config;
pub mod counter;
pub mod life;
pub mod list;
pub mod log;
pub mod module;
pub mod peers;
