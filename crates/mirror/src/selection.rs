//! Who is copied: by a keyed hash of the caller, so that every proxy chooses the same, whoever was chosen stays so while
//! the share grows, and nothing of the caller's key is kept.

use std::collections::HashMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use damsonbeam_control::config::{MirrorRule, SelectionKey, TrialInstance};
use siphasher::sip::SipHasher24;

/// A caller as far as anybody has to tell it from others: a hash by the rule's name.
pub type Caller = u64;

/// The same at every proxy and in every life: by the rule's name and the caller alone, so that another version of a rule
/// chooses the same, and two rules choose apart.
pub fn caller(rule: &MirrorRule, tenant: &str, key: &str) -> Caller {
    let mut hash = SipHasher24::new_with_keys(0x6d75_6d6d_6572, rule.name.len() as u64);
    hash.write(rule.name.as_bytes());
    hash.write_u8(0);
    hash.write(match rule.select_by {
        SelectionKey::Tenant => tenant.as_bytes(),
        SelectionKey::Caller => key.as_bytes(),
    });
    hash.finish()
}

/// Whether a rule mirrors the requests of a caller.
pub fn is_chosen(rule: &MirrorRule, caller: Caller) -> bool {
    (caller as f64) < rule.share * 2f64.powi(64)
}

/// Rules in force. A new version takes the old one's place at its own moment, by the common time, so that all proxies that
/// know it switch together; one that learns of it late marks its copies with the version it has.
#[derive(Debug, Default)]
pub struct ActiveRules {
    rules: HashMap<String, (Option<MirrorRule>, Option<MirrorRule>)>,
}

impl ActiveRules {
    /// The rules as they stand; what is gone is gone at once.
    pub fn update(&mut self, rules: Vec<MirrorRule>, common_ms: u64) {
        self.rules
            .retain(|name, _| rules.iter().any(|r| r.name == *name));
        for rule in rules {
            let (now, next) = self.rules.entry(rule.name.clone()).or_default();
            let known = [&*now, &*next]
                .into_iter()
                .flatten()
                .any(|k| k.version >= rule.version);
            if !known {
                if next.as_ref().is_some_and(|n| n.from_ms <= common_ms) {
                    *now = next.take();
                }
                *next = Some(rule);
            }
        }
    }

    /// The rules by which that service's requests are copied at that time.
    pub fn rules_for(&mut self, service: &str, common_ms: u64) -> Vec<&MirrorRule> {
        for (now, next) in self.rules.values_mut() {
            if next.as_ref().is_some_and(|n| n.from_ms <= common_ms) {
                *now = next.take();
            }
        }
        let rules = self.rules.values().filter_map(|r| r.0.as_ref());
        let on =
            |r: &&MirrorRule| r.service == service && (r.until_ms == 0 || common_ms < r.until_ms);
        rules.filter(on).collect()
    }

    /// Whether there is no rule.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// The names of the rules.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.rules.keys().map(String::as_str)
    }
}

/// The instance that a caller's copies go to: always the same while the list stands, of the regions that its homes allow.
pub fn instance<'a>(
    rule: &'a MirrorRule,
    caller: Caller,
    homes: &dyn Fn(&str) -> bool,
    is_real: &dyn Fn(SocketAddr) -> bool,
) -> Option<(&'a TrialInstance, SocketAddr)> {
    let all: Vec<(&TrialInstance, SocketAddr)> = rule
        .instances
        .iter()
        .filter(|t| homes(&t.region))
        .filter_map(|t| Some((t, t.address(is_real)?)))
        .collect();
    (!all.is_empty()).then(|| all[(caller >> 32) as usize % all.len()])
}

/// How long a copy may take: nobody waits for it.
pub const COPY_TIMEOUT: Duration = Duration::from_secs(10);
