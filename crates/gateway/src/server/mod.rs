//! The gateway's process, from start to exit: a [`Phase`] at a time.
//!
//! `start` makes the actors and connects them; `running` is what they leave to the phases after; `succession` is the
//! hand-over to the process that follows; `listener` is the clients' socket.

mod error;
mod listener;
mod running;
mod start;
mod succession;

use std::time::Duration;

use damsonbeam_admin::Order;
use damsonbeam_handover::{PredecessorAction, PredecessorEvent};
use futures_util::future::pending;
use futures_util::stream::StreamExt;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout_at};

pub use self::error::{ListenError, ServerError};
use self::running::Running;
use crate::config::Config;
use crate::handover::HandoverConnection;
use crate::log::log;
use crate::phase::{CurrentPhase, Phase};

/// New connections come for up to 0.4 s after SIGTERM, or after a drain's `/up` says no; what comes within
/// 0.7 s of it must be answered.
const ACCEPT_AFTER_DRAIN: Duration = Duration::from_millis(700);
/// Between two searches for idle connections while clients are sent away.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// The gateway's process.
#[derive(Default)]
pub struct Server {
    phase: CurrentPhase,
}

impl Server {
    /// Runs from start to exit.
    ///
    /// # Errors
    /// Where the process can't start, or an actor without which nothing is served ends.
    pub async fn run(self, config: Config) -> Result<(), ServerError> {
        let name = config.name.clone();
        for note in &config.notes {
            log!(info, "not-on-sockets", "{note}");
        }
        for key in &config.unknown {
            log!(warn, "key-unknown", "{key}: not read");
        }
        let mut running = self.start(config).await?;
        running.announce_serving().await;
        self.phase.enter(Phase::Serving, &name);
        self.serve(&mut running).await?;
        self.shut_down(&mut running, &name).await
    }

    /// Serves until SIGTERM.
    async fn serve(&self, running: &mut Running) -> Result<(), ServerError> {
        let name = running.name.clone();
        let mut close_idle = interval(CLOSE_IDLE_INTERVAL);
        close_idle.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // From when on idle connections are closed while clients are sent away.
        let mut closes_from = Instant::now();
        loop {
            tokio::select! {
                _ = running.terminate.recv() => {
                    running.succession.state.handle(PredecessorEvent::Terminate);
                    return Ok(());
                }
                _ = running.reload.recv() => running.reload().await?,
                Some((order, done)) = running.orders.recv() => {
                    // Once another process serves in this one's place, neither is this one's to do.
                    let is_ours = !running.succession.state.is_followed();
                    match order {
                        Order::Evacuate if is_ours && self.phase.get() == Phase::Serving => {
                            closes_from = Instant::now() + ACCEPT_AFTER_DRAIN;
                            self.phase.enter(Phase::Evacuated, &name);
                        }
                        Order::Rejoin if is_ours => self.phase.enter(Phase::Serving, &name),
                        _ => {}
                    }
                    done.send(is_ours).ok();
                }
                // The platform's router still brings new connections for a while; what they carry is answered.
                _ = close_idle.tick(),
                    if self.phase.get().closes_connections() && Instant::now() >= closes_from =>
                {
                    running.clients.close();
                }
                event = running.succession.next_event(&name) => {
                    for action in running.succession.state.handle(event) {
                        if *action == PredecessorAction::SendClientsAway {
                            closes_from = Instant::now();
                        }
                        self.hand_over(running, *action).await?;
                    }
                }
                () = ended(&mut running.predecessor) => {
                    running.predecessor = None;
                    running.clients.use_all_connections();
                }
                ended = running.actors.next() => return Err(ServerError::ActorEnded(format!("{ended:?}"))),
            }
        }
    }

    /// From SIGTERM to the exit: accepts for a while, then gives the answers that it owes.
    async fn shut_down(&self, running: &mut Running, name: &str) -> Result<(), ServerError> {
        self.phase.enter(Phase::Draining, name);
        let end = Instant::now() + running.grace();
        if running.accepting.is_some() {
            tokio::select! {
                () = sleep(ACCEPT_AFTER_DRAIN) => {}
                ended = running.actors.next() => return Err(ServerError::ActorEnded(format!("{ended:?}"))),
            }
        }
        self.phase.enter(Phase::Finishing, name);
        running.stop_accepting();
        // Invocations end by their clients' time; a client that never reads its answer must not hold us.
        let all_gone = async {
            let mut close_idle = interval(CLOSE_IDLE_INTERVAL);
            loop {
                tokio::select! {
                    () = running.clients.all_gone() => return,
                    _ = close_idle.tick() => running.clients.close(),
                }
            }
        };
        timeout_at(end, all_gone).await.ok();
        self.phase.enter(Phase::Ended, name);
        Ok(())
    }
}

/// Waits until the process before this one has ended; for ever where there is none.
async fn ended(predecessor: &mut Option<HandoverConnection>) {
    match predecessor {
        Some(connection) => while connection.receive().await.is_some() {},
        None => pending().await,
    }
}
