//! The results of mirroring: whether each caller's session was mirrored completely, and how trial and real answers
//! differ.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;

use crate::budget::DropReason;
use crate::selection::CallerHash;

/// Maximum number of callers recorded per version of a rule. The requests of further callers only count in the totals.
const MAX_CALLERS: usize = 10_000;

/// The compared properties of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Hash of the body; `None` if the body was not received completely.
    pub digest: Option<u64>,
    /// Time from the request to the answer.
    pub took: Duration,
}

/// Returns the hash of a body, by which answers are compared.
pub fn digest(body: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hash = siphasher::sip::SipHasher13::new();
    hash.write(body);
    hash.finish()
}

/// The results of one version of a rule.
#[derive(Debug, Default)]
struct RuleTotals {
    copied: u64,
    dropped: BTreeMap<DropReason, u64>,
    answered: u64,
    other_status: u64,
    other_body: u64,
    compared: u64,
    /// Sum of the times of real answers, in seconds.
    real_sum_s: f64,
    /// Sum of the times of trial answers, in seconds.
    trial_sum_s: f64,
    /// For each caller, the number of mirrored requests, and whether any request was not mirrored.
    callers: HashMap<CallerHash, (u64, bool)>,
}

/// The results of mirroring by rule and version.
#[derive(Debug, Default)]
pub struct Sessions {
    rules: BTreeMap<(String, u64), RuleTotals>,
}

impl Sessions {
    /// Records that a request of a caller was mirrored.
    pub fn record_copied(&mut self, rule: (&str, u64), caller: CallerHash) {
        let totals = self.totals(rule);
        totals.copied += 1;
        if totals.callers.len() < MAX_CALLERS || totals.callers.contains_key(&caller) {
            totals.callers.entry(caller).or_default().0 += 1;
        }
    }

    /// Records that a selected request was not mirrored, or not answered: its caller's session is incomplete.
    pub fn record_dropped(&mut self, rule: (&str, u64), caller: CallerHash, reason: DropReason) {
        let totals = self.totals(rule);
        *totals.dropped.entry(reason).or_default() += 1;
        if totals.callers.len() < MAX_CALLERS || totals.callers.contains_key(&caller) {
            totals.callers.entry(caller).or_default().1 = true;
        }
    }

    /// Records the answer of the trial service, and compares it with the real one. `real` is `None` if the client
    /// closed its connection before the real answer.
    pub fn record_answered(&mut self, rule: (&str, u64), real: Option<Answer>, trial: Answer) {
        let totals = self.totals(rule);
        totals.answered += 1;
        let Some(real) = real else { return };
        totals.compared += 1;
        totals.other_status += u64::from(real.status != trial.status);
        let bodies = real.digest.zip(trial.digest);
        totals.other_body += u64::from(bodies.is_some_and(|(real, trial)| real != trial));
        totals.real_sum_s += real.took.as_secs_f64();
        totals.trial_sum_s += trial.took.as_secs_f64();
    }

    fn totals(&mut self, (name, version): (&str, u64)) -> &mut RuleTotals {
        self.rules.entry((name.to_owned(), version)).or_default()
    }

    /// Returns the results as JSON. Callers are identified by their hashes, so that the reports of several proxies can
    /// be merged: a session that is incomplete at any proxy is incomplete.
    pub fn to_json(&self) -> String {
        let mut out = String::from("{\"copies\":[");
        for (n, ((name, version), totals)) in self.rules.iter().enumerate() {
            let dropped: Vec<String> = totals
                .dropped
                .iter()
                .map(|(reason, n)| format!("\"{}\":{n}", reason.name()))
                .collect();
            let mut callers: Vec<_> = totals.callers.iter().collect();
            callers.sort();
            let row = |(c, (copies, is_incomplete)): (&CallerHash, &(u64, bool))| {
                format!("[\"{c:016x}\",{copies},{is_incomplete}]")
            };
            let callers: Vec<String> = callers.into_iter().map(row).collect();
            let mean_ms = |sum_s: f64| sum_s * 1000.0 / (totals.compared as f64).max(1.0);
            write!(
                out,
                "{}\n{{\"rule\":\"{name}\",\"version\":{version},\"copied\":{},\"dropped\":{{{}}},\"answered\":{},\
                 \"compared\":{},\"other_status\":{},\"other_body\":{},\"real_ms\":{:.1},\"trial_ms\":{:.1},\
                 \"callers\":[{}]}}",
                if n > 0 { "," } else { "" },
                totals.copied,
                dropped.join(","),
                totals.answered,
                totals.compared,
                totals.other_status,
                totals.other_body,
                mean_ms(totals.real_sum_s),
                mean_ms(totals.trial_sum_s),
                callers.join(",")
            )
            .expect("writing to a string cannot fail");
        }
        out + "]}\n"
    }
}
