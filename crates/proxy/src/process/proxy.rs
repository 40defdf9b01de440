//! The state of a proxy process, with a handler for each kind of event.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use damsonbeam_admin::Metrics;
use damsonbeam_control::config::ConnectionLimits;
use damsonbeam_control::link::{LinkError, listen};
use damsonbeam_control::messages::{Backend, Heartbeat};
use damsonbeam_gateway::clients::{ClientTimeouts, Clients};
use damsonbeam_gateway::clock::Clock;
use damsonbeam_gateway::messages::{ToDispatcher, Unanswered};
use damsonbeam_gateway::phase::{CurrentPhase, Phase};
use rand::Rng;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::counts::QuotaClient;
use crate::backend_pool::{BackendPool, RegionPosition};
use crate::control_client::{ControlEvent, SharedControlState};
use crate::dispatch::{Dispatchers, QuotaCounterCall};
use crate::freshness::ServingState;
use crate::mirroring::SharedMirror;
use crate::quota::is_proxy_count_usable;
use crate::retry_budget::RetryBudget;
use crate::routing_table::RoutingTable;
use crate::shutdown::{Shutdown, ShutdownStep};
use crate::unserved::UnservedLog;

/// Minimum time for which an idle client connection is kept. Connections close later than the client was told, so that
/// no request crosses the close.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Seconds by which the idle timeout that clients are told is shorter than the configured one.
const ADVERTISED_IDLE_MARGIN_S: u64 = 2;
/// Minimum time that a client gets for sending the head of a request.
const MIN_HEADER_TIMEOUT: Duration = Duration::from_millis(200);

/// The requests that all decision modules together had unanswered at a step of a shutdown.
pub(super) struct ShutdownReport {
    step: ShutdownStep,
    unanswered: Unanswered,
}

/// The state of a proxy process. Components in an `Rc` are shared with other tasks, such as those that serve clients.
pub(super) struct Proxy {
    /// Time from SIGTERM until the platform would send SIGKILL.
    pub(super) grace_period: Duration,
    pub(super) node_name: String,
    pub(super) client_address: SocketAddr,
    pub(super) clock: Clock,
    pub(super) phase: CurrentPhase,
    pub(super) control: SharedControlState,
    pub(super) quota_client: QuotaClient,
    pub(super) routing_table: Rc<RefCell<Rc<RoutingTable>>>,
    pub(super) backend_pool: Rc<RefCell<BackendPool>>,
    pub(super) dispatchers: Rc<RefCell<Dispatchers>>,
    pub(super) retry_budget: Rc<RefCell<RetryBudget>>,
    pub(super) mirror: SharedMirror,
    pub(super) unserved: Rc<RefCell<UnservedLog>>,
    pub(super) metrics: Metrics,
    pub(super) clients: Rc<Clients>,
    /// The idle timeout that clients are told, in seconds; 0 where they are told none.
    pub(super) advertised_idle_s: Rc<Cell<u64>>,
    /// The coordinator's time minus this process's clock, in seconds.
    pub(super) time_offset_s: Rc<Cell<f64>>,
    pub(super) region_position: RegionPosition,
    /// The task that accepts client connections; `None` before the proxy serves and after it has stopped accepting.
    pub(super) accept_task: Option<JoinHandle<()>>,
    /// The shutdown in progress, with the time of SIGTERM.
    pub(super) shutdown: Option<(Instant, Shutdown)>,
    pub(super) shutdown_reports: mpsc::Sender<ShutdownReport>,
}

fn random_fraction() -> f64 {
    rand::rng().random()
}

