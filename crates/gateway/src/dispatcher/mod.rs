//! The decision module's actor: owns the rules, feeds them events in order of arrival, carries out their actions.

mod actions;
mod attempt_policy;
mod overdue;
mod peer_reports;
mod send_attempt;
mod shutdown;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use damsonbeam::Rules;
use damsonbeam::interface::{
    AttemptNumber, BackendId, Carry, Event, GatewayId, Health, InvocationId, ListForm, Outcome,
    Report,
};
use damsonbeam_admin::Figures;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

pub use self::attempt_policy::{AttemptDecision, AttemptPolicy};
use self::overdue::Overdue;
use crate::account::Account;
use crate::attempts::{Attempts, Ending};
use crate::clock::Clock;
use crate::messages::{
    Answer, AttemptEnded, BackendHandle, BackendListUpdate, BackendResponse, CancelHandle,
    ForwardedRequest, ToCounter, ToDispatcher, ToListWatcher, ToPeers,
};
use crate::peer_admissions::{self, PeerAdmissions};

/// Events taken from the mailbox at a time.
const MAX_BATCH: usize = 64;
/// The figures that are looked up, not counted, are this old at most.
const FIGURES_INTERVAL: Duration = Duration::from_millis(200);

/// A request that is not answered, or that has attempts out.
struct PendingRequest {
    request: Rc<ForwardedRequest>,
    deadline: Duration,
    /// While its body comes: how long its client waits from then on.
    coming: Option<Duration>,
    answer: Option<oneshot::Sender<Answer>>,
    /// A failed attempt's response, which the client gets where no better one comes.
    fallback: Option<BackendResponse>,
    attempts: Attempts,
    overdue: Option<Overdue>,
    in_flight: Vec<Option<InFlightAttempt>>,
}

/// An attempt that is out.
struct InFlightAttempt {
    backend_id: BackendId,
    sent: Duration,
    until: Duration,
    cancel_handle: Rc<CancelHandle>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Rules(String),
    AttemptTimeout(InvocationId, AttemptNumber),
    /// An overdue attempt after which nothing follows.
    OverdueEnd(InvocationId),
    /// The report to the other gateways.
    PeerReport,
    /// The figures that only the rules know.
    Figures,
}

/// Starts the actor of a backend: where it is, and what it is called.
pub type SpawnBackend = Box<dyn Fn(SocketAddr, &Arc<str>) -> BackendHandle>;

/// The decision module's actor.
pub struct Dispatcher {
    /// The decisions.
    pub rules: Rules,
    /// The time that events carry.
    pub clock: Clock,
    /// What happens.
    pub mailbox: mpsc::Receiver<ToDispatcher>,
    /// Starts a backend's actor.
    pub spawn_backend: SpawnBackend,
    /// Its own mailbox, for what its attempts tell.
    pub own_mailbox: mpsc::Sender<ToDispatcher>,
    /// What all gateways share besides the quotas: where the protocol sets it.
    pub attempt_policy: Option<Box<dyn AttemptPolicy>>,
    /// The shared counter, if there is one.
    pub counter: Option<mpsc::Sender<ToCounter>>,
    /// The watcher of the list of backends.
    pub list_watcher: mpsc::Sender<ToListWatcher>,
    /// The other gateways, if there are any.
    pub peers: Option<mpsc::Sender<ToPeers>>,
    /// Where `peer_admissions` is set: the other gateways' adds, and the peers (by number) to report to.
    pub peer_admissions: Option<(PeerAdmissions, Vec<GatewayId>)>,
    /// What is under way.
    pub state: DispatcherState,
    /// What is counted for operators.
    pub figures: Figures,
    /// What is logged of each second, where it is.
    pub account: Option<Account>,
    /// Whether somebody may ask for the figures.
    pub reports_figures: bool,
    /// Who waits for what the rules hand over.
    pub carry: Option<oneshot::Sender<Box<Carry>>>,
}

/// What is under way.
#[derive(Default)]
pub struct DispatcherState {
    requests: HashMap<InvocationId, PendingRequest>,
    backends: BTreeMap<BackendId, BackendHandle>,
    timers: BTreeSet<(Duration, Timer)>,
    /// Events that actions gave rise to.
    follow_up_events: VecDeque<Event>,
}

