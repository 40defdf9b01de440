//! The proxy. Free of I/O: what a request's route and tenant are (`chart`), the shared count as seen from here
//! (`toll`), the budget of repeats (`purse`), cold backends (`thaw`), the list as the module takes it (`stock`).
//! `speech` is the protocol, `desk` feeds the decision module, `news` holds the links to the wardens.

pub mod chart;
pub mod copies;
pub mod crier;
pub mod desk;
pub mod ledger;
pub mod news;
pub mod purse;
pub mod speech;
pub mod stock;
pub mod thaw;
pub mod toll;
