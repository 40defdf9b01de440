//! What a command does to the configuration, and which proposals left undecided may stand beside what was decided.

use damsonbeam_control::items::{Ballot, Change, ConfigSnapshot, Invalid, Item, Key, Kind};
use damsonbeam_control::messages::{Command, CommandReply};

/// The items of a snapshot that are not so decided.
pub(super) fn undecided<'a>(
    snapshot: &'a ConfigSnapshot,
    decided: &'a ConfigSnapshot,
) -> impl Iterator<Item = &'a Item> {
    snapshot
        .items()
        .values()
        .filter(move |i| decided.get(&i.key) != Some(i))
}

/// Leftovers of writes that were given up may clash with what was decided without them: they go, oldest first.
/// What was decided never clashes, for each write was checked against all decided before it.
pub(super) fn settle(snapshot: &mut ConfigSnapshot, decided: &ConfigSnapshot) {
    while snapshot.check().is_err() {
        let mut left: Vec<(Ballot, Key)> = undecided(snapshot, decided)
            .filter(|i| !i.key.kind.is_internal())
            .map(|i| (i.ballot, i.key.clone()))
            .collect();
        left.sort_unstable();
        let Some(first) = left.first().cloned() else {
            return;
        };
        let without = |key: &Key| {
            let mut b = snapshot.clone();
            match decided.get(key) {
                Some(known) => b.set(known.clone()),
                None => b.remove(key),
            }
            b
        };
        let cure = left
            .iter()
            .map(|(_, key)| without(key))
            .find(|b| b.check().is_ok());
        *snapshot = cure.unwrap_or_else(|| without(&first.1));
    }
}

/// Whether an item's version stands for another content, in force or in the same call. An item of a lower version than
/// the one in force is overtaken, which is no matter: nobody knows any more what that version stood for.
fn is_taken(snapshot: &ConfigSnapshot, change: &Change, item: &Item) -> bool {
    let differs = |other: &Item| {
        (&other.key, other.version) == (&item.key, item.version) && other.body != item.body
    };
    snapshot.get(&item.key).is_some_and(differs) || change.items.iter().any(differs)
}

/// An order on the whole as it stands: what stands after it, and what its caller is told.
pub(super) fn apply(
    snapshot: &ConfigSnapshot,
    order: &Command,
    ballot: Ballot,
) -> (Option<ConfigSnapshot>, CommandReply) {
    match order {
        Command::Read => (None, CommandReply::Config(Vec::new())),
        Command::Change(change) => {
            if let Some(item) = change.items.iter().find(|i| is_taken(snapshot, change, i)) {
                let why = format!("r{} was given to another content", item.version);
                return (None, Invalid::Item(item.key.name.clone(), why).into());
            }
            let news = snapshot.news(change);
            if news.is_empty() {
                // All of it is in force or overtaken: it was valid when it was taken, whatever came since.
                return (None, CommandReply::Done);
            }
            let mut next = snapshot.clone();
            for item in news {
                next.merge(Item { ballot, ..item });
            }
            let copies = change.items.iter().any(|i| i.key.kind == Kind::Copy);
            match next
                .check()
                .and_then(|()| if copies { next.check_copies() } else { Ok(()) })
            {
                Ok(()) => (Some(next), CommandReply::Done),
                Err(e) => (None, e.into()),
            }
        }
        Command::Evacuate { zone, on } => {
            let key = Key {
                kind: Kind::Evacuation,
                name: zone.clone(),
            };
            let known = snapshot.get(&key);
            if known.is_some_and(|i| i.body.is_some()) == *on {
                return (None, CommandReply::Done);
            }
            let version = known.map_or(1, |i| i.version + 1);
            let mut next = snapshot.clone();
            next.merge(Item {
                key,
                version,
                ballot,
                body: on.then(|| b"true".to_vec()),
            });
            (Some(next), CommandReply::Done)
        }
    }
}
