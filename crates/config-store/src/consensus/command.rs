//! What a command does to the configuration, and which uncommitted leftovers may stand beside what is committed.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{
    ConfigChange, ConfigSnapshot, InvalidConfig, Item, ItemKey, ItemKind, ProposalNumber,
};
use damsonbeam_control::messages::{Command, CommandReply};

/// Who is to be told what came of a command.
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
    /// After that it must not be carried out.
    pub(super) expires_at: Duration,
    /// It was forwarded and taken back: another replica may carry it out, too.
    pub(super) was_forwarded: bool,
}

/// The items of a snapshot that are not so committed.
pub(super) fn uncommitted<'a>(
    snapshot: &'a ConfigSnapshot,
    committed: &'a ConfigSnapshot,
) -> impl Iterator<Item = &'a Item> {
    let items = snapshot.items().values();
    items.filter(move |item| committed.get(&item.key) != Some(item))
}

/// Leftovers of rounds that were given up may clash with what was committed without them: they go, oldest first. What
/// is committed never clashes, for each proposal was validated against everything committed before it.
pub(super) fn drop_clashing_leftovers(snapshot: &mut ConfigSnapshot, committed: &ConfigSnapshot) {
    while snapshot.validate().is_err() {
        let leftovers = uncommitted(snapshot, committed);
        let leftovers = leftovers.filter(|item| !item.key.kind.is_internal());
        let mut leftovers: Vec<(ProposalNumber, ItemKey)> = leftovers
            .map(|item| (item.proposal_number, item.key.clone()))
            .collect();
        leftovers.sort_unstable();
        let Some((_, oldest)) = leftovers.first() else {
            return;
        };
        let candidates = leftovers
            .iter()
            .map(|(_, key)| without(snapshot, key, committed));
        let mut valid = candidates.filter(|candidate| candidate.validate().is_ok());
        let next = valid
            .next()
            .unwrap_or_else(|| without(snapshot, oldest, committed));
        *snapshot = next;
    }
}

/// The snapshot with one item as it is committed.
fn without(snapshot: &ConfigSnapshot, key: &ItemKey, committed: &ConfigSnapshot) -> ConfigSnapshot {
    let mut snapshot = snapshot.clone();
    match committed.get(key) {
        Some(item) => snapshot.insert(item.clone()),
        None => snapshot.remove(key),
    }
    snapshot
}

/// What a command brings about.
pub(super) struct Outcome {
    /// The configuration after the command; `None` where it stays as it is.
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

/// Applies a command to the whole configuration. A read is replied to with no items: the caller adds those that are in
/// force after all commands of its round.
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
        let reason = format!("r{} was given to another content", item.version);
        let error = InvalidConfig::item(&item.key.name, reason);
        return Outcome::unchanged(error.into());
    }
    let items = snapshot.effective_items(change);
    if items.is_empty() {
        // All of it is in force or overtaken: it was valid when it was committed, whatever came since.
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

/// Mirror rules are validated only where the change has some.
fn validate(next: &ConfigSnapshot, change: &ConfigChange) -> Result<(), InvalidConfig> {
    next.validate()?;
    let is_mirror_rule = |item: &Item| item.key.kind == ItemKind::MirrorRule;
    if change.items.iter().any(is_mirror_rule) {
        next.validate_mirror_rules()?;
    }
    Ok(())
}

/// Whether an item's version stands for another content, in force or in the same change. An item of a lower version than
/// the one in force is overtaken, which does no harm: nobody knows any more what that version stood for.
fn reuses_version(snapshot: &ConfigSnapshot, change: &ConfigChange, item: &Item) -> bool {
    let is_other_content = |other: &Item| {
        other.key == item.key && other.version == item.version && other.body != item.body
    };
    let in_force = snapshot.get(&item.key);
    in_force.is_some_and(is_other_content) || change.items.iter().any(is_other_content)
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
