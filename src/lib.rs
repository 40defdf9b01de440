//! damsonbeam: the decisions of a gateway that meters many customers' use of one shared service.
//!
//! A front end creates one [`Rules`] for each gateway and hands it every [`interface::Event`] in
//! order of arrival; what comes back is the list of [`interface::Action`]s to carry out at once.
//! The library does no I/O, reads no clock and keeps no global state.
//!
//! `interface` is what both sides say to each other; `rules` holds every decision, a file for each concern;
//! `settings_update` keeps the meaning of positions while settings change.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod interface;
pub mod rules;
mod settings_update;

pub use rules::Rules;