impl Proxy {
    pub(super) fn handle_control_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::ConfigChanged => self.handle_config(),
            ControlEvent::BackendListReceived(backends) => self.handle_backends(backends),
            ControlEvent::CoordinatorHeartbeat(heartbeat) => {
                self.handle_coordinator_heartbeat(&heartbeat);
            }
            ControlEvent::OtherHeartbeat(heartbeat) => self.handle_other_heartbeat(&heartbeat),
            ControlEvent::CountTotals { term, totals } => {
                let now = self.clock.now();
                self.quota_client.counter.receive_totals(term, &totals, now);
            }
            ControlEvent::SetAllotments {
                term,
                revision,
                allotments,
            } => self
                .quota_client
                .apply_allotments(term, revision, &allotments),
            ControlEvent::AllotmentStatus {
                term,
                departed_proxies,
                absent,
            } => {
                let now = self.clock.now();
                let quota = &mut self.quota_client.counter;
                quota.receive_allotment_status(term, departed_proxies, &absent, now);
            }
            ControlEvent::CoordinatorLost => {
                self.quota_client.counter.record_coordinator_disconnect()
            }
            ControlEvent::Partners { near, far } => {
                if let Some(load_reports) = self.backend_pool.borrow_mut().load_reports() {
                    load_reports.set_partners(near, far);
                }
            }
        }
    }

    /// Applies the merged configuration to all components.
    fn handle_config(&mut self) {
        let table = RoutingTable::from_snapshot(self.control.borrow().snapshot());
        let table = Rc::new(table);
        if let Some(limits) = &table.connection_limits {
            self.apply_limits(limits);
        }
        let now = self.clock.now();
        self.backend_pool
            .borrow_mut()
            .set_evacuated_zones(&table, now, &mut random_fraction);
        *self.routing_table.borrow_mut() = table.clone();
        self.mirror.update_rules(table.mirror_rules.clone());
        let mut dispatchers = self.dispatchers.borrow_mut();
        dispatchers.apply_config(&table);
        for (tenant, rate, slot_s) in dispatchers.tenant_quota_slots() {
            self.quota_client
                .counter
                .set_tenant_quota(&tenant, rate, slot_s);
        }
        dispatchers.send_backends();
    }

    /// Sets the timeouts of client connections and the largest size of a body from the configured limits.
    fn apply_limits(&self, limits: &ConnectionLimits) {
        self.clients.set_max_body(limits.body_bytes);
        let idle = Duration::from_millis(limits.idle_timeout_ms);
        self.advertised_idle_s
            .set(idle.as_secs().saturating_sub(ADVERTISED_IDLE_MARGIN_S));
        let header = Duration::from_millis(limits.header_timeout_ms);
        self.clients.set_timeouts(ClientTimeouts {
            request_head: header.max(MIN_HEADER_TIMEOUT),
            idle_connection: idle.max(MIN_IDLE_TIMEOUT),
        });
    }

    /// Applies a new backend list.
    fn handle_backends(&mut self, backends: Vec<Backend>) {
        let version = self.control.borrow().backend_list();
        self.unserved.borrow_mut().set_backend_list(version);
        let table = self.routing_table.borrow().clone();
        let now = self.clock.now();
        let mut pool = self.backend_pool.borrow_mut();
        pool.update(backends, &table, now, &mut random_fraction);
        drop(pool);
        self.dispatchers.borrow_mut().update_settings();
        self.dispatchers.borrow().send_backends();
    }

    /// Updates the number of proxies, this proxy's position in its region, and the coordinator's time and term.
    fn handle_coordinator_heartbeat(&mut self, heartbeat: &Heartbeat) {
        if heartbeat.known_proxy_count > 0 {
            self.set_proxy_count(heartbeat.known_proxy_count, heartbeat.connected_proxy_count);
            self.set_region_position(RegionPosition {
                position: heartbeat.region_position,
                proxy_count: heartbeat.region_proxy_count,
            });
        }
        let control = self.control.borrow();
        if let Some(time) = control.coordinator_time() {
            let since_report = time.received_at.elapsed();
            let coordinator_time = Duration::from_millis(time.time_ms) + since_report;
            let offset_s = coordinator_time.as_secs_f64() - self.clock.now().as_secs_f64();
            self.time_offset_s.set(offset_s);
            self.unserved.borrow_mut().set_term(time.term);
            let quota = &mut self.quota_client.counter;
            quota.set_time_offset(offset_s, self.clock.now());
            quota.set_coordinator(time.term, control.coordinator_sender().is_some());
            quota.record_coordinator_heartbeat(self.clock.now());
        }
    }

    /// Uses the number of proxies that another registry reports, until the more accurate one of a coordinator is known.
    fn handle_other_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let has_coordinators = self.control.borrow().coordinator_time().is_some();
        if !has_coordinators && is_proxy_count_usable(heartbeat) {
            self.set_proxy_count(heartbeat.known_proxy_count, heartbeat.known_proxy_count);
        }
    }

    /// Sets the number of proxies that share the quotas and budgets which apply to all proxies together.
    fn set_proxy_count(&mut self, known: u32, attached: u32) {
        let proxies = self
            .quota_client
            .counter
            .set_proxy_count(known, attached, self.clock.now());
        self.mirror.set_proxy_count(proxies);
        self.retry_budget.borrow_mut().set_proxy_count(proxies);
        self.backend_pool.borrow_mut().set_proxy_count(proxies);
    }

    fn set_region_position(&mut self, position: RegionPosition) {
        self.backend_pool.borrow_mut().set_region_position(position);
        if position == self.region_position {
            return;
        }
        self.region_position = position;
        let mut dispatchers = self.dispatchers.borrow_mut();
        dispatchers.set_region_proxies(position.proxy_count);
        dispatchers.send_backends();
    }

    pub(super) fn handle_count_call(&mut self, call: QuotaCounterCall) {
        self.quota_client.answer(call);
    }

    /// Does the periodic work; returns whether the process is to exit. `late_by` is the delay of the timer.
    pub(super) fn handle_tick(&mut self, late_by: Duration) -> bool {
        self.mirror.record_timer_delay(late_by);
        self.quota_client.send_reports();
        let is_current = self.control.borrow_mut().freshness().is_current();
        let is_possibly_old = self.accept_task.is_some() && !is_current;
        self.metrics.possibly_old.set(i64::from(is_possibly_old));
        if let Some(line) = self.unserved.borrow_mut().log_line(self.clock.now()) {
            log::info!("account: {line}");
        }
        self.update_slow_start_backends();
        self.step_shutdown()
    }

    /// Sends the modules the backends again if a backend in slow start can take a request and a module does not know it.
    fn update_slow_start_backends(&mut self) {
        let now = self.clock.now();
        let needs_announcement = {
            let mut pool = self.backend_pool.borrow_mut();
            pool.slow_start().needs_announcement(now)
        };
        if needs_announcement {
            self.dispatchers.borrow().send_backends();
        }
    }

    /// Handles SIGTERM: starts the shutdown, unless it has started before.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        log::info!("proxy: SIGTERM received; draining, clients are sent to other proxies.");
        self.shutdown = Some((Instant::now(), Shutdown::new(self.grace_period)));
        self.clients
            .set_shutdown_deadline(self.clock.now() + Shutdown::time_to_answer(self.grace_period));
        self.phase.enter(Phase::Draining, &self.node_name);
        self.control.borrow_mut().set_ready(false);
    }

    /// Does the next step of the shutdown, if one is due; returns whether the process is to exit.
    fn step_shutdown(&mut self) -> bool {
        let Some((sigterm_at, shutdown)) = &mut self.shutdown else {
            return false;
        };
        match shutdown.step(sigterm_at.elapsed(), self.clients.pending_requests()) {
            None => {}
            Some(step @ ShutdownStep::RefuseUnsent) => {
                self.notify_all(step, ToDispatcher::RefuseUnsent)
            }
            Some(step @ ShutdownStep::AnswerAll) => self.notify_all(step, ToDispatcher::AnswerAll),
            Some(ShutdownStep::StopAccepting) => {
                self.phase.enter(Phase::Finishing, &self.node_name);
                if let Some(accept_task) = self.accept_task.take() {
                    accept_task.abort();
                }
                self.clients.close_connections();
            }
            Some(ShutdownStep::AnnounceDeparture) => self.control.borrow().send_departed(),
            Some(ShutdownStep::Exit) => {
                let unanswered = self.clients.pending_requests();
                log::info!("proxy: exiting with {unanswered} answers not written in full.");
                return true;
            }
        }
        false
    }

    /// Sends all modules a message of the shutdown, and reports their unanswered requests when they have replied.
    fn notify_all(
        &self,
        step: ShutdownStep,
        message: impl Fn(oneshot::Sender<Unanswered>) -> ToDispatcher,
    ) {
        let replies = self.dispatchers.borrow().send_shutdown_message(message);
        let reports = self.shutdown_reports.clone();
        tokio::task::spawn_local(sum_unanswered(step, replies, reports));
    }

    pub(super) fn log_shutdown_report(&self, report: &ShutdownReport) {
        let Unanswered {
            refused,
            in_progress,
        } = report.unanswered;
        if report.step == ShutdownStep::AnswerAll {
            log::warn!(
                "proxy: the grace period is over: refused {refused} requests that had not run, \
                 cut off {in_progress} requests in progress at backends."
            );
        } else if refused > 0 {
            log::info!(
                "proxy: refused {refused} requests that had not run; {in_progress} are in progress at backends."
            );
        }
    }

    /// Starts to accept clients once routes and backends are known and the data is recent enough to serve requests.
    pub(super) fn start_serving_when_ready(&mut self) -> Result<(), LinkError> {
        let is_configured = self.routing_table.borrow().is_configured();
        let is_complete = is_configured && !self.backend_pool.borrow().is_empty();
        let now = self.clock.now();
        let basis = self
            .control
            .borrow_mut()
            .freshness()
            .serving_state(is_complete, now);
        let may_start = self.accept_task.is_none() && self.shutdown.is_none();
        let Some(basis) = basis.filter(|_| may_start) else {
            return Ok(());
        };
        if basis == ServingState::PossiblyStale {
            log::warn!(
                "proxy: no registry that answers is in contact with a majority of the core; \
                 serving with data that may be out of date."
            );
        }
        let listener = Rc::new(listen(self.client_address)?);
        let accept_task = self.clients.clone().accept(listener);
        self.accept_task = Some(tokio::task::spawn_local(accept_task));
        self.phase.enter(Phase::Serving, &self.node_name);
        log::info!("proxy: {} accepts client connections.", self.node_name);
        self.control.borrow_mut().set_ready(true);
        Ok(())
    }
}

/// Adds up the unanswered requests of all modules, and sends the sum as a report.
async fn sum_unanswered(
    step: ShutdownStep,
    replies: Vec<oneshot::Receiver<Unanswered>>,
    reports: mpsc::Sender<ShutdownReport>,
) {
    let mut unanswered = Unanswered::default();
    for reply in replies {
        let one = reply.await.unwrap_or_default();
        unanswered.refused += one.refused;
        unanswered.in_progress += one.in_progress;
    }
    reports.send(ShutdownReport { step, unanswered }).await.ok();
}
