//! The lease explored exhaustively over `lease.rs` itself: datagrams lost, late or doubled, registries that stand
//! still, clocks of different rates, epochs that change, stores that tell their registries late. At any time one
//! registry at most holds the lease.
//!
//! One action is a whole pass of time: who ticks, and the fate of each claim and its answer. `MODEL=all` explores more passes.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::lease::{EPOCH_SPACING, LEASE, LeaseElection};
use damsonbeam_control::messages::LeaseMessage;
use damsonbeam_control::voters::VoterSet;
use stateright::{Checker, Model, Property};

/// Stores have been in their first epoch for long when a scene begins.
const BEGIN: Duration = Duration::from_secs(4);

fn ip(n: usize) -> Ip {
    [10, 0, 0, n as u8 + 1]
}

/// What the store on a machine knows: its epoch, and since when by its clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Store {
    epoch: usize,
    since: Duration,
}

/// A datagram that stays on its way until that many passes have been made.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Late {
    due: u32,
    from: usize,
    to: usize,
    message: LeaseMessage,
}

/// Troubles that may yet happen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Budget {
    freezes: u8,
    unheard: u8,
    late: u8,
    leaves: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    passes: u32,
    elections: Vec<LeaseElection>,
    stores: Vec<Option<Store>>,
    decided: usize,
    late: Vec<Late>,
    budget: Budget,
}

/// What becomes of a claim, and of the answer to it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    AnswerLost,
    Lost,
    ClaimLate(u32),
    AnswerLate(u32),
    /// Answered, and the claim comes once more, later.
    Doubled(u32),
}