impl Dispatcher {
    /// Runs until nobody sends events any more.
    pub async fn run(mut self) {
        if self.peer_admissions.is_some() {
            self.state.timers.insert((
                self.clock.now() + peer_admissions::REPORT_INTERVAL,
                Timer::PeerReport,
            ));
        }
        if self.reports_figures {
            self.state.timers.insert((self.clock.now(), Timer::Figures));
        }
        let wake = sleep_until(self.clock.instant(Duration::ZERO));
        tokio::pin!(wake);
        let mut armed: Option<Duration> = None;
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            let next = self.state.timers.first().map(|(at, _)| *at);
            if let Some(at) = next.filter(|_| next != armed) {
                wake.as_mut().reset(self.clock.instant(at));
            }
            armed = next;
            tokio::select! {
                biased;
                n = self.mailbox.recv_many(&mut batch, MAX_BATCH) => {
                    if n == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|message| self.handle_message(message));
                }
                () = &mut wake, if armed.is_some() => armed = None,
            }
            self.run_timers();
        }
    }

    fn run_timers(&mut self) {
        let now = self.clock.now();
        while self.state.timers.first().is_some_and(|(at, _)| *at <= now) {
            match self.state.timers.pop_first().expect("seen above").1 {
                Timer::Rules(token) => self.handle_event(Event::Timer { token }),
                Timer::AttemptTimeout(invocation_id, number) => {
                    self.timed_out(invocation_id, number)
                }
                Timer::OverdueEnd(invocation_id) => self.overdue_timed_out(invocation_id),
                Timer::PeerReport => self.report_to_peers(now),
                Timer::Figures => {
                    let (listed, avoided) = self.rules.backends();
                    self.figures.cluster_size.set(listed as i64);
                    self.figures.cluster_unhealthy.set(avoided as i64);
                    self.state
                        .timers
                        .insert((now + FIGURES_INTERVAL, Timer::Figures));
                }
            }
        }
    }

    fn handle_message(&mut self, message: ToDispatcher) {
        match message {
            ToDispatcher::Invocation {
                invocation,
                time_left,
                repeatable,
                request,
                answer,
            } => {
                let request = PendingRequest {
                    request,
                    deadline: invocation.deadline,
                    coming: invocation.body_pending.then_some(time_left),
                    answer: Some(answer),
                    fallback: None,
                    attempts: Attempts::new(repeatable),
                    overdue: None,
                    in_flight: Vec::new(),
                };
                self.state.requests.insert(invocation.id, request);
                self.handle_event(Event::Invocation(invocation));
            }
            ToDispatcher::BodyComplete {
                invocation_id,
                deadline,
            } => self.body_complete(invocation_id, deadline),
            ToDispatcher::BodyConsumed { invocation_id } => {
                if self.state.requests.contains_key(&invocation_id) {
                    self.handle_event(Event::BodyConsumed { invocation_id });
                }
            }
            ToDispatcher::Settings(settings) => self.handle_event(Event::Settings(settings)),
            ToDispatcher::Yield(reply_to) => {
                self.carry = Some(reply_to);
                self.handle_event(Event::Yield);
            }
            ToDispatcher::Resume => self.handle_event(Event::Resume),
            ToDispatcher::RefuseUnsent(reply_to) => drop(reply_to.send(self.refuse_unsent())),
            ToDispatcher::AnswerAll(reply_to) => drop(reply_to.send(self.answer_all())),
            ToDispatcher::TakeOver(carry) => self.handle_event(Event::TakeOver(carry)),
            ToDispatcher::ClientGone { invocation_id } => self.client_gone(invocation_id),
            ToDispatcher::AttemptEnded(ended) => self.handle_attempt_ended(ended),
            ToDispatcher::CounterTotal {
                name,
                outcome,
                total,
                latency,
            } => self.counter_total(name, outcome, total, latency),
            ToDispatcher::BackendList(update) => self.update_backends(update),
            ToDispatcher::PeerMessage { from, bytes } => self.peer_message(from, bytes),
        }
    }

    fn client_gone(&mut self, invocation_id: InvocationId) {
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return;
        };
        if let Some(overdue) = request.overdue.take() {
            overdue.cancel();
        }
        if request.answer.take().is_some() {
            self.handle_event(Event::ClientGone { invocation_id });
            self.forget_if_finished(invocation_id);
        }
    }

    fn handle_attempt_ended(&mut self, ended: AttemptEnded) {
        let (invocation_id, number) = (ended.invocation_id, ended.number);
        // One whose time was over has had its outcome.
        let Some(attempt) = self.take_attempt(invocation_id, number) else {
            return self.overdue_done(ended);
        };
        let AttemptEnded {
            ending,
            response,
            report,
            ..
        } = ended;
        let outcome = ending.outcome();
        let request = self.state.requests.get_mut(&invocation_id);
        if let (Ending::NotExecuted(proof), Some(request)) = (ending, request) {
            request.attempts.not_executed(number, proof);
        }
        match (response, self.state.requests.get_mut(&invocation_id)) {
            (Some(response), _) if outcome == Outcome::Ok => {
                self.answer(invocation_id, Answer::Succeeded(response));
            }
            (fallback @ Some(_), Some(request)) => request.fallback = fallback,
            _ => {}
        }
        self.attempt_ended(invocation_id, number, &attempt, outcome, report);
    }

    fn counter_total(&mut self, name: String, outcome: Outcome, total: f64, latency: Duration) {
        let calls = &self.figures.counter_calls;
        calls.with_label_values(&[outcome_name(outcome)]).inc();
        let now = self.clock.now();
        let others = match &self.peer_admissions {
            Some((admissions, _)) => admissions.admitted_by_peers(&name, now),
            None => 0.0,
        };
        self.handle_event(Event::CounterTotal {
            name,
            outcome,
            total,
            others,
            latency,
        });
    }

    /// A datagram of another gateway: a report of what it admitted, or one for the rules.
    fn peer_message(&mut self, from: GatewayId, bytes: Vec<u8>) {
        let now = self.clock.now();
        let is_report = match &mut self.peer_admissions {
            Some((admissions, _)) => admissions.record_report(from.0, &bytes, now),
            None => false,
        };
        if !is_report {
            self.handle_event(Event::PeerMessage { from, bytes });
        }
    }

    /// Backends have an actor from the first list that names them to the one that has them gone.
    fn update_backends(
        &mut self,
        BackendListUpdate {
            form,
            entries,
            addresses,
            names,
        }: BackendListUpdate,
    ) {
        let unnamed: Arc<str> = "".into();
        if matches!(form, ListForm::Replace | ListForm::Restored) {
            let named: BTreeSet<BackendId> = entries.iter().map(|entry| entry.backend_id).collect();
            self.state
                .backends
                .retain(|backend_id, _| named.contains(backend_id));
        }
        for (position, (entry, address)) in entries.iter().zip(addresses).enumerate() {
            let id = entry.backend_id;
            if entry.health == Health::Gone {
                self.state.backends.remove(&id);
                continue;
            }
            let known = self.state.backends.get(&id);
            if known.is_none_or(|backend| backend.at != address) {
                let name = names.get(position).unwrap_or(&unnamed);
                let backend = (self.spawn_backend)(address, name);
                self.state.backends.insert(id, backend);
            }
            if let Some(backend) = self.state.backends.get(&id) {
                backend.closed.set(entry.health != Health::Up);
            }
        }
        self.handle_event(Event::BackendList { form, entries });
    }

    /// A body's last byte has come: its attempts' times run from now.
    fn body_complete(&mut self, invocation_id: InvocationId, deadline: Duration) {
        let now = self.clock.now();
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return;
        };
        request.deadline = deadline;
        request.coming = None;
        for (number, attempt) in request.in_flight.iter_mut().enumerate() {
            let Some(attempt) = attempt else {
                continue;
            };
            let number = AttemptNumber(number as u32);
            let timers = &mut self.state.timers;
            timers.remove(&(attempt.until, Timer::AttemptTimeout(invocation_id, number)));
            attempt.sent = now;
            attempt.until = deadline;
            timers.insert((deadline, Timer::AttemptTimeout(invocation_id, number)));
        }
        self.handle_event(Event::BodyComplete {
            invocation_id,
            deadline,
        });
    }

    /// Takes an attempt off those out.
    fn take_attempt(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
    ) -> Option<InFlightAttempt> {
        let attempt = self
            .state
            .requests
            .get_mut(&invocation_id)?
            .in_flight
            .get_mut(number.0 as usize)?
            .take()?;
        // Left there, it would wake the gateway for nothing.
        self.state
            .timers
            .remove(&(attempt.until, Timer::AttemptTimeout(invocation_id, number)));
        Some(attempt)
    }

    /// How an attempt ended; the invocation is closed if its final answer has gone out.
    fn outcome_event(
        &self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        report: Report,
    ) -> Event {
        self.figures
            .deliveries
            .with_label_values(&[outcome_name(outcome)])
            .inc();
        let closed = self
            .state
            .requests
            .get(&invocation_id)
            .is_none_or(|request| request.answer.is_none());
        let latency = self.clock.now().saturating_sub(attempt.sent);
        Event::AttemptEnded {
            invocation_id,
            attempt: number,
            backend_id: attempt.backend_id,
            outcome,
            latency,
            closed,
            used: None,
            true_units: None,
            report,
        }
    }

    fn attempt_ended(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        report: Report,
    ) {
        self.notify_policy(attempt, outcome);
        let event = self.outcome_event(invocation_id, number, attempt, outcome, report);
        self.handle_event(event);
        self.forget_if_finished(invocation_id);
    }

    /// An attempt that went out is over.
    fn notify_policy(&mut self, attempt: &InFlightAttempt, outcome: Outcome) {
        if let Some(attempt_policy) = &mut self.attempt_policy {
            let now = self.clock.now();
            attempt_policy.after_attempt(
                attempt.backend_id,
                outcome,
                now.saturating_sub(attempt.sent),
                now,
            );
        }
    }

    /// The same for one that ends by an action, told once all actions are carried out.
    fn queue_ended(
        &mut self,
        invocation_id: InvocationId,
        number: AttemptNumber,
        attempt: &InFlightAttempt,
        outcome: Outcome,
    ) {
        let event = self.outcome_event(invocation_id, number, attempt, outcome, vec![]);
        self.state.follow_up_events.push_back(event);
    }

    /// Forgets an invocation that is over and has nothing out.
    fn forget_if_finished(&mut self, invocation_id: InvocationId) {
        let over =
            |h: &PendingRequest| h.answer.is_none() && h.in_flight.iter().all(Option::is_none);
        if self.state.requests.get(&invocation_id).is_some_and(over) {
            self.state.requests.remove(&invocation_id);
        }
    }

    fn answer(&mut self, invocation_id: InvocationId, answer: Answer) {
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return;
        };
        if let Some(overdue) = request.overdue.take() {
            overdue.cancel();
        }
        if let Some(waiting) = request.answer.take() {
            waiting.send(answer).ok();
        }
    }

    /// The decision module has nothing better for the client; an overdue attempt may.
    fn answer_failure(&mut self, invocation_id: InvocationId, failure: Answer) {
        if let Some(failure) = self.defer_failure(invocation_id, failure) {
            self.answer(invocation_id, failure);
        }
    }

    /// Hands the rules an event, and those that their actions give rise to.
    pub fn handle_event(&mut self, event: Event) {
        let mut event = Some(event);
        while let Some(current) = event.take() {
            let now = self.clock.now();
            if let Some(account) = &mut self.account {
                account.event(now, &current);
            }
            for action in self.rules.on(now, current) {
                if let Some(account) = &mut self.account {
                    account.action(now, &action);
                }
                self.carry_out(action);
            }
            event = self.state.follow_up_events.pop_front();
        }
    }
}

/// An outcome as the figures name it.
fn outcome_name(outcome: Outcome) -> &'static str {
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
