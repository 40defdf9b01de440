//! Consensus among the replicas of the configuration store, free of I/O.
//!
//! The protocol is Paxos for each configuration item, with one round covering all items. Any voter may act as
//! the proposer of a command. The proposer sends a prepare and waits until a majority has promised its proposal number.
//! The promises carry all items accepted so far; the proposer merges them item by item, and of two proposals for one
//! item it keeps the one with the higher proposal number. It then applies the command to the merged configuration,
//! validates the result, and asks a majority to accept the changed items. There is no log and no leader: items are
//! ordered individually, by version and, within one version, by proposal number. An item is committed once a majority
//! has accepted it; only committed items are acknowledged and sent to the proxies.
//!
//! The items of one operator's call have a proposal number of their own within the round. They are accepted, recovered
//! and superseded together (`recovery`). An answer that a late copy of its command could contradict is accompanied by a
//! write that makes the copy ineffective (`command`).
//!
//! # Membership
//!
//! The voter set is itself an item ([`voters`]): its version is the epoch, and its body lists the voters, each
//! identified by its address and disk id. A replica that has lost its disk gets a new disk id and is therefore not a
//! voter: it no longer knows its promises and is not bound by them. Replicas that are not voters are learners. A change
//! of the voter set adds or removes one voter ([`membership`]); any voter that finds a change due proposes it.
//!
//! No committed item is lost, and no two contents of one version are committed, across epochs `e` and `e + 1`, because:
//!
//! 1. A round belongs to one epoch. Prepare and accept messages name the voter set, and an acceptor answers only if
//!    that set is the latest committed one it knows. The acceptor learns a later set from the message, and answers an
//!    earlier set with a refusal that carries the later one. Answers name the proposal number, which is unique to a
//!    round because it includes the proposer's disk id. So an answer never counts in another epoch.
//! 2. Set `e + 1` is committed under a proposal number `n` only with majorities of both sets, and only after every
//!    accepted but uncommitted item that the prepare of `n` collected has been committed. If a round of `e` with a
//!    lower number committed something, the prepare of `n` collected it; after that prepare the round can commit
//!    nothing more. A round of `e` with a higher number either finds set `e + 1` among the items accepted by a majority
//!    of `e` and must commit that set before its own items, or learns that the set is committed. So every item that `e`
//!    commits is committed before the last proposal of `n`, or is the new set itself.
//! 3. An acceptor accepts a new set only if its committed items equal those of the proposer (`required_digest`). So a
//!    majority of `e + 1` holds everything committed in `e` and has promised `n`. Any majority that promises in `e + 1`
//!    shares a member with it, and therefore reports those items, under a number above `n`.
//! 4. A replica that adopts set `e + 1` after another replica committed it may lack items of `e`. This is safe, because
//!    (3) relies only on the replicas that accepted the set. Committed items may be adopted at any time.
//!
//! A voter that restarts with its disk intact votes immediately: its promises and accepted items are on disk, and any
//! item it missed is held by a majority, which shares a member with the majority that every round asks. It proposes
//! only after its prepare has collected the items that a majority holds.
//!
//! # Modules
//!
//! Data: [`voters`], `durable` (state on disk), `effect` (actions for the caller), `event` (for the log), `command` (how a command changes the
//! configuration), `recovery` (items that earlier rounds left uncommitted),
//! `round` (a proposer's round), `timing` (timeouts and intervals). Behaviour of the [`Replica`]:
//! `replica` (its state and entry points), `acceptor`, `proposer`, `forwarding`, `repair` and `presence`, which applies
//! [`membership`].

mod acceptor;
mod command;
mod durable;
mod effect;
mod event;
mod forwarding;
pub mod membership;
mod presence;
mod proposer;
mod recovery;
mod repair;
mod replica;
mod round;
mod timing;
pub mod voters;

pub use durable::{DurableState, DurableWrite};
pub use effect::Effect;
pub use event::{CommandOrigin, Event, describe_items};
pub use forwarding::Submission;
pub use replica::Replica;