impl Fate {
    fn is_late(self) -> bool {
        matches!(
            self,
            Fate::ClaimLate(_) | Fate::AnswerLate(_) | Fate::Doubled(_)
        )
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Pass {
    /// The machine that stands still meanwhile.
    frozen: Option<usize>,
    /// The machine whose registry does not hear its store. An answer of a store that comes late is worth no more than one
    /// that came at once, for it counts from the question.
    unheard: Option<usize>,
    /// Whose claims come first.
    reversed: bool,
    /// Of each claim, by claimant and receiver.
    fates: Vec<Fate>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Pass(Pass),
    /// A holder that is told to end names its successor; these machines hear it.
    Leave(usize, Vec<usize>),
    /// The stores agree upon the next epoch.
    Decide,
    /// A store learns of the decided epoch.
    Learn(usize),
}

#[derive(Clone)]
struct Scene {
    /// Time goes on by this much at once.
    step: Duration,
    passes: u32,
    budget: Budget,
    /// Rates of the machines' clocks.
    rates: Vec<f64>,
    /// The voters of each epoch, by machine.
    epochs: Vec<Vec<usize>>,
    /// Machines whose stores know no voters, and which reach nobody.
    fresh: Vec<usize>,
    spacing: Duration,
}

impl Scene {
    fn clock(&self, s: &State, n: usize) -> Duration {
        BEGIN + (self.step * s.passes).mul_f64(self.rates[n])
    }

    fn machines(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.rates.len()).filter(|n| !self.fresh.contains(n))
    }

    fn alive(&self) -> Vec<Ip> {
        (0..self.rates.len()).map(ip).collect()
    }

    fn voters(&self, epoch: usize) -> VoterSet {
        VoterSet::new(
            epoch as u64 + 1,
            self.epochs[epoch].iter().map(|n| ip(*n)).collect(),
        )
    }

    fn holders(&self, s: &State) -> Vec<usize> {
        (0..s.elections.len())
            .filter(|n| s.elections[*n].held_term(self.clock(s, *n)).is_some())
            .collect()
    }

    /// Whether a majority of the voters could accept a change of epoch now.
    fn may_decide(&self, s: &State) -> bool {
        let voters = &self.epochs[s.decided];
        let accepts = |n: &&usize| {
            s.stores[**n].as_ref().is_some_and(|store| {
                store.epoch == s.decided && self.clock(s, **n) >= store.since + self.spacing
            })
        };
        s.decided + 1 < self.epochs.len()
            && voters.iter().filter(accepts).count() > voters.len() / 2
    }

    fn deliver(
        &self,
        s: &mut State,
        from: usize,
        to: usize,
        message: &LeaseMessage,
    ) -> Option<LeaseMessage> {
        let now = self.clock(s, to);
        s.elections[to].receive(ip(from), message, now)
    }

    /// Time goes on, what was late comes, and registries hear their stores and tick: claims, by claimant.
    fn advance(
        &self,
        s: &mut State,
        frozen: Option<usize>,
        unheard: Option<usize>,
    ) -> Vec<(usize, LeaseMessage)> {
        s.passes += 1;
        s.budget.freezes -= u8::from(frozen.is_some());
        s.budget.unheard -= u8::from(unheard.is_some());
        let passes = s.passes;
        let (due, late) = std::mem::take(&mut s.late)
            .into_iter()
            .partition(|l| l.due <= passes);
        s.late = late;
        let due: Vec<Late> = due;
        for l in due {
            if let Some(answer) = self.deliver(s, l.from, l.to, &l.message) {
                self.deliver(s, l.to, l.from, &answer);
            }
        }
        self.tick(s, frozen, unheard)
    }

    fn tick(
        &self,
        s: &mut State,
        frozen: Option<usize>,
        unheard: Option<usize>,
    ) -> Vec<(usize, LeaseMessage)> {
        let mut claims = Vec::new();
        for n in (0..s.elections.len()).filter(|n| Some(*n) != frozen) {
            let now = self.clock(s, n);
            if let Some(store) = s.stores[n].as_ref().filter(|_| Some(n) != unheard) {
                s.elections[n].set_voters(self.voters(store.epoch));
                s.elections[n].confirm_epoch(store.epoch as u64 + 1, now);
            }
            claims.extend(
                s.elections[n]
                    .tick(now, &self.alive())
                    .map(|claim| (n, claim)),
            );
        }
        claims
    }

    /// Claims and those to whom they go, in the order of coming.
    fn routes(
        &self,
        claims: &[(usize, LeaseMessage)],
        frozen: Option<usize>,
    ) -> Vec<(usize, usize, LeaseMessage)> {
        let receivers = |from: usize| {
            self.machines()
                .filter(move |to| *to != from && Some(*to) != frozen)
        };
        claims
            .iter()
            .flat_map(|(from, c)| receivers(*from).map(move |to| (*from, to, c.clone())))
            .collect()
    }

    fn settle(&self, s: &mut State, routes: Vec<(usize, usize, LeaseMessage)>, pass: &Pass) {
        let mut fated: Vec<_> = routes.into_iter().zip(pass.fates.iter().copied()).collect();
        if pass.reversed {
            fated.reverse();
        }
        let passes = s.passes;
        let mut answers = Vec::new();
        for ((from, to, claim), fate) in fated {
            s.budget.late -= u8::from(fate.is_late());
            if let Fate::ClaimLate(by) | Fate::Doubled(by) = fate {
                s.late.push(Late {
                    due: passes + by,
                    from,
                    to,
                    message: claim.clone(),
                });
            }
            if matches!(fate, Fate::Lost | Fate::ClaimLate(_)) {
                continue;
            }
            let answer = self.deliver(s, from, to, &claim);
            match (answer, fate) {
                (Some(answer), Fate::Answered | Fate::Doubled(_)) => {
                    answers.push((to, from, answer))
                }
                (Some(message), Fate::AnswerLate(by)) => {
                    s.late.push(Late {
                        due: passes + by,
                        from: to,
                        to: from,
                        message,
                    });
                }
                _ => {}
            }
        }
        for (from, to, answer) in answers {
            self.deliver(s, from, to, &answer);
        }
    }

    /// All fates of one claimant's claims, to so many receivers, within the budget.
    fn fates_of_one(receivers: usize, late: u8) -> Vec<Vec<Fate>> {
        let mut all: Vec<Vec<Fate>> = vec![vec![]];
        let usual = [Fate::Answered, Fate::AnswerLost, Fate::Lost];
        let late_ones = [1, 2]
            .into_iter()
            .flat_map(|by| [Fate::ClaimLate(by), Fate::AnswerLate(by), Fate::Doubled(by)]);
        let menu: Vec<Fate> = usual.into_iter().chain(late_ones).collect();
        for _ in 0..receivers {
            let longer = |fates: &Vec<Fate>| {
                let used = fates.iter().filter(|f| f.is_late()).count();
                let fits = move |f: &&Fate| !f.is_late() || used < usize::from(late);
                menu.iter()
                    .filter(fits)
                    .map(|f| [fates.clone(), vec![*f]].concat())
                    .collect::<Vec<_>>()
            };
            all = all.iter().flat_map(longer).collect();
        }
        all
    }

    /// The fates of several claimants' claims: each claimant is heard by all, by none, by one or by all but one.
    fn fates_of_several(claimants: usize, receivers: usize) -> Vec<Vec<Fate>> {
        let one_differs = |usual: Fate, other: Fate| {
            (0..receivers).map(move |n| {
                let mut fates = vec![usual; receivers];
                fates[n] = other;
                fates
            })
        };
        let even = [Fate::Answered, Fate::Lost].map(|f| vec![f; receivers]);
        let menu: Vec<Vec<Fate>> = even
            .into_iter()
            .chain(one_differs(Fate::Answered, Fate::Lost))
            .chain(one_differs(Fate::Lost, Fate::Answered))
            .collect();
        let longer = |all: Vec<Vec<Fate>>, _| {
            all.iter()
                .flat_map(|f| menu.iter().map(move |m| [f.clone(), m.clone()].concat()))
                .collect()
        };
        (0..claimants).fold(vec![vec![]], longer)
    }

    fn passes_from(&self, s: &State, out: &mut Vec<Step>) {
        for frozen in self
            .machines()
            .filter(|_| s.budget.freezes > 0)
            .map(Some)
            .chain([None])
        {
            for unheard in self
                .machines()
                .filter(|_| s.budget.unheard > 0)
                .map(Some)
                .chain([None])
            {
                let claims = self.advance(&mut s.clone(), frozen, unheard);
                let receivers = self.routes(&claims, frozen).len() / claims.len().max(1);
                let all = match claims.len() {
                    0 => vec![vec![]],
                    1 => Self::fates_of_one(receivers, s.budget.late),
                    several => Self::fates_of_several(several, receivers),
                };
                for fates in all {
                    out.push(Step::Pass(Pass {
                        frozen,
                        unheard,
                        reversed: false,
                        fates: fates.clone(),
                    }));
                    if claims.len() > 1 {
                        out.push(Step::Pass(Pass {
                            frozen,
                            unheard,
                            reversed: true,
                            fates,
                        }));
                    }
                }
            }
        }
    }
}

impl Model for Scene {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let machines = self.rates.len();
        // Nobody votes in the first lease of its life.
        let elections = (0..machines)
            .map(|n| LeaseElection::new(ip(n), BEGIN - LEASE))
            .collect();
        let knows = |n: usize| {
            (!self.fresh.contains(&n)).then_some(Store {
                epoch: 0,
                since: Duration::ZERO,
            })
        };
        let stores = (0..machines).map(knows).collect();
        let mut s = State {
            passes: 0,
            elections,
            stores,
            decided: 0,
            late: vec![],
            budget: self.budget.clone(),
        };
        // The first candidate's claim reaches all or none.
        let claims = self.tick(&mut s, None, None);
        let mut reached = s.clone();
        let routes = self.routes(&claims, None);
        let fates = vec![Fate::Answered; routes.len()];
        let pass = Pass {
            frozen: None,
            unheard: None,
            reversed: false,
            fates,
        };
        self.settle(&mut reached, routes, &pass);
        vec![s, reached]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        if s.passes < self.passes {
            self.passes_from(s, out);
        }
        if s.budget.leaves > 0 {
            for n in self.holders(s) {
                let others: Vec<usize> = self.machines().filter(|m| *m != n).collect();
                out.push(Step::Leave(n, others.clone()));
                out.extend(others.iter().map(|m| Step::Leave(n, vec![*m])));
            }
        }
        if self.may_decide(s) {
            out.push(Step::Decide);
        }
        let behind = |n: &usize| {
            s.stores[*n]
                .as_ref()
                .is_some_and(|store| store.epoch < s.decided)
        };
        out.extend(self.machines().filter(behind).map(Step::Learn));
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::Pass(pass) => {
                let claims = self.advance(&mut s, pass.frozen, pass.unheard);
                let routes = self.routes(&claims, pass.frozen);
                self.settle(&mut s, routes, &pass);
            }
            Step::Leave(n, hear) => {
                s.budget.leaves -= 1;
                let now = self.clock(&s, n);
                let message = s.elections[n].transfer(now, &self.alive())?;
                for to in hear {
                    self.deliver(&mut s, n, to, &message);
                }
            }
            Step::Decide => s.decided += 1,
            Step::Learn(n) => {
                s.stores[n] = Some(Store {
                    epoch: s.decided,
                    since: self.clock(&s, n),
                })
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at most", |scene: &Scene, s: &State| {
                scene.holders(s).len() <= 1
            }),
            Property::always(
                "who knows no voters holds nothing",
                |scene: &Scene, s: &State| {
                    scene.holders(s).iter().all(|n| !scene.fresh.contains(n))
                },
            ),
            Property::sometimes(
                "it is held in the last epoch",
                |scene: &Scene, s: &State| {
                    let last = scene.epochs.len() as u64;
                    scene
                        .holders(s)
                        .iter()
                        .any(|n| s.elections[*n].epoch() == last)
                },
            ),
            Property::sometimes(
                "a second one holds it after the first",
                |scene: &Scene, s: &State| scene.holders(s).iter().any(|n| *n != 0),
            ),
        ]
    }
}

