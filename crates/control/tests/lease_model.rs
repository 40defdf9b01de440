//! Exhaustive model check of `LeaseElection`. Datagrams are lost, delayed and duplicated, processes are paused, clocks run
//! at different rates, epochs change, and registries learn the epoch of their stores late.
//!
//! Invariant: at most one registry holds the lease at any time.
//!
//! One action of the model covers a whole round of time: which registries tick, and the outcome of each claim and its
//! answer. `MODEL=all` explores more rounds.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::lease::{EPOCH_SPACING, LEASE, LeaseElection};
use damsonbeam_control::messages::LeaseMessage;
use damsonbeam_control::voters::VoterSet;
use stateright::{Checker, Model, Property};

/// Clock reading at the beginning: the stores entered the first epoch at time 0, longer than `EPOCH_SPACING` ago.
const BEGIN: Duration = Duration::from_secs(4);

fn ip(n: usize) -> Ip {
    [10, 0, 0, n as u8 + 1]
}

/// The store on one machine: the index of its epoch, and when the store entered the epoch by the machine's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Store {
    epoch: usize,
    since: Duration,
}

/// A datagram that is delivered in round `due`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DelayedDatagram {
    due: u32,
    from: usize,
    to: usize,
    message: LeaseMessage,
}

/// How many more faults and transfers of each kind may happen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Budget {
    pauses: u8,
    /// Rounds in which a registry gets no answer from its store.
    without_store: u8,
    /// Delayed or duplicated datagrams.
    delayed: u8,
    transfers: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    rounds: u32,
    elections: Vec<LeaseElection>,
    stores: Vec<Option<Store>>,
    /// The index of the latest epoch that the stores have decided.
    decided: usize,
    delayed: Vec<DelayedDatagram>,
    budget: Budget,
}

/// The outcome of a claim and of the answer to it. Delays are in rounds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Answered,
    AnswerLost,
    ClaimLost,
    ClaimDelayed(u32),
    AnswerDelayed(u32),
    /// The claim is answered, and delivered again after the delay.
    Duplicated(u32),
}

