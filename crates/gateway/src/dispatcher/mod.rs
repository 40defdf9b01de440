//! The dispatcher: the actor that owns the decision module, passes it events in order of arrival and carries out its
//! actions.

mod actions;
mod attempt_end;
mod attempt_policy;
mod backend_updates;
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
    AttemptNumber, BackendId, Event, GatewayId, HandoverState, InvocationId, Outcome,
};
use damsonbeam_admin::Metrics;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

use self::attempt_end::outcome_name;
pub use self::attempt_policy::{AttemptDecision, AttemptPolicy};
use self::overdue::Overdue;
use crate::account::Account;
use crate::attempts::Attempts;
use crate::clock::Clock;
use crate::log::log;
use crate::messages::{
    Answer, BackendHandle, BackendResponse, CancelHandle, ForwardedRequest, PeerDatagram,
    ToCounter, ToDispatcher, ToListWatcher,
};
use crate::peer_admissions::{self, PeerAdmissions};

/// Most messages taken from the mailbox at once.
const MAX_BATCH: usize = 64;
/// Interval at which the gauges that only the decision module knows are updated.
const METRICS_INTERVAL: Duration = Duration::from_millis(200);

/// A request that is unanswered or has attempts in flight.
struct PendingRequest {
    request: Rc<ForwardedRequest>,
    /// When the client stops waiting, as Unix time.
    deadline: Duration,
    /// How long the client waits after the body's last byte; `Some` only until that byte has arrived.
    timeout_after_body: Option<Duration>,
    /// Receives the final answer; `None` once the answer is sent or the client is gone.
    answer: Option<oneshot::Sender<Answer>>,
    /// A failed attempt's response, sent to the client if no attempt succeeds.
    fallback: Option<BackendResponse>,
    attempts: Attempts,
    overdue: Option<Overdue>,
    /// The attempts by their numbers; `None` for those that have ended or were not sent.
    in_flight: Vec<Option<InFlightAttempt>>,
}

/// An attempt that was passed to its backend's actor and has not ended.
struct InFlightAttempt {
    backend_id: BackendId,
    /// When the attempt was sent, as Unix time.
    sent: Duration,
    /// When the attempt times out, as Unix time.
    until: Duration,
    cancel_handle: Rc<CancelHandle>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A timer of the decision module, with its token.
    Rules(String),
    AttemptTimeout(InvocationId, AttemptNumber),
    /// The end of the extra time of an overdue attempt that no other attempt follows.
    OverdueEnd(InvocationId),
    /// The report to the other gateways.
    PeerReport,
    /// The update of the gauges that only the decision module knows.
    Metrics,
}

/// Starts the actor of a backend with an address and a name.
pub type SpawnBackend = Box<dyn Fn(SocketAddr, &Arc<str>) -> BackendHandle>;

/// The actor that owns the decision module.
pub struct Dispatcher {
    /// The decision module.
    pub rules: Rules,
    /// The clock that gives events their times.
    pub clock: Clock,
    /// The messages to this actor.
    pub mailbox: mpsc::Receiver<ToDispatcher>,
    /// Starts a backend's actor.
    pub spawn_backend: SpawnBackend,
    /// The sender to `mailbox`, passed to backends' actors for the results of attempts.
    pub own_mailbox: mpsc::Sender<ToDispatcher>,
    /// Limits on attempts that all gateways share apart from the quotas, if the protocol sets any.
    pub attempt_policy: Option<Box<dyn AttemptPolicy>>,
    /// The shared counter, if there is one.
    pub counter: Option<mpsc::Sender<ToCounter>>,
    /// The watcher of the list of backends.
    pub list_watcher: mpsc::Sender<ToListWatcher>,
    /// The other gateways, if there are any.
    pub peers: Option<mpsc::Sender<PeerDatagram>>,
    /// The units that the other gateways reported as admitted, and the gateways to report to; `None` if gateways don't
    /// report to each other.
    pub peer_admissions: Option<(PeerAdmissions, Vec<GatewayId>)>,
    /// The open requests, backends and timers.
    pub state: DispatcherState,
    /// The metrics.
    pub metrics: Metrics,
    /// The counts logged each second, if the log level asks for them.
    pub account: Option<Account>,
    /// Whether the metrics can be read, so that the gauges must be kept up to date.
    pub reports_metrics: bool,
    /// Receives the state that the decision module hands over, while that is awaited.
    pub carry: Option<oneshot::Sender<Box<HandoverState>>>,
}

