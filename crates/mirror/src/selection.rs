//! Selects the callers whose requests are mirrored, by a keyed hash of the caller: every proxy selects the same
//! callers, a selected caller stays selected while the share grows, and the caller's key is not stored.

use std::collections::HashMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use damsonbeam_control::config::{MirrorRule, SelectionKey, TrialInstance};
use siphasher::sip::SipHasher24;

/// The hash that identifies a caller under a rule.
pub type CallerHash = u64;

/// Returns the hash of a caller. The hash depends only on the rule's name and the caller, so it is the same at every
/// proxy and after a restart: all versions of a rule select the same callers, and different rules select independently.
pub fn caller_hash(rule: &MirrorRule, tenant: &str, key: &str) -> CallerHash {
    let mut hash = SipHasher24::new_with_keys(0x6d75_6d6d_6572, rule.name.len() as u64);
    hash.write(rule.name.as_bytes());
    hash.write_u8(0);
    hash.write(match rule.selection_key {
        SelectionKey::Tenant => tenant.as_bytes(),
        SelectionKey::ApiKey => key.as_bytes(),
    });
    hash.finish()
}

/// Returns whether a rule mirrors the requests of a caller.
pub fn is_selected(rule: &MirrorRule, caller: CallerHash) -> bool {
    (caller as f64) < rule.share * 2f64.powi(64)
}

/// The rules in force. A new version replaces the old one at its start by the coordinator time (the coordinator's
/// clock), so that all proxies that know the version switch together. A proxy that learns of it late marks mirrored
/// requests with the version that it still uses.
#[derive(Debug, Default)]
pub struct ActiveRules {
    /// By name, the version in force and the next one.
    rules: HashMap<String, (Option<MirrorRule>, Option<MirrorRule>)>,
}

impl ActiveRules {
    /// Applies the configured rules. A new version takes effect at its start; a removed rule ends at once.
    pub fn update(&mut self, rules: Vec<MirrorRule>, coordinator_ms: u64) {
        self.rules
            .retain(|name, _| rules.iter().any(|rule| rule.name == *name));
        for rule in rules {
            let (current, next) = self.rules.entry(rule.name.clone()).or_default();
            let known = [&*current, &*next]
                .into_iter()
                .flatten()
                .any(|known| known.version >= rule.version);
            if !known {
                if next
                    .as_ref()
                    .is_some_and(|next| next.from_ms <= coordinator_ms)
                {
                    *current = next.take();
                }
                *next = Some(rule);
            }
        }
    }

    /// Returns the rules by which requests of a service are mirrored at the given coordinator time.
    pub fn rules_for(&mut self, service: &str, coordinator_ms: u64) -> Vec<&MirrorRule> {
        for (current, next) in self.rules.values_mut() {
            if next
                .as_ref()
                .is_some_and(|next| next.from_ms <= coordinator_ms)
            {
                *current = next.take();
            }
        }
        let rules = self
            .rules
            .values()
            .filter_map(|versions| versions.0.as_ref());
        let is_active = |rule: &&MirrorRule| {
            rule.service == service && (rule.until_ms == 0 || coordinator_ms < rule.until_ms)
        };
        rules.filter(is_active).collect()
    }

    /// Returns whether there is no rule.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Returns the names of the rules.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.rules.keys().map(String::as_str)
    }
}

/// Returns the trial instance for a caller, and its address: always the same one while the rule's instances stay the
/// same. Only instances in allowed regions, and without the address of a real backend, are considered.
pub fn select_instance<'a>(
    rule: &'a MirrorRule,
    caller: CallerHash,
    is_allowed_region: &dyn Fn(&str) -> bool,
    is_real: &dyn Fn(SocketAddr) -> bool,
) -> Option<(&'a TrialInstance, SocketAddr)> {
    let candidates: Vec<(&TrialInstance, SocketAddr)> = rule
        .instances
        .iter()
        .filter(|trial| is_allowed_region(&trial.region))
        .filter_map(|trial| Some((trial, trial.address(is_real)?)))
        .collect();
    (!candidates.is_empty()).then(|| candidates[(caller >> 32) as usize % candidates.len()])
}

/// Timeout of a mirrored request. The timeout is long because no client waits for the answer.
pub const COPY_TIMEOUT: Duration = Duration::from_secs(10);
