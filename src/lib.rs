//! damsonbeam: the decision module of a gateway that meters the use of a shared service by many
//! customers.
//!
//! A front end creates one [`Rules`] for each gateway and passes every [`interface::Event`] to it
//! in order of arrival. [`Rules::handle_event`] returns the [`interface::Action`]s to carry out at once. The
//! library does no I/O, reads no clock and keeps no global state.
//!
//! `interface` contains the types shared with the front end, `rules` the decisions with one file
//! for each concern, and `settings_update` the change of settings with stable positions.
#![warn(clippy::too_many_lines, unreachable_pub)]

pub mod interface;
pub mod rules;
mod settings_update;

pub use rules::Rules;
