//! Applies commands to the configuration, and drops uncommitted items that conflict with committed ones.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{
    ConfigChange, ConfigSnapshot, InvalidConfig, Item, ItemKey, ItemKind, ProposalNumber,
};
use damsonbeam_control::messages::{Command, CommandReply};

/// The recipient of the reply to a command.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
pub(super) enum Requester {
    /// The registry on this machine.
    Local {
        /// The registry's number for the command.
        number: u64,
    },
    /// Another replica, which forwarded the command.
    Remote {
        ip: Ip,
        /// The incarnation of the replica, and its number for the command.
        incarnation: u64,
        number: u64,
    },
}

/// A command that is not answered yet.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(super) struct PendingCommand {
    pub(super) requester: Requester,
    pub(super) command: Command,
    /// When this replica received the command.
    pub(super) received_at: Duration,
    /// From this time on the command must not be applied.
    pub(super) expires_at: Duration,
    /// The command was forwarded and reclaimed after a timeout: another replica may apply it as well.
    pub(super) was_forwarded: bool,
}

/// Returns the items of a snapshot that differ from the committed ones.
pub(super) fn uncommitted<'a>(
    snapshot: &'a ConfigSnapshot,
    committed: &'a ConfigSnapshot,
) -> impl Iterator<Item = &'a Item> {
    let items = snapshot.items().values();
    items.filter(move |item| committed.get(&item.key) != Some(item))
}

/// Reverts uncommitted items until the snapshot is valid. Items of abandoned rounds may conflict with items committed
/// since. Each pass reverts the item with the lowest proposal number whose removal alone makes the snapshot valid, or,
/// if there is none, the item with the lowest number. Committed items never conflict with each other, because each
/// proposal was validated against everything committed before it. Returns the reverted items.
pub(super) fn revert_conflicting_items(
    snapshot: &mut ConfigSnapshot,
    committed: &ConfigSnapshot,
) -> Vec<Item> {
    let before = snapshot.clone();
    while snapshot.validate().is_err() {
        let uncommitted_items = uncommitted(snapshot, committed);
        let uncommitted_items = uncommitted_items.filter(|item| !item.key.kind.is_internal());
        let mut uncommitted_items: Vec<(ProposalNumber, ItemKey)> = uncommitted_items
            .map(|item| (item.proposal_number, item.key.clone()))
            .collect();
        uncommitted_items.sort_unstable();
        let Some((_, oldest)) = uncommitted_items.first() else {
            break;
        };
        let candidates = uncommitted_items
            .iter()
            .map(|(_, key)| with_committed_item(snapshot, key, committed));
        let mut valid_candidates = candidates.filter(|candidate| candidate.validate().is_ok());
        let next = valid_candidates
            .next()
            .unwrap_or_else(|| with_committed_item(snapshot, oldest, committed));
        *snapshot = next;
    }
    uncommitted(&before, snapshot).cloned().collect()
}

/// Returns the snapshot with one item reverted to its committed state.
fn with_committed_item(
    snapshot: &ConfigSnapshot,
    key: &ItemKey,
    committed: &ConfigSnapshot,
) -> ConfigSnapshot {
    let mut snapshot = snapshot.clone();
    match committed.get(key) {
        Some(item) => snapshot.insert(item.clone()),
        None => snapshot.remove(key),
    }
    snapshot
}

/// The result of applying a command.
pub(super) struct Outcome {
    /// The configuration after the command; `None` if the command changes nothing.
    pub(super) next: Option<ConfigSnapshot>,
    pub(super) reply: CommandReply,
}

impl Outcome {
    fn unchanged(reply: CommandReply) -> Self {
        Outcome { next: None, reply }
    }

    fn changed(next: ConfigSnapshot) -> Self {
        Outcome {
            next: Some(next),
            reply: CommandReply::Done,
        }
    }
}

/// Applies a command to the whole configuration. The reply to a read has no items: the caller adds the items in force
/// after all commands of the round.
pub(super) fn apply(
    snapshot: &ConfigSnapshot,
    command: &Command,
    proposal_number: ProposalNumber,
) -> Outcome {
    match command {
        Command::Read => Outcome::unchanged(CommandReply::Config(Vec::new())),
        Command::Change(change) => apply_change(snapshot, change, proposal_number),
        Command::Evacuate { zone, evacuated } => {
            apply_evacuation(snapshot, zone, *evacuated, proposal_number)
        }
    }
}

fn apply_change(
    snapshot: &ConfigSnapshot,
    change: &ConfigChange,
    proposal_number: ProposalNumber,
) -> Outcome {
    let reused = change
        .items
        .iter()
        .find(|item| reuses_version(snapshot, change, item));
    if let Some(item) = reused {
        let reason = format!("r{} is already in use for different content", item.version);
        let error = InvalidConfig::item(&item.key.name, reason);
        return Outcome::unchanged(error.into());
    }
    let items = snapshot.effective_items(change);
    if items.is_empty() {
        // All items of the change are in force or superseded. They were valid when committed, so a repeated change is
        // acknowledged without validating it against the present configuration.
        return Outcome::unchanged(CommandReply::Done);
    }
    let mut next = snapshot.clone();
    for item in items {
        next.merge(Item {
            proposal_number,
            ..item
        });
    }
    match validate(&next, change) {
        Ok(()) => Outcome::changed(next),
        Err(error) => Outcome::unchanged(error.into()),
    }
}

/// Validates the configuration. Mirror rules are validated only if the change contains some.
fn validate(next: &ConfigSnapshot, change: &ConfigChange) -> Result<(), InvalidConfig> {
    next.validate()?;
    let is_mirror_rule = |item: &Item| item.key.kind == ItemKind::MirrorRule;
    if change.items.iter().any(is_mirror_rule) {
        next.validate_mirror_rules()?;
    }
    Ok(())
}

/// Returns whether an item's version is already used for different content, in force or in the same change. An item of
/// a lower version than the one in force is superseded and passes, because the content of that version is no longer
/// known.
fn reuses_version(snapshot: &ConfigSnapshot, change: &ConfigChange, item: &Item) -> bool {
    let has_different_content = |other: &Item| {
        other.key == item.key && other.version == item.version && other.body != item.body
    };
    let in_force = snapshot.get(&item.key);
    in_force.is_some_and(has_different_content) || change.items.iter().any(has_different_content)
}

fn apply_evacuation(
    snapshot: &ConfigSnapshot,
    zone: &str,
    evacuated: bool,
    proposal_number: ProposalNumber,
) -> Outcome {
    let key = ItemKey {
        kind: ItemKind::Evacuation,
        name: zone.into(),
    };
    let known = snapshot.get(&key);
    let is_evacuated = known.is_some_and(|item| !item.is_removed());
    if is_evacuated == evacuated {
        return Outcome::unchanged(CommandReply::Done);
    }
    let version = known.map_or(1, |item| item.version + 1);
    let mut next = snapshot.clone();
    next.merge(Item {
        key,
        version,
        proposal_number,
        body: evacuated.then(|| b"true".to_vec()),
    });
    Outcome::changed(next)
}