/// The dispatcher's open requests, backends and timers.
#[derive(Default)]
pub struct DispatcherState {
    requests: HashMap<InvocationId, PendingRequest>,
    backends: BTreeMap<BackendId, BackendHandle>,
    /// The timers, each with the Unix time at which it fires.
    timers: BTreeSet<(Duration, Timer)>,
    /// Events that actions caused, to be handled after all actions of the current event.
    follow_up_events: VecDeque<Event>,
}

impl Dispatcher {
    /// Runs until all senders to the mailbox are dropped.
    pub async fn run(mut self) {
        if self.peer_admissions.is_some() {
            self.state.timers.insert((
                self.clock.now() + peer_admissions::REPORT_INTERVAL,
                Timer::PeerReport,
            ));
        }
        if self.reports_metrics {
            self.state.timers.insert((self.clock.now(), Timer::Metrics));
        }
        let wake = sleep_until(self.clock.to_instant(Duration::ZERO));
        tokio::pin!(wake);
        let mut wake_at: Option<Duration> = None;
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            let next = self.state.timers.first().map(|(at, _)| *at);
            if let Some(at) = next.filter(|_| next != wake_at) {
                wake.as_mut().reset(self.clock.to_instant(at));
            }
            wake_at = next;
            tokio::select! {
                biased;
                n = self.mailbox.recv_many(&mut batch, MAX_BATCH) => {
                    if n == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|message| self.handle_message(message));
                }
                () = &mut wake, if wake_at.is_some() => wake_at = None,
            }
            self.run_timers();
        }
    }

    fn run_timers(&mut self) {
        let now = self.clock.now();
        while self.state.timers.first().is_some_and(|(at, _)| *at <= now) {
            match self
                .state
                .timers
                .pop_first()
                .expect("the loop condition checked for a timer")
                .1
            {
                Timer::Rules(token) => self.handle_event(Event::TimerFired { token }),
                Timer::AttemptTimeout(invocation_id, number) => {
                    self.attempt_timed_out(invocation_id, number)
                }
                Timer::OverdueEnd(invocation_id) => self.overdue_timed_out(invocation_id),
                Timer::PeerReport => self.report_to_peers(now),
                Timer::Metrics => {
                    let (listed, avoided) = self.rules.backend_counts();
                    self.metrics.cluster_size.set(listed as i64);
                    self.metrics.cluster_unhealthy.set(avoided as i64);
                    self.state
                        .timers
                        .insert((now + METRICS_INTERVAL, Timer::Metrics));
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
                reply_to,
            } => {
                let request = PendingRequest {
                    request,
                    deadline: invocation.deadline,
                    timeout_after_body: invocation.body_pending.then_some(time_left),
                    answer: Some(reply_to),
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
            ToDispatcher::UploadTimedOut { invocation_id } => self.upload_timed_out(invocation_id),
            ToDispatcher::BodyConsumed { invocation_id } => {
                if self.state.requests.contains_key(&invocation_id) {
                    self.handle_event(Event::BodyConsumed { invocation_id });
                }
            }
            ToDispatcher::Settings(settings) => self.handle_event(Event::Settings(settings)),
            ToDispatcher::Yield(reply_to) => {
                self.carry = Some(reply_to);
                self.handle_event(Event::HandOver);
            }
            ToDispatcher::Resume => self.handle_event(Event::Resume),
            ToDispatcher::RefuseUnsent(reply_to) => drop(reply_to.send(self.refuse_unsent())),
            ToDispatcher::AnswerAll(reply_to) => drop(reply_to.send(self.answer_all())),
            ToDispatcher::TakeOver(carry) => self.handle_event(Event::TakeOver(carry)),
            ToDispatcher::ClientDisconnected { invocation_id } => self.client_gone(invocation_id),
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
            self.handle_event(Event::ClientDisconnected { invocation_id });
            self.forget_if_finished(invocation_id);
        }
    }

    fn counter_total(&mut self, name: String, outcome: Outcome, total: f64, latency: Duration) {
        let calls = &self.metrics.counter_calls;
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
            peer_units: others,
            latency,
        });
    }

    /// Handles a datagram of another gateway: either a report of admitted units or a message for the decision module.
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

    /// Handles the arrival of a body's last byte: sets the client's deadline and starts the latencies and timeouts of the
    /// request's attempts at the present time.
    fn body_complete(&mut self, invocation_id: InvocationId, deadline: Duration) {
        let now = self.clock.now();
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return;
        };
        for attempt in request.in_flight.iter_mut().flatten() {
            attempt.sent = now;
        }
        self.set_deadline(invocation_id, deadline);
    }

    /// Ends the wait for a body that was held up for too long: the request's deadline is now.
    fn upload_timed_out(&mut self, invocation_id: InvocationId) {
        let request = self.state.requests.get(&invocation_id);
        if request.is_some_and(|request| request.timeout_after_body.is_some()) {
            log!(info, "upload-timeout", "invocation {}", invocation_id.0);
            self.set_deadline(invocation_id, self.clock.now());
        }
    }

    /// Sets the deadline of a request whose body was pending, and that of its attempts.
    fn set_deadline(&mut self, invocation_id: InvocationId, deadline: Duration) {
        let Some(request) = self.state.requests.get_mut(&invocation_id) else {
            return;
        };
        request.deadline = deadline;
        request.timeout_after_body = None;
        for (number, attempt) in request.in_flight.iter_mut().enumerate() {
            let Some(attempt) = attempt else {
                continue;
            };
            let number = AttemptNumber(number as u32);
            let timers = &mut self.state.timers;
            timers.remove(&(attempt.until, Timer::AttemptTimeout(invocation_id, number)));
            attempt.until = deadline;
            timers.insert((deadline, Timer::AttemptTimeout(invocation_id, number)));
        }
        self.handle_event(Event::BodyComplete {
            invocation_id,
            deadline,
        });
    }

    /// Forgets an invocation that is answered and has no attempts in flight.
    fn forget_if_finished(&mut self, invocation_id: InvocationId) {
        let over =
            |r: &PendingRequest| r.answer.is_none() && r.in_flight.iter().all(Option::is_none);
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
        if let Some(reply_to) = request.answer.take() {
            reply_to.send(answer).ok();
        }
    }

    /// Answers a request with a failure, unless an overdue attempt may still bring a response.
    fn answer_failure(&mut self, invocation_id: InvocationId, failure: Answer) {
        if let Some(failure) = self.defer_failure(invocation_id, failure) {
            self.answer(invocation_id, failure);
        }
    }

    /// Passes an event to the decision module and carries out its actions; then does the same for the events that these
    /// actions cause.
    pub fn handle_event(&mut self, event: Event) {
        let mut event = Some(event);
        while let Some(current) = event.take() {
            let now = self.clock.now();
            if let Some(account) = &mut self.account {
                account.count_event(now, &current);
            }
            for action in self.rules.handle_event(now, current) {
                if let Some(account) = &mut self.account {
                    account.count_action(now, &action);
                }
                self.carry_out(action);
            }
            event = self.state.follow_up_events.pop_front();
        }
    }
}
