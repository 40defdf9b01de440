//! Commands, and how they change the configuration.

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
    /// The newest commit known before the caller was asked whether it still waits. If an item of the command was written
    /// later, the caller may have been given another answer by another replica since.
    pub(super) as_of: ProposalNumber,
}

impl PendingCommand {
    /// Returns the command's items that were written after `as_of`.
    pub(super) fn items_written_since(&self, snapshot: &ConfigSnapshot) -> Vec<Item> {
        let keys = match &self.command {
            Command::Read => Vec::new(),
            Command::Change(change) => change.items.iter().map(|item| item.key.clone()).collect(),
            Command::Evacuate { zone, .. } => vec![evacuation_key(zone)],
        };
        let items = keys.iter().filter_map(|key| snapshot.get(key));
        let written_since = items.filter(|item| item.proposal_number > self.as_of);
        written_since.cloned().collect()
    }
}

fn evacuation_key(zone: &str) -> ItemKey {
    ItemKey {
        kind: ItemKind::Evacuation,
        name: zone.into(),
    }
}

/// Returns the items of a snapshot that differ from the committed ones.
pub(super) fn uncommitted<'a>(
    snapshot: &'a ConfigSnapshot,
    committed: &'a ConfigSnapshot,
) -> impl Iterator<Item = &'a Item> {
    let items = snapshot.items().values();
    items.filter(move |item| committed.get(&item.key) != Some(item))
}

/// The result of applying a command.
pub(super) enum Outcome {
    /// The command changes the configuration to this one.
    Applied(ConfigSnapshot),
    /// The command changes nothing, but the present content of an item is written again. The reply must not be sent
    /// before this is committed.
    Confirmed {
        next: ConfigSnapshot,
        reply: CommandReply,
    },
    /// Nothing is written.
    Unchanged(CommandReply),
    /// The command is not applied, because an item of it was written after its caller was last known to wait.
    Outdated,
}

/// Applies commands within one round.
pub(super) struct CommandApplier<'a> {
    /// The configuration before the command.
    pub(super) snapshot: &'a ConfigSnapshot,
    /// The number under which the command's items are proposed.
    pub(super) proposal_number: ProposalNumber,
}

impl CommandApplier<'_> {
    /// Applies a command to the whole configuration. The reply to a read has no items: the caller adds the items in
    /// force after all commands of the round.
    ///
    /// Other copies of the command may exist: forwarded to a replica that is stalled, or accepted by a minority. An
    /// answer that such a copy could contradict later is therefore accompanied by a write, which supersedes the accepted
    /// copies and makes the others outdated.
    pub(super) fn apply(&self, pending: &PendingCommand) -> Outcome {
        let outcome = match &pending.command {
            Command::Read => Outcome::Unchanged(CommandReply::Config(Vec::new())),
            Command::Change(change) => self.apply_change(change),
            Command::Evacuate { zone, evacuated } => self.apply_evacuation(zone, *evacuated),
        };
        match outcome {
            Outcome::Applied(_) if !pending.items_written_since(self.snapshot).is_empty() => {
                Outcome::Outdated
            }
            outcome => outcome,
        }
    }

    fn apply_change(&self, change: &ConfigChange) -> Outcome {
        if let Err(error) = change.validate_items() {
            // No replica ever proposes such a change.
            return Outcome::Unchanged(error.into());
        }
        let items = self.snapshot.effective_items(change);
        if let Err(error) = self.check_versions(change) {
            return self.reject(&items, error);
        }
        if items.is_empty() {
            // All items of the change are in force or superseded. They were valid when committed, so a repeated change
            // is acknowledged without validating it against the present configuration.
            return Outcome::Unchanged(CommandReply::Done);
        }
        let mut next = self.snapshot.clone();
        for item in &items {
            next.merge(Item {
                proposal_number: self.proposal_number,
                ..item.clone()
            });
        }
        match validate(&next, change) {
            Ok(()) => Outcome::Applied(next),
            Err(error) => self.reject(&items, error),
        }
    }

    /// Checks that no version in the change is in force with different content. An item of a lower version than the one
    /// in force is superseded and passes, because the content of that version is no longer known.
    fn check_versions(&self, change: &ConfigChange) -> Result<(), InvalidConfig> {
        // The removal of version 0 of an item changes nothing.
        for item in change.items.iter().filter(|item| !item.is_unset()) {
            let in_force = self.snapshot.get(&item.key);
            let has_other_content = |known: &&Item| {
                known.version == item.version && known.body != item.body && !known.is_unset()
            };
            if in_force.filter(has_other_content).is_some() {
                let reason = format!("r{} is already in use for different content", item.version);
                return Err(InvalidConfig::item(&item.key.name, reason));
            }
        }
        Ok(())
    }

    /// Rejects a change. A change without effective items needs no write: versions only rise, so no copy of it can take
    /// effect later. Otherwise one of these items is enough, because every copy of the change contains it.
    fn reject(&self, effective_items: &[Item], error: InvalidConfig) -> Outcome {
        let reply = CommandReply::from(error);
        match effective_items.first() {
            Some(item) => Outcome::Confirmed {
                next: self.with_item_confirmed(&item.key),
                reply,
            },
            None => Outcome::Unchanged(reply),
        }
    }

    fn apply_evacuation(&self, zone: &str, evacuated: bool) -> Outcome {
        let key = evacuation_key(zone);
        let known = self.snapshot.get(&key);
        let is_evacuated = known.is_some_and(|item| !item.is_removed());
        if is_evacuated == evacuated {
            // The opposite command may have been accepted by a minority.
            return Outcome::Confirmed {
                next: self.with_item_confirmed(&key),
                reply: CommandReply::Done,
            };
        }
        let version = known.map_or(1, |item| item.version + 1);
        let mut next = self.snapshot.clone();
        next.merge(Item {
            key,
            version,
            proposal_number: self.proposal_number,
            body: evacuated.then(|| b"true".to_vec()),
        });
        Outcome::Applied(next)
    }

    /// Returns the configuration with the present content of one item written again, under the number of this command.
    /// An item written in this round has a number that is high enough, and keeps that of its own call.
    fn with_item_confirmed(&self, key: &ItemKey) -> ConfigSnapshot {
        let mut next = self.snapshot.clone();
        let item = next.get(key).cloned();
        let item = item.unwrap_or_else(|| Item::unset(key.clone(), ProposalNumber::default()));
        if !item.proposal_number.is_of_same_round(self.proposal_number) {
            next.insert(Item {
                proposal_number: self.proposal_number,
                ..item
            });
        }
        next
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
