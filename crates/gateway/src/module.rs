//! The module's actor: owns the rules, feeds them events in order of arrival, carries out their actions.

mod delivery;
mod overdue;
mod stop;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::*;
use damsonbeam_admin::Figures;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use self::overdue::Overdue;
use crate::account::Account;
use crate::attempts::{Attempts, Ending};
use crate::clock::Clock;
use crate::log::log;
use crate::mail::*;
use crate::sizes::DATAGRAM;
use crate::witness::{self, Witness};

/// Events taken from the mailbox at a time.
const BATCH: usize = 64;
/// The figures that are looked up, not counted, are this old at most.
const FIGURES: Duration = Duration::from_millis(200);

/// What deliveries use up that all gateways share: looked at before each, decided elsewhere.
pub trait Guard {
    /// Whether one may go beyond its invocation's first.
    fn again(&mut self, now: Duration) -> bool;
    /// One is to go to that backend.
    fn sent(&mut self, tgt: TgtId, now: Duration) -> Sent;
    /// One that went to it is over, after so long.
    fn ended(&mut self, _: TgtId, _: Outcome, _: Duration, _: Duration) {}
    /// Whether a delivery that its backend may be at work on may be given up before its client's time is over.
    fn may_give_up(&self) -> bool {
        true
    }
}

/// Whether a delivery goes, and how its backend stands from now on, where that changes.
pub struct Sent {
    pub go: bool,
    pub entry: Option<Entry>,
}

/// An invocation that is not over, or that has deliveries out.
struct Held {
    ask: Rc<Ask>,
    deadline: Duration,
    /// While its body comes: how long its client waits from then on.
    coming: Option<Duration>,
    answer: Option<oneshot::Sender<Answer>>,
    /// A failed delivery's answer, which the client gets where no better one comes.
    spare: Option<Reply>,
    attempts: Attempts,
    overdue: Option<Overdue>,
    deliveries: Vec<Option<Out>>,
}

/// A delivery that is out.
struct Out {
    tgt: TgtId,
    sent: Duration,
    until: Duration,
    line: Rc<Line>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Token(String),
    Delivery(InvId, DeliveryNo),
    /// An overdue attempt after which nothing follows.
    Overdue(InvId),
    /// The witness's report to the peers.
    Report,
    /// The figures that only the rules know.
    Figures,
}

/// Starts the actor of a backend: where it is, and what it is called.
pub type Hire = Box<dyn Fn(SocketAddr, &Arc<str>) -> Peer>;

pub struct Module {
    pub rules: Rules,
    pub clock: Clock,
    pub mailbox: mpsc::Receiver<ToModule>,
    /// Starts a backend's actor.
    pub hire: Hire,
    /// The module's own mailbox, for what its deliveries tell.
    pub me: mpsc::Sender<ToModule>,
    /// What all gateways share besides the quotas: where the protocol sets it.
    pub guard: Option<Box<dyn Guard>>,
    pub counter: Option<mpsc::Sender<ToCounter>>,
    pub list: mpsc::Sender<ToList>,
    pub peers: Option<mpsc::Sender<ToPeers>>,
    /// Where `witness` is set: the other gateways' adds, and the peers (by number) to report to.
    pub witness: Option<(Witness, Vec<GatewayId>)>,
    pub state: State,
    pub figures: Figures,
    pub account: Option<Account>,
    /// Whether somebody may ask for the figures.
    pub shown: bool,
    /// Who waits for what the rules hand over.
    pub carry: Option<oneshot::Sender<Box<Carry>>>,
}

#[derive(Default)]
pub struct State {
    held: HashMap<InvId, Held>,
    backends: BTreeMap<TgtId, Peer>,
    due: BTreeSet<(Duration, Due)>,
    /// Events that actions gave rise to.
    next: VecDeque<Event>,
}

