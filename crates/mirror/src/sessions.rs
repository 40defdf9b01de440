//! What came of the copies: a caller's session is whole or broken; how trial and real answers differ.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;

use crate::budget::DropReason;
use crate::selection::Caller;

/// Callers remembered by rule; more are only counted.
const MAX_CALLERS: usize = 10_000;

/// An answer as far as it is compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Of the whole body, where it was here as a whole.
    pub digest: Option<u64>,
    /// Since the request.
    pub took: Duration,
}

/// A hash of a body, by which answers are compared.
pub fn digest(body: &[u8]) -> u64 {
    use std::hash::Hasher;
    let mut hash = siphasher::sip::SipHasher13::new();
    hash.write(body);
    hash.finish()
}

#[derive(Debug, Default)]
struct RuleTotals {
    copied: u64,
    dropped: BTreeMap<DropReason, u64>,
    answered: u64,
    other_status: u64,
    other_body: u64,
    compared: u64,
    /// RuleTotals of times, in seconds.
    real: f64,
    trial: f64,
    /// Of each caller the copies, and whether any is missing.
    callers: HashMap<Caller, (u64, bool)>,
}

/// The callers whose requests are mirrored.
#[derive(Debug, Default)]
pub struct Sessions {
    rules: BTreeMap<(String, u64), RuleTotals>,
}

impl Sessions {
    /// A request of a caller was mirrored.
    pub fn copied(&mut self, rule: (&str, u64), caller: Caller) {
        let totals = self.totals(rule);
        totals.copied += 1;
        if totals.callers.len() < MAX_CALLERS || totals.callers.contains_key(&caller) {
            totals.callers.entry(caller).or_default().0 += 1;
        }
    }

    /// A request that should have been copied was not: its caller's session is broken.
    pub fn dropped(&mut self, rule: (&str, u64), caller: Caller, why: DropReason) {
        let totals = self.totals(rule);
        *totals.dropped.entry(why).or_default() += 1;
        if totals.callers.len() < MAX_CALLERS || totals.callers.contains_key(&caller) {
            totals.callers.entry(caller).or_default().1 = true;
        }
    }

    /// Both answers are there; `real` is none where the client left before.
    pub fn answered(&mut self, rule: (&str, u64), real: Option<Answer>, trial: Answer) {
        let totals = self.totals(rule);
        totals.answered += 1;
        let Some(real) = real else { return };
        totals.compared += 1;
        totals.other_status += u64::from(real.status != trial.status);
        let bodies = real.digest.zip(trial.digest);
        totals.other_body += u64::from(bodies.is_some_and(|(r, t)| r != t));
        totals.real += real.took.as_secs_f64();
        totals.trial += trial.took.as_secs_f64();
    }

    fn totals(&mut self, (name, version): (&str, u64)) -> &mut RuleTotals {
        self.rules.entry((name.to_owned(), version)).or_default()
    }

    /// As JSON. Callers are told by their hashes, so that reports of several proxies can be joined: one that is broken
    /// anywhere is broken.
    pub fn show(&self) -> String {
        let mut out = String::from("{\"copies\":[");
        for (n, ((name, version), s)) in self.rules.iter().enumerate() {
            let dropped: Vec<String> = s
                .dropped
                .iter()
                .map(|(w, n)| format!("\"{}\":{n}", w.name()))
                .collect();
            let mut callers: Vec<_> = s.callers.iter().collect();
            callers.sort();
            let row = |(c, (copies, broken)): (&Caller, &(u64, bool))| {
                format!("[\"{c:016x}\",{copies},{broken}]")
            };
            let callers: Vec<String> = callers.into_iter().map(row).collect();
            let mean = |sum: f64| sum * 1000.0 / (s.compared as f64).max(1.0);
            write!(
                out,
                "{}\n{{\"rule\":\"{name}\",\"version\":{version},\"copied\":{},\"dropped\":{{{}}},\"answered\":{},\
                 \"compared\":{},\"other_status\":{},\"other_body\":{},\"real_ms\":{:.1},\"trial_ms\":{:.1},\
                 \"callers\":[{}]}}",
                if n > 0 { "," } else { "" },
                s.copied,
                dropped.join(","),
                s.answered,
                s.compared,
                s.other_status,
                s.other_body,
                mean(s.real),
                mean(s.trial),
                callers.join(",")
            )
            .expect("written to a text");
        }
        out + "]}\n"
    }
}
