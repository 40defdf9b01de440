//! Consensus among the replicas of the configuration store, free of I/O.
//!
//! It is Paxos for each item of a set, with all items in one round. Any voter takes a command. It has a majority promise a
//! proposal number; the promises bring it all items accepted so far, which it merges item by item (of two proposals for
//! one item, that with the later number). It applies the command to the whole, validates the result, and has a majority
//! accept what is new. There is no log and no leader: each item stands for itself, by version and, of one version, by
//! proposal number. What a majority has accepted is committed; only that is acknowledged and sent to the proxies.
//!
//! # Membership
//!
//! Who has a vote is itself an item ([`voters`]): its version is the epoch, its body the voters, each by its address
//! and the id of its disk. A replica whose disk was lost has another id and is nobody's voter: it has forgotten what it
//! promised, and does not have to remember. All others only learn. A change adds or removes one voter
//! ([`membership`]), and is proposed by any voter that finds it due.
//!
//! Why no committed item is lost, and no two contents of one version are committed, across epochs `e` and `e + 1`:
//!
//! 1. A round belongs to one epoch. Prepare and accept name the voter set, and an acceptor answers only if that is
//!    the set committed as far as it knows; it learns a later one from them, and refuses an earlier one with the later
//!    along. Answers name the proposal number, which no two rounds share: it includes the id of the proposer's disk. So
//!    none counts across epochs.
//! 2. Set `e + 1` is committed by a number `n` only with majorities of both sets, after all that the round of `n` found
//!    left over was committed. A round of `e` with a lower number that committed something was found by `n`'s prepare,
//!    or can commit nothing after it; a round of `e` with a higher number finds set `e + 1` among what the majority of
//!    `e` accepted, and has to commit it before anything of its own, or learns of it. So all that `e` commits is committed
//!    before `n`'s last proposal, or is the new set itself.
//! 3. An acceptor agrees to a new set only if it holds exactly what the proposer holds as committed
//!    (`required_digest`). So a majority of `e + 1` holds everything committed in `e`, and has promised `n`; any majority
//!    that prepares in `e + 1` shares a member with it, and so finds all of that, by a number above `n`.
//! 4. A replica that adopts set `e + 1` because somebody committed it may itself lack items of `e`: nothing depends on
//!    that, for (3) counts on those that agreed only. What is committed may be adopted at any time.
//!
//! A voter that restarts with its disk votes at once: it keeps its promises and what it accepted, and what
//! it missed is known to a majority, of which every round asks a member. It proposes after its prepare has brought it what
//! any majority holds.
//!
//! # Modules
//!
//! Data: [`voters`], `durable` (what is kept on disk), `effect` (what the caller has to do), `command` (what a command
//! does to the configuration), `round` (a proposer's round), `timing`. Behaviour of the [`Replica`]: `replica` (the state
//! and the two entry points), `acceptor`, `proposer`, `forwarding`, `repair` and `presence`, which applies [`membership`].

mod acceptor;
mod command;
mod durable;
mod effect;
mod forwarding;
pub mod membership;
mod presence;
mod proposer;
mod repair;
mod replica;
mod round;
mod timing;
pub mod voters;

pub use durable::{DurableState, DurableWrite};
pub use effect::Effect;
pub use replica::Replica;
