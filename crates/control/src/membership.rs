//! Which registries there are: probes to a few in turn, second opinions through third parties, suspicion before
//! removal. Free of I/O: time and datagrams come in, datagrams go out.
//!
//! A registry is known by its machine's address. What is said of it carries a number that only it raises: one that
//! hears itself suspected or dead says it is alive with the next number, and so does one that comes back.

use std::collections::BTreeMap;
use std::time::Duration;

use bitcode::{Decode, Encode};

use crate::messages::{GossipBody, Ip};

/// Between two probes of one registry's.
const EVERY: Duration = Duration::from_millis(300);
/// A probe unanswered for this long is asked of others: twice the way there and back between regions.
const FIRST: Duration = Duration::from_millis(250);
/// Unanswered by then, it is suspected.
const SECOND: Duration = Duration::from_millis(700);
/// So long it may clear itself before it is held for dead.
const SUSPECT: Duration = Duration::from_millis(1500);
/// Others asked for a second opinion.
const OPINIONS: usize = 2;
/// A update is passed on so often.
const TELLS: u32 = 8;
/// Updates a datagram: it stays under a packet.
const MAX_UPDATES: usize = 16;
/// The dead are asked now and then: a cut heals, a machine comes back.
const REVISIT: u32 = 4;
/// What has been dead for so long is forgotten.
const FORGET: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum MemberState {
    Alive,
    Suspect,
    Dead,
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MemberUpdate {
    pub ip: Ip,
    pub number: u64,
    pub state: MemberState,
}

#[derive(Debug)]
struct Member {
    number: u64,
    state: MemberState,
    since: Duration,
    tells: u32,
}

#[derive(Debug)]
struct Probe {
    whom: Ip,
    at: Duration,
    asked: bool,
    /// On whose behalf, and by which number.
    behalf: Option<(Ip, u64)>,
}

#[derive(Debug)]
pub struct Members {
    me: Ip,
    number: u64,
    all: BTreeMap<Ip, Member>,
    seeds: Vec<Ip>,
    probes: BTreeMap<u64, Probe>,
    next_no: u64,
    next: Duration,
    turn: usize,
    rounds: u32,
}

/// What changed, for the log.
pub type Change = (Ip, MemberState);

impl Members {
    pub fn new(me: Ip, seeds: Vec<Ip>, now: Duration) -> Self {
        let seeds = seeds.into_iter().filter(|s| *s != me).collect();
        Members {
            me,
            number: 0,
            all: BTreeMap::new(),
            seeds,
            probes: BTreeMap::new(),
            next_no: 0,
            next: now,
            turn: 0,
            rounds: 0,
        }
    }

    /// Those that are not held for dead, this one among them.
    pub fn alive(&self) -> Vec<Ip> {
        let mut out: Vec<Ip> = self
            .all
            .iter()
            .filter(|(_, m)| m.state != MemberState::Dead)
            .map(|(ip, _)| *ip)
            .collect();
        out.push(self.me);
        out.sort_unstable();
        out
    }

    /// Addresses known from elsewhere, to be asked in turn like the dead.
    pub fn hint(&mut self, ips: impl IntoIterator<Item = Ip>) {
        for ip in ips {
            if ip != self.me && !self.all.contains_key(&ip) && !self.seeds.contains(&ip) {
                self.seeds.push(ip);
            }
        }
    }

    /// What to say along to that one: of itself, of whoever changed, and what is held of the one it goes to, which
    /// alone can clear itself.
    pub fn updates(&mut self, to: Ip) -> Vec<MemberUpdate> {
        let mut out = vec![MemberUpdate {
            ip: self.me,
            number: self.number,
            state: MemberState::Alive,
        }];
        let held = self.all.get(&to).filter(|m| m.state != MemberState::Alive);
        out.extend(held.map(|m| MemberUpdate {
            ip: to,
            number: m.number,
            state: m.state,
        }));
        let mut fresh: Vec<(&Ip, &mut Member)> =
            self.all.iter_mut().filter(|(_, m)| m.tells > 0).collect();
        fresh.sort_by_key(|(_, m)| std::cmp::Reverse(m.tells));
        for (ip, m) in fresh.into_iter().take(MAX_UPDATES) {
            m.tells -= 1;
            out.push(MemberUpdate {
                ip: *ip,
                number: m.number,
                state: m.state,
            });
        }
        out
    }

    fn take(&mut self, r: &MemberUpdate, now: Duration) -> Option<Change> {
        if r.ip == self.me {
            if r.state != MemberState::Alive && r.number >= self.number {
                self.number = r.number + 1;
            }
            return None;
        }
        let tells = TELLS;
        let known = self.all.get(&r.ip).map(|m| (m.number, m.state));
        if known.is_some_and(|k| k >= (r.number, r.state))
            || known.is_none() && r.state == MemberState::Dead
        {
            return None;
        }
        self.all.insert(
            r.ip,
            Member {
                number: r.number,
                state: r.state,
                since: now,
                tells,
            },
        );
        (known.map(|k| k.1) != Some(r.state)).then_some((r.ip, r.state))
    }

    /// A datagram came: what to send back, and who changed.
    pub fn heard(
        &mut self,
        from: Ip,
        what: &GossipBody,
        updates: &[MemberUpdate],
        now: Duration,
    ) -> (Vec<(Ip, GossipBody)>, Vec<Change>) {
        let mut changes: Vec<Change> = updates.iter().filter_map(|r| self.take(r, now)).collect();
        let out = match *what {
            GossipBody::Ping { no } => vec![(from, GossipBody::Pong { no })],
            GossipBody::Pong { no } => match self.probes.remove(&no) {
                Some(Probe {
                    behalf: Some((asker, number)),
                    ..
                }) => {
                    vec![(asker, GossipBody::Pong { no: number })]
                }
                Some(probe) => {
                    changes.extend(self.answered(probe.whom, now));
                    vec![]
                }
                None => vec![],
            },
            GossipBody::Second { no, whom } => {
                let mine = self.probe(whom, now, Some((from, no)));
                vec![(whom, GossipBody::Ping { no: mine })]
            }
            GossipBody::Lease(_) => vec![],
        };
        (out, changes)
    }

    /// It lives, whatever is said of it: it will clear itself with a number of its own; here it counts at once.
    fn answered(&mut self, whom: Ip, now: Duration) -> Option<Change> {
        let m = self.all.get_mut(&whom)?;
        if m.state == MemberState::Suspect {
            (m.state, m.since, m.tells) = (MemberState::Alive, now, 0);
            return Some((whom, MemberState::Alive));
        }
        None
    }

    fn probe(&mut self, whom: Ip, now: Duration, behalf: Option<(Ip, u64)>) -> u64 {
        self.next_no += 1;
        self.probes.insert(
            self.next_no,
            Probe {
                whom,
                at: now,
                asked: false,
                behalf,
            },
        );
        self.next_no
    }

    /// Time passed: what to send, and who changed.
    pub fn tick(&mut self, now: Duration) -> (Vec<(Ip, GossipBody)>, Vec<Change>) {
        let (mut out, mut changes) = (Vec::new(), Vec::new());
        let alive = self.alive();
        let due: Vec<(u64, Ip, bool)> = self
            .probes
            .iter()
            .filter(|(_, p)| now >= p.at + FIRST)
            .map(|(no, p)| (*no, p.whom, p.behalf.is_some()))
            .collect();
        for (no, whom, behalf) in due {
            let p = &self.probes[&no];
            if now >= p.at + SECOND {
                self.probes.remove(&no);
                if !behalf
                    && let Some(m) = self.all.get_mut(&whom)
                    && m.state == MemberState::Alive
                {
                    (m.state, m.since, m.tells) = (MemberState::Suspect, now, TELLS);
                    changes.push((whom, MemberState::Suspect));
                }
            } else if !p.asked && !behalf {
                self.probes.get_mut(&no).expect("seen above").asked = true;
                let others = alive.iter().filter(|a| **a != self.me && **a != whom);
                let others: Vec<Ip> = others.copied().collect();
                let from = self.turn % others.len().max(1);
                let few = others
                    .iter()
                    .cycle()
                    .skip(from)
                    .take(OPINIONS.min(others.len()));
                out.extend(few.map(|o| (*o, GossipBody::Second { no, whom })));
            }
        }
        for (ip, m) in &mut self.all {
            if m.state == MemberState::Suspect && now >= m.since + SUSPECT {
                (m.state, m.since, m.tells) = (MemberState::Dead, now, TELLS);
                changes.push((*ip, MemberState::Dead));
            }
        }
        self.all
            .retain(|_, m| m.state != MemberState::Dead || now < m.since + FORGET);
        if now >= self.next {
            self.next = now + EVERY;
            self.rounds += 1;
            let live: Vec<Ip> = alive.into_iter().filter(|a| *a != self.me).collect();
            if !live.is_empty() {
                self.turn += 1;
                let whom = live[self.turn % live.len()];
                let no = self.probe(whom, now, None);
                out.push((whom, GossipBody::Ping { no }));
            }
            let mut lost: Vec<Ip> = self
                .all
                .iter()
                .filter(|(_, m)| m.state == MemberState::Dead)
                .map(|(ip, _)| *ip)
                .collect();
            lost.extend(
                self.seeds
                    .iter()
                    .filter(|s| !live.contains(s) && !self.all.contains_key(*s)),
            );
            if !lost.is_empty() && (live.is_empty() || self.rounds.is_multiple_of(REVISIT)) {
                for whom in lost {
                    let no = self.probe(whom, now, None);
                    out.push((whom, GossipBody::Ping { no }));
                }
            }
        }
        (out, changes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    /// Registries with datagrams of 30 ms; `lost` says which way is cut when.
    fn play(
        all: &mut BTreeMap<Ip, Members>,
        lost: &dyn Fn(Ip, Ip, u64) -> bool,
        ms: std::ops::Range<u64>,
    ) {
        let mut mail: Vec<(u64, Ip, Ip, GossipBody, Vec<MemberUpdate>)> = Vec::new();
        for t in ms.step_by(10) {
            let ips: Vec<Ip> = all.keys().copied().collect();
            for ip in ips {
                let m = all.get_mut(&ip).expect("listed");
                let (out, _) = m.tick(at(t));
                for (to, what) in out {
                    let updates = m.updates(to);
                    mail.push((t + 30, ip, to, what, updates));
                }
            }
            let (due, rest): (Vec<_>, Vec<_>) = mail.drain(..).partition(|m| m.0 <= t);
            mail = rest;
            for (_, from, to, what, updates) in due {
                if lost(from, to, t) {
                    continue;
                }
                let Some(m) = all.get_mut(&to) else { continue };
                let (out, _) = m.heard(from, &what, &updates, at(t));
                for (back, what) in out {
                    let updates = m.updates(back);
                    mail.push((t + 30, to, back, what, updates));
                }
            }
        }
    }

    fn six() -> BTreeMap<Ip, Members> {
        let ips: Vec<Ip> = (1..=6).map(|i| [10, 0, 0, i]).collect();
        ips.iter()
            .map(|ip| (*ip, Members::new(*ip, ips[..3].to_vec(), at(0))))
            .collect()
    }

    #[test]
    fn all_find_each_other_from_three_seeds_and_a_second_opinion_saves_one_that_is_cut_off_from_one()
     {
        let mut all = six();
        play(&mut all, &|_, _, _| false, 0..3000);
        assert!(
            all.values().all(|m| m.alive().len() == 6),
            "not found within 3 s"
        );
        let (a, b) = ([10, 0, 0, 1], [10, 0, 0, 5]);
        play(
            &mut all,
            &|f, t, _| (f, t) == (a, b) || (f, t) == (b, a),
            3000..12_000,
        );
        assert!(
            all.values().all(|m| m.alive().len() == 6),
            "one bad link condemned a registry"
        );
    }

    #[test]
    fn the_lost_are_removed_on_both_sides_of_a_cut_and_known_again_after_it() {
        let mut all = six();
        play(&mut all, &|_, _, _| false, 0..3000);
        let side = |ip: Ip| ip[3] <= 2;
        play(&mut all, &|f, t, _| side(f) != side(t), 3000..9000);
        assert!(
            all.iter()
                .all(|(ip, m)| m.alive().len() == if side(*ip) { 2 } else { 4 })
        );
        play(&mut all, &|_, _, _| false, 9000..14_000);
        assert!(
            all.values().all(|m| m.alive().len() == 6),
            "the cut healed unseen"
        );
    }

    #[test]
    fn one_that_comes_back_under_its_address_with_a_new_life_clears_itself() {
        let mut all = six();
        play(&mut all, &|_, _, _| false, 0..3000);
        let lost = [10, 0, 0, 2];
        play(&mut all, &|f, t, _| f == lost || t == lost, 3000..9000);
        assert_eq!(all[&[10, 0, 0, 1]].alive().len(), 5);
        all.insert(lost, Members::new(lost, vec![[10, 0, 0, 1]], at(9000)));
        play(&mut all, &|_, _, _| false, 9000..13_000);
        assert!(all.values().all(|m| m.alive().len() == 6));
    }
}