/// States explored at most: a bound that is met is told.
const MOST_STATES: usize = 30_000_000;

fn explore(name: &str, scene: Scene) {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().min(4));
    let done = scene
        .checker()
        .threads(threads)
        .target_state_count(MOST_STATES)
        .spawn_bfs()
        .join();
    let whole = if done.state_count() < MOST_STATES {
        "whole"
    } else {
        "in part"
    };
    println!(
        "{name}: {whole}, {} states of {}, {} steps deep",
        done.unique_state_count(),
        done.state_count(),
        done.max_depth()
    );
    done.assert_properties();
}

/// So many as a rule, so many where all is to be explored; `PASSES` sets another number.
fn passes(usual: u32, all: u32) -> u32 {
    let set = std::env::var("PASSES").ok().and_then(|p| p.parse().ok());
    set.unwrap_or(if is_extensive() { all } else { usual })
}

fn is_extensive() -> bool {
    std::env::var("MODEL").is_ok_and(|m| m == "all")
}

fn three_voters() -> Scene {
    let few = Budget {
        freezes: 1,
        unheard: 0,
        late: 0,
        leaves: 1,
    };
    Scene {
        step: Duration::from_millis(450),
        passes: passes(3, 4),
        budget: if is_extensive() {
            Budget { late: 1, ..few }
        } else {
            few
        },
        // The bound on the difference of rates: a slow holder among fast voters, and the other way round.
        rates: vec![0.95, 1.05, 1.0],
        epochs: vec![vec![0, 1, 2]],
        fresh: vec![],
        spacing: EPOCH_SPACING,
    }
}