impl Outcome {
    fn is_delayed(self) -> bool {
        matches!(
            self,
            Outcome::ClaimDelayed(_) | Outcome::AnswerDelayed(_) | Outcome::Duplicated(_)
        )
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Round {
    /// The machine that is paused during the round.
    paused: Option<usize>,
    /// The machine whose registry gets no answer from its store. Delayed answers of a store need no separate case, because
    /// an answer counts from the time of the request.
    without_store: Option<usize>,
    /// Whether claims arrive in the reverse order of the claimants.
    reversed: bool,
    /// The outcome of each claim, by claimant and receiver.
    outcomes: Vec<Outcome>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Round(Round),
    /// The holder on the first machine shuts down and names its successor; the listed machines receive the message.
    Transfer(usize, Vec<usize>),
    /// The stores decide the next epoch.
    DecideEpoch,
    /// The store on this machine learns of the decided epoch.
    LearnEpoch(usize),
}

#[derive(Clone)]
struct LeaseModel {
    /// Duration of one round.
    round_duration: Duration,
    /// Number of rounds explored.
    rounds: u32,
    budget: Budget,
    /// The rate of each machine's clock.
    rates: Vec<f64>,
    /// The voters of each epoch, by machine.
    epochs: Vec<Vec<usize>>,
    /// Machines whose stores know no voters and which exchange no messages with others.
    isolated: Vec<usize>,
    /// Minimum time between two changes of epoch at a store.
    epoch_spacing: Duration,
}

impl LeaseModel {
    fn clock(&self, state: &State, n: usize) -> Duration {
        BEGIN + (self.round_duration * state.rounds).mul_f64(self.rates[n])
    }

    fn machines(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.rates.len()).filter(|n| !self.isolated.contains(n))
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

    fn holders(&self, state: &State) -> Vec<usize> {
        (0..state.elections.len())
            .filter(|n| {
                state.elections[*n]
                    .held_term(self.clock(state, *n))
                    .is_some()
            })
            .collect()
    }

    /// Whether the stores of a majority of the voters would accept a change of epoch now.
    fn may_decide(&self, state: &State) -> bool {
        let voters = &self.epochs[state.decided];
        let accepts = |n: &&usize| {
            state.stores[**n].as_ref().is_some_and(|store| {
                store.epoch == state.decided
                    && self.clock(state, **n) >= store.since + self.epoch_spacing
            })
        };
        state.decided + 1 < self.epochs.len()
            && voters.iter().filter(accepts).count() > voters.len() / 2
    }

    fn deliver(
        &self,
        state: &mut State,
        from: usize,
        to: usize,
        message: &LeaseMessage,
    ) -> Option<LeaseMessage> {
        let now = self.clock(state, to);
        state.elections[to].receive(ip(from), message, now)
    }

    /// Begins a round: advances the time, delivers the delayed datagrams that are due, and ticks the registries. Returns the
    /// claims, each with its claimant.
    fn advance(
        &self,
        state: &mut State,
        paused: Option<usize>,
        without_store: Option<usize>,
    ) -> Vec<(usize, LeaseMessage)> {
        state.rounds += 1;
        state.budget.pauses -= u8::from(paused.is_some());
        state.budget.without_store -= u8::from(without_store.is_some());
        let rounds = state.rounds;
        let (due, delayed) = std::mem::take(&mut state.delayed)
            .into_iter()
            .partition(|datagram| datagram.due <= rounds);
        state.delayed = delayed;
        let due: Vec<DelayedDatagram> = due;
        for datagram in due {
            if let Some(answer) = self.deliver(state, datagram.from, datagram.to, &datagram.message)
            {
                self.deliver(state, datagram.to, datagram.from, &answer);
            }
        }
        self.tick(state, paused, without_store)
    }

    /// Lets each registry read its store and tick, apart from the paused one. Returns the claims, each with its claimant.
    fn tick(
        &self,
        state: &mut State,
        paused: Option<usize>,
        without_store: Option<usize>,
    ) -> Vec<(usize, LeaseMessage)> {
        let mut claims = Vec::new();
        for n in (0..state.elections.len()).filter(|n| Some(*n) != paused) {
            let now = self.clock(state, n);
            if let Some(store) = state.stores[n]
                .as_ref()
                .filter(|_| Some(n) != without_store)
            {
                state.elections[n].set_voters(self.voters(store.epoch));
                state.elections[n].confirm_epoch(store.epoch as u64 + 1, now);
            }
            claims.extend(
                state.elections[n]
                    .tick(now, &self.alive())
                    .map(|claim| (n, claim)),
            );
        }
        claims
    }

    /// Returns each claim with its sender and receiver, in order of arrival.
    fn routes(
        &self,
        claims: &[(usize, LeaseMessage)],
        paused: Option<usize>,
    ) -> Vec<(usize, usize, LeaseMessage)> {
        let receivers = |from: usize| {
            self.machines()
                .filter(move |to| *to != from && Some(*to) != paused)
        };
        claims
            .iter()
            .flat_map(|(from, c)| receivers(*from).map(move |to| (*from, to, c.clone())))
            .collect()
    }

    /// Delivers the claims and their answers with the outcomes of the round.
    fn deliver_claims(
        &self,
        state: &mut State,
        routes: Vec<(usize, usize, LeaseMessage)>,
        round: &Round,
    ) {
        let mut claims: Vec<_> = routes
            .into_iter()
            .zip(round.outcomes.iter().copied())
            .collect();
        if round.reversed {
            claims.reverse();
        }
        let rounds = state.rounds;
        let mut answers = Vec::new();
        for ((from, to, claim), outcome) in claims {
            state.budget.delayed -= u8::from(outcome.is_delayed());
            if let Outcome::ClaimDelayed(by) | Outcome::Duplicated(by) = outcome {
                state.delayed.push(DelayedDatagram {
                    due: rounds + by,
                    from,
                    to,
                    message: claim.clone(),
                });
            }
            if matches!(outcome, Outcome::ClaimLost | Outcome::ClaimDelayed(_)) {
                continue;
            }
            let answer = self.deliver(state, from, to, &claim);
            match (answer, outcome) {
                (Some(answer), Outcome::Answered | Outcome::Duplicated(_)) => {
                    answers.push((to, from, answer))
                }
                (Some(message), Outcome::AnswerDelayed(by)) => {
                    state.delayed.push(DelayedDatagram {
                        due: rounds + by,
                        from: to,
                        to: from,
                        message,
                    });
                }
                _ => {}
            }
        }
        for (from, to, answer) in answers {
            self.deliver(state, from, to, &answer);
        }
    }

    /// Returns all combinations of outcomes of one claimant's claims to `receivers` receivers, with at most `delayed`
    /// datagrams delayed or duplicated.
    fn outcomes_of_one_claimant(receivers: usize, delayed: u8) -> Vec<Vec<Outcome>> {
        let mut all: Vec<Vec<Outcome>> = vec![vec![]];
        let immediate = [Outcome::Answered, Outcome::AnswerLost, Outcome::ClaimLost];
        let delayed_outcomes = [1, 2].into_iter().flat_map(|by| {
            [
                Outcome::ClaimDelayed(by),
                Outcome::AnswerDelayed(by),
                Outcome::Duplicated(by),
            ]
        });
        let options: Vec<Outcome> = immediate.into_iter().chain(delayed_outcomes).collect();
        for _ in 0..receivers {
            let extend = |outcomes: &Vec<Outcome>| {
                let used = outcomes
                    .iter()
                    .filter(|outcome| outcome.is_delayed())
                    .count();
                let fits =
                    move |outcome: &&Outcome| !outcome.is_delayed() || used < usize::from(delayed);
                options
                    .iter()
                    .filter(fits)
                    .map(|outcome| [outcomes.clone(), vec![*outcome]].concat())
                    .collect::<Vec<_>>()
            };
            all = all.iter().flat_map(extend).collect();
        }
        all
    }

    /// Returns combinations of outcomes of several claimants' claims: the claims of each claimant reach all receivers,
    /// none, one, or all but one.
    fn outcomes_of_several_claimants(claimants: usize, receivers: usize) -> Vec<Vec<Outcome>> {
        let one_differs = |common: Outcome, exception: Outcome| {
            (0..receivers).map(move |n| {
                let mut outcomes = vec![common; receivers];
                outcomes[n] = exception;
                outcomes
            })
        };
        let uniform =
            [Outcome::Answered, Outcome::ClaimLost].map(|outcome| vec![outcome; receivers]);
        let options: Vec<Vec<Outcome>> = uniform
            .into_iter()
            .chain(one_differs(Outcome::Answered, Outcome::ClaimLost))
            .chain(one_differs(Outcome::ClaimLost, Outcome::Answered))
            .collect();
        let extend = |all: Vec<Vec<Outcome>>, _| {
            all.iter()
                .flat_map(|outcomes| {
                    options
                        .iter()
                        .map(move |next| [outcomes.clone(), next.clone()].concat())
                })
                .collect()
        };
        (0..claimants).fold(vec![vec![]], extend)
    }

    /// Adds all rounds that may follow `state` within its budget.
    fn rounds_from(&self, state: &State, out: &mut Vec<Action>) {
        for paused in self
            .machines()
            .filter(|_| state.budget.pauses > 0)
            .map(Some)
            .chain([None])
        {
            for without_store in self
                .machines()
                .filter(|_| state.budget.without_store > 0)
                .map(Some)
                .chain([None])
            {
                let claims = self.advance(&mut state.clone(), paused, without_store);
                let receivers = self.routes(&claims, paused).len() / claims.len().max(1);
                let all = match claims.len() {
                    0 => vec![vec![]],
                    1 => Self::outcomes_of_one_claimant(receivers, state.budget.delayed),
                    several => Self::outcomes_of_several_claimants(several, receivers),
                };
                for outcomes in all {
                    out.push(Action::Round(Round {
                        paused,
                        without_store,
                        reversed: false,
                        outcomes: outcomes.clone(),
                    }));
                    if claims.len() > 1 {
                        out.push(Action::Round(Round {
                            paused,
                            without_store,
                            reversed: true,
                            outcomes,
                        }));
                    }
                }
            }
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let machines = self.rates.len();
        // A registry does not vote during the first `LEASE` after its start, so the registries start before `BEGIN`.
        let elections = (0..machines)
            .map(|n| LeaseElection::new(ip(n), BEGIN - LEASE))
            .collect();
        let knows = |n: usize| {
            (!self.isolated.contains(&n)).then_some(Store {
                epoch: 0,
                since: Duration::ZERO,
            })
        };
        let stores = (0..machines).map(knows).collect();
        let mut state = State {
            rounds: 0,
            elections,
            stores,
            decided: 0,
            delayed: vec![],
            budget: self.budget.clone(),
        };
        // In the two initial states the first candidate's claim has reached no receiver or all receivers.
        let claims = self.tick(&mut state, None, None);
        let mut reached = state.clone();
        let routes = self.routes(&claims, None);
        let outcomes = vec![Outcome::Answered; routes.len()];
        let round = Round {
            paused: None,
            without_store: None,
            reversed: false,
            outcomes,
        };
        self.deliver_claims(&mut reached, routes, &round);
        vec![state, reached]
    }

    fn actions(&self, state: &State, out: &mut Vec<Action>) {
        if state.rounds < self.rounds {
            self.rounds_from(state, out);
        }
        if state.budget.transfers > 0 {
            for n in self.holders(state) {
                let others: Vec<usize> = self.machines().filter(|m| *m != n).collect();
                out.push(Action::Transfer(n, others.clone()));
                out.extend(others.iter().map(|m| Action::Transfer(n, vec![*m])));
            }
        }
        if self.may_decide(state) {
            out.push(Action::DecideEpoch);
        }
        let behind = |n: &usize| {
            state.stores[*n]
                .as_ref()
                .is_some_and(|store| store.epoch < state.decided)
        };
        out.extend(self.machines().filter(behind).map(Action::LearnEpoch));
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Round(round) => {
                let claims = self.advance(&mut state, round.paused, round.without_store);
                let routes = self.routes(&claims, round.paused);
                self.deliver_claims(&mut state, routes, &round);
            }
            Action::Transfer(n, receivers) => {
                state.budget.transfers -= 1;
                let now = self.clock(&state, n);
                let message = state.elections[n].transfer(now, &self.alive())?;
                for to in receivers {
                    self.deliver(&mut state, n, to, &message);
                }
            }
            Action::DecideEpoch => state.decided += 1,
            Action::LearnEpoch(n) => {
                state.stores[n] = Some(Store {
                    epoch: state.decided,
                    since: self.clock(&state, n),
                })
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one holder", |model: &LeaseModel, state: &State| {
                model.holders(state).len() <= 1
            }),
            Property::always(
                "a registry without voters never holds the lease",
                |model: &LeaseModel, state: &State| {
                    model
                        .holders(state)
                        .iter()
                        .all(|n| !model.isolated.contains(n))
                },
            ),
            Property::sometimes(
                "the lease is held in the last epoch",
                |model: &LeaseModel, state: &State| {
                    let last = model.epochs.len() as u64;
                    model
                        .holders(state)
                        .iter()
                        .any(|n| state.elections[*n].epoch() == last)
                },
            ),
            Property::sometimes(
                "a registry other than the first holds the lease",
                |model: &LeaseModel, state: &State| model.holders(state).iter().any(|n| *n != 0),
            ),
        ]
    }
}

/// Maximum number of states explored. The output says whether the exploration was complete.
const MAX_STATES: usize = 30_000_000;

fn check(name: &str, model: LeaseModel) {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().min(4));
    let checker = model
        .checker()
        .threads(threads)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    let completeness = if checker.state_count() < MAX_STATES {
        "complete"
    } else {
        "incomplete"
    };
    println!(
        "{name}: {completeness}, {} unique states of {}, depth {}",
        checker.unique_state_count(),
        checker.state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

/// Number of rounds to check: `default`, or `extended` with `MODEL=all`. The environment variable `PASSES` overrides both.
fn rounds(default: u32, extended: u32) -> u32 {
    let requested = std::env::var("PASSES").ok().and_then(|p| p.parse().ok());
    requested.unwrap_or(if is_extended() { extended } else { default })
}

/// Whether the environment asks for the extended exploration (`MODEL=all`).
fn is_extended() -> bool {
    std::env::var("MODEL").is_ok_and(|m| m == "all")
}

fn three_voters() -> LeaseModel {
    let default = Budget {
        pauses: 1,
        without_store: 0,
        delayed: 0,
        transfers: 1,
    };
    LeaseModel {
        round_duration: Duration::from_millis(450),
        rounds: rounds(3, 4),
        budget: if is_extended() {
            Budget {
                delayed: 1,
                ..default
            }
        } else {
            default
        },
        // The maximum deviation of clock rates that `CLOCK_RATE_MARGIN` covers, in both directions: the first candidate's
        // clock is slow, the second one's fast.
        rates: vec![0.95, 1.05, 1.0],
        epochs: vec![vec![0, 1, 2]],
        isolated: vec![],
        epoch_spacing: EPOCH_SPACING,
    }
}

/// One voter replaces another in two changes of epoch. Majorities of consecutive epochs have a voter in common, majorities
/// of the first and the last epoch do not. One registry has no voters.
fn replaced_voter() -> LeaseModel {
    let default = Budget {
        pauses: 0,
        without_store: 2,
        delayed: 0,
        transfers: 0,
    };
    LeaseModel {
        round_duration: Duration::from_millis(550),
        rounds: rounds(6, 7),
        budget: if is_extended() {
            Budget {
                pauses: 1,
                delayed: 1,
                ..default
            }
        } else {
            default
        },
        rates: vec![1.0, 1.0, 1.0],
        epochs: vec![vec![0], vec![0, 1], vec![1]],
        isolated: vec![2],
        ..three_voters()
    }
}

/// A third voter joins two voters.
fn third_voter() -> LeaseModel {
    let default = Budget::default();
    LeaseModel {
        rounds: rounds(2, 4),
        budget: if is_extended() {
            Budget {
                pauses: 1,
                without_store: 1,
                ..default
            }
        } else {
            default
        },
        rates: vec![1.0; 3],
        epochs: vec![vec![0, 1], vec![0, 1, 2]],
        ..three_voters()
    }
}

#[test]
fn three_voters_have_at_most_one_holder_with_faulty_datagrams_process_pauses_and_clock_drift() {
    check("three voters", three_voters());
}

#[test]
fn replacing_a_voter_in_two_changes_of_epoch_keeps_at_most_one_holder() {
    check("replaced voter", replaced_voter());
}

#[test]
fn adding_a_third_voter_keeps_at_most_one_holder() {
    check("third voter", third_voter());
}