impl Module {
    pub async fn run(mut self) {
        if self.witness.is_some() {
            self.state
                .due
                .insert((self.clock.now() + witness::EVERY, Due::Report));
        }
        if self.shown {
            self.state.due.insert((self.clock.now(), Due::Figures));
        }
        let wake = sleep_until(self.clock.instant(Duration::ZERO));
        tokio::pin!(wake);
        let mut armed: Option<Duration> = None;
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let next = self.state.due.first().map(|(at, _)| *at);
            if let Some(at) = next.filter(|_| next != armed) {
                wake.as_mut().reset(self.clock.instant(at));
            }
            armed = next;
            tokio::select! {
                biased;
                n = self.mailbox.recv_many(&mut batch, BATCH) => {
                    if n == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|mail| self.mail(mail));
                }
                () = &mut wake, if armed.is_some() => armed = None,
            }
            self.run_due();
        }
    }

    fn run_due(&mut self) {
        let now = self.clock.now();
        while self.state.due.first().is_some_and(|(at, _)| *at <= now) {
            match self.state.due.pop_first().expect("seen above").1 {
                Due::Token(token) => self.feed(Event::Timer { token }),
                Due::Delivery(inv, no) => self.timed_out(inv, no),
                Due::Overdue(inv) => self.overdue_ended(inv),
                Due::Report => self.report(now),
                Due::Figures => {
                    let (listed, avoided) = self.rules.backends();
                    self.figures.cluster_size.set(listed as i64);
                    self.figures.cluster_unhealthy.set(avoided as i64);
                    self.state.due.insert((now + FIGURES, Due::Figures));
                }
            }
        }
    }

    fn report(&mut self, now: Duration) {
        let (Some((witness, to)), Some(peers)) = (&mut self.witness, &self.peers) else {
            return;
        };
        let admitted = self.rules.admitted(now);
        for bytes in witness.report(&admitted, DATAGRAM) {
            for g in to.iter() {
                peers
                    .try_send(ToPeers {
                        to: Some(*g),
                        bytes: bytes.clone(),
                    })
                    .ok();
            }
        }
        let at = witness.all_told(to, now);
        let others = admitted.into_iter().map(|a| {
            let units = witness.others(&a.name, now);
            Others {
                customer: a.customer,
                slot: a.slot,
                units,
                at,
            }
        });
        let others = others.collect();
        self.state.due.insert((now + witness::EVERY, Due::Report));
        self.feed(Event::Others(others));
    }

    fn mail(&mut self, mail: ToModule) {
        match mail {
            ToModule::Invocation {
                told,
                left,
                repeatable,
                ask,
                answer,
            } => {
                let (deadline, coming) = (told.deadline, told.coming.then_some(left));
                let held = Held {
                    ask,
                    deadline,
                    coming,
                    answer: Some(answer),
                    spare: None,
                    attempts: Attempts::new(repeatable),
                    overdue: None,
                    deliveries: Vec::new(),
                };
                self.state.held.insert(told.inv, held);
                self.feed(Event::Invocation(told));
            }
            ToModule::Whole { inv, deadline } => self.whole(inv, deadline),
            ToModule::Spent { inv } => {
                if self.state.held.contains_key(&inv) {
                    self.feed(Event::Spent { inv });
                }
            }
            ToModule::Settings(settings) => self.feed(Event::Settings(settings)),
            ToModule::Yield(to) => {
                self.carry = Some(to);
                self.feed(Event::Yield);
            }
            ToModule::Resume => self.feed(Event::Resume),
            ToModule::RefuseUnsent(told) => drop(told.send(self.refuse_unsent())),
            ToModule::AnswerAll(told) => drop(told.send(self.answer_all())),
            ToModule::Carried(carry) => self.feed(Event::Carried(carry)),
            ToModule::Left { inv } => {
                let Some(held) = self.state.held.get_mut(&inv) else {
                    return;
                };
                held.overdue.take().into_iter().for_each(Overdue::give_up);
                if held.answer.take().is_some() {
                    self.feed(Event::Left { inv });
                    self.tidy(inv);
                }
            }
            ToModule::Done(done) => {
                let (inv, no) = (done.inv, done.no);
                // One whose time was over has had its outcome.
                let Some(out) = self.end(inv, no) else {
                    return self.overdue_done(done);
                };
                let Done {
                    ending,
                    reply,
                    report,
                    ..
                } = done;
                let outcome = ending.outcome();
                if let (Ending::NotExecuted(proof), Some(held)) =
                    (ending, self.state.held.get_mut(&inv))
                {
                    held.attempts.not_executed(no, proof);
                }
                match (reply, self.state.held.get_mut(&inv)) {
                    (Some(reply), _) if outcome == Outcome::Ok => {
                        self.answer(inv, Answer::Succeeded(reply))
                    }
                    (spare @ Some(_), Some(held)) => held.spare = spare,
                    _ => {}
                }
                self.tell(inv, no, &out, outcome, report);
            }
            ToModule::Total {
                name,
                outcome,
                total,
                latency,
            } => {
                self.figures
                    .counter_calls
                    .with_label_values(&[self::name(outcome)])
                    .inc();
                let others = self
                    .witness
                    .as_ref()
                    .map_or(0.0, |(w, _)| w.others(&name, self.clock.now()));
                self.feed(Event::Total {
                    name,
                    outcome,
                    total,
                    others,
                    latency,
                });
            }
            ToModule::Listed(listed) => self.listed(listed),
            ToModule::Peer { from, bytes } => {
                let now = self.clock.now();
                if !self
                    .witness
                    .as_mut()
                    .is_some_and(|(w, _)| w.heard(from.0, &bytes, now))
                {
                    self.feed(Event::Peer { from, bytes })
                }
            }
        }
    }

    /// Backends have an actor from the first list that names them to the one that has them gone.
    fn listed(
        &mut self,
        Listed {
            form,
            entries,
            addrs,
            names,
        }: Listed,
    ) {
        let unnamed: Arc<str> = "".into();
        if matches!(form, ListForm::Replace | ListForm::Restored) {
            let named: BTreeSet<TgtId> = entries.iter().map(|e| e.tgt).collect();
            self.state.backends.retain(|tgt, _| named.contains(tgt));
        }
        for (n, (e, at)) in entries.iter().zip(addrs).enumerate() {
            if e.health == Health::Gone {
                self.state.backends.remove(&e.tgt);
            } else if self.state.backends.get(&e.tgt).is_none_or(|b| b.at != at) {
                self.state
                    .backends
                    .insert(e.tgt, (self.hire)(at, names.get(n).unwrap_or(&unnamed)));
            }
            if let Some(peer) = self.state.backends.get(&e.tgt) {
                peer.shut.set(e.health != Health::Up);
            }
        }
        self.feed(Event::Targets { form, entries });
    }

    /// A body's last byte has come: its deliveries' times run from now.
    fn whole(&mut self, inv: InvId, deadline: Duration) {
        let now = self.clock.now();
        let Some(held) = self.state.held.get_mut(&inv) else {
            return;
        };
        (held.deadline, held.coming) = (deadline, None);
        for (no, out) in held
            .deliveries
            .iter_mut()
            .enumerate()
            .filter_map(|(no, o)| Some((no, o.as_mut()?)))
        {
            let no = DeliveryNo(no as u32);
            self.state.due.remove(&(out.until, Due::Delivery(inv, no)));
            (out.sent, out.until) = (now, deadline);
            self.state.due.insert((out.until, Due::Delivery(inv, no)));
        }
        self.feed(Event::Whole { inv, deadline });
    }

    /// Takes a delivery off those out.
    fn end(&mut self, inv: InvId, no: DeliveryNo) -> Option<Out> {
        let out = self
            .state
            .held
            .get_mut(&inv)?
            .deliveries
            .get_mut(no.0 as usize)?
            .take()?;
        // Left there, it would wake the gateway for nothing.
        self.state.due.remove(&(out.until, Due::Delivery(inv, no)));
        Some(out)
    }

    /// How a delivery ended; the invocation is closed if its final answer has gone out.
    fn ended(
        &self,
        inv: InvId,
        no: DeliveryNo,
        out: &Out,
        outcome: Outcome,
        report: Report,
    ) -> Event {
        self.figures
            .deliveries
            .with_label_values(&[name(outcome)])
            .inc();
        let closed = self.state.held.get(&inv).is_none_or(|h| h.answer.is_none());
        let latency = self.clock.now().saturating_sub(out.sent);
        let (tgt, used, true_units) = (out.tgt, None, None);
        Event::Outcome {
            inv,
            no,
            tgt,
            outcome,
            latency,
            closed,
            used,
            true_units,
            report,
        }
    }

    fn tell(&mut self, inv: InvId, no: DeliveryNo, out: &Out, outcome: Outcome, report: Report) {
        self.over(out, outcome);
        let event = self.ended(inv, no, out, outcome, report);
        self.feed(event);
        self.tidy(inv);
    }

    /// A delivery that went out is over.
    fn over(&mut self, out: &Out, outcome: Outcome) {
        if let Some(guard) = &mut self.guard {
            let now = self.clock.now();
            guard.ended(out.tgt, outcome, now.saturating_sub(out.sent), now);
        }
    }

    /// The same for one that ends by an action, told once all actions are carried out.
    fn tell_next(&mut self, inv: InvId, no: DeliveryNo, out: &Out, outcome: Outcome) {
        let event = self.ended(inv, no, out, outcome, vec![]);
        self.state.next.push_back(event);
    }

    /// Forgets an invocation that is over and has nothing out.
    fn tidy(&mut self, inv: InvId) {
        let over = |h: &Held| h.answer.is_none() && h.deliveries.iter().all(Option::is_none);
        if self.state.held.get(&inv).is_some_and(over) {
            self.state.held.remove(&inv);
        }
    }

    fn answer(&mut self, inv: InvId, answer: Answer) {
        let Some(held) = self.state.held.get_mut(&inv) else {
            return;
        };
        held.overdue.take().into_iter().for_each(Overdue::give_up);
        held.answer.take().map(|to| to.send(answer).ok());
    }

    /// The decision module has nothing better for the client; an overdue attempt may.
    fn fail(&mut self, inv: InvId, failure: Answer) {
        if let Some(failure) = self.put_off(inv, failure) {
            self.answer(inv, failure);
        }
    }

    /// Hands the rules an event, and those that their actions give rise to.
    pub fn feed(&mut self, event: Event) {
        let mut event = Some(event);
        while let Some(now) = event.take() {
            let at = self.clock.now();
            self.account.iter_mut().for_each(|a| a.event(at, &now));
            for action in self.rules.on(at, now) {
                self.account.iter_mut().for_each(|a| a.action(at, &action));
                self.carry_out(action);
            }
            event = self.state.next.pop_front();
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Deliver { inv, tgt, timeout } => self.deliver(inv, tgt, timeout),
            Action::Cancel { inv, no } => {
                if let Some(out) = self.end(inv, no) {
                    out.line.give_up();
                    self.over(&out, Outcome::Canceled);
                    self.tell_next(inv, no, &out, Outcome::Canceled);
                    self.tidy(inv);
                }
            }
            Action::Throttle {
                inv,
                retry_after,
                why,
            } => {
                let sent = self
                    .state
                    .held
                    .get(&inv)
                    .is_some_and(|h| !h.attempts.is_empty());
                let when = if sent {
                    "after_delivery"
                } else {
                    "before_delivery"
                };
                self.figures.turned_away.with_label_values(&[when]).inc();
                self.figures
                    .turned_away_why
                    .with_label_values(&[why.name()])
                    .inc();
                let held = self.state.held.get(&inv);
                let clean = held.is_none_or(|h| h.attempts.none_executed());
                self.fail(
                    inv,
                    Answer::Throttled {
                        after: retry_after,
                        why,
                        clean,
                    },
                );
                self.tidy(inv);
            }
            Action::Error { inv } => {
                let spare = self.state.held.get_mut(&inv).and_then(|h| h.spare.take());
                match spare {
                    Some(reply) => self.answer(inv, Answer::Succeeded(reply)),
                    None => self.fail(inv, Answer::Errored),
                }
                self.tidy(inv);
            }
            Action::Timer { after, token } => {
                self.state
                    .due
                    .insert((self.clock.now() + after, Due::Token(token)));
            }
            Action::Count { name, add, keep } => {
                let call = Call {
                    name,
                    add,
                    keep,
                    at: self.clock.now(),
                };
                let left = match &self.counter {
                    Some(counter) => counter
                        .try_send(ToCounter::Call(call))
                        .err()
                        .map(|e| e.into_inner()),
                    None => Some(ToCounter::Call(call)),
                };
                if let Some(ToCounter::Call(Call { name, .. })) = left {
                    log!(warn, "counter-crowded", "a call not sent");
                    let (outcome, latency) = (Outcome::Full, Duration::ZERO);
                    self.state.next.push_back(Event::Total {
                        name,
                        outcome,
                        total: 0.0,
                        others: 0.0,
                        latency,
                    });
                }
            }
            Action::CloseIdle { tgt } => {
                if let Some(b) = self.state.backends.get(&tgt) {
                    b.mailbox.try_send(ToBackend::CloseIdle).ok();
                }
            }
            Action::Probe { tgt } => {
                // The platform's protocol has no probes.
                let (outcome, latency, report) = (Outcome::Ignored, Duration::ZERO, vec![]);
                self.state.next.push_back(Event::Probed {
                    tgt,
                    outcome,
                    latency,
                    report,
                });
            }
            Action::Tell { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.try_send(ToPeers { to, bytes }).ok();
                }
            }
            Action::Watch { on } => {
                self.list.try_send(ToList::Watch { on }).ok();
            }
            Action::Fetch => {
                self.list.try_send(ToList::Fetch).ok();
            }
            Action::Log { text } => log!(warn, "module", "{text}"),
            Action::HandOver(carry) => {
                self.carry.take().map(|to| to.send(carry).ok());
            }
        }
    }
}

/// An outcome as the figures name it.
fn name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Failed => "failed",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Canceled => "canceled",
        Outcome::Ignored => "ignored",
    }
}