/// Majorities of consecutive epochs meet, while those of the first and the last do not.
fn replaced_voter() -> Scene {
    let few = Budget {
        freezes: 0,
        unheard: 2,
        late: 0,
        leaves: 0,
    };
    Scene {
        step: Duration::from_millis(550),
        passes: passes(6, 7),
        budget: if is_extensive() {
            Budget {
                freezes: 1,
                late: 1,
                ..few
            }
        } else {
            few
        },
        rates: vec![1.0, 1.0, 1.0],
        epochs: vec![vec![0], vec![0, 1], vec![1]],
        fresh: vec![2],
        ..three_voters()
    }
}

/// A third voter joins two.
fn third_voter() -> Scene {
    let few = Budget::default();
    Scene {
        passes: passes(2, 4),
        budget: if is_extensive() {
            Budget {
                freezes: 1,
                unheard: 1,
                ..few
            }
        } else {
            few
        },
        rates: vec![1.0; 3],
        epochs: vec![vec![0, 1], vec![0, 1, 2]],
        ..three_voters()
    }
}

#[test]
fn three_voters_lost_late_and_doubled_datagrams_freezes_and_clocks_of_different_rates() {
    explore("three voters", three_voters());
}

#[test]
fn a_voter_replaced_by_two_changes_of_epoch_beside_a_fresh_registry() {
    explore("a voter replaced", replaced_voter());
}

#[test]
fn a_third_voter_joins() {
    explore("a third voter", third_voter());
}
