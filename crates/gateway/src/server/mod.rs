//! The gateway's process from start to exit, one [`Phase`] after the other.
//!
//! `start` creates the actors and connects them, `running` holds the state that the later phases use, `succession` hands
//! over to a successor process, and `listener` opens the clients' socket.

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

/// Time from SIGTERM, or from the first `/up` that reports an evacuation, during which connections are still accepted.
/// The platform sends new connections for up to 0.4 s and requires an answer to all that arrive within 0.7 s.
const ACCEPT_AFTER_DRAIN: Duration = Duration::from_millis(700);
/// Interval at which idle client connections are closed once clients should connect elsewhere.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// The gateway's process.
#[derive(Default)]
pub struct Server {
    phase: CurrentPhase,
}

impl Server {
    /// Runs the gateway from start to exit.
    ///
    /// # Errors
    /// Returns an error if the process can't start, or if an actor ends that the gateway can't serve without.
    pub async fn run(self, config: Config) -> Result<(), ServerError> {
        let name = config.name.clone();
        for note in &config.notes {
            log!(info, "not-on-sockets", "{note}");
        }
        for key in &config.unknown_keys {
            log!(warn, "key-unknown", "{key}: unknown key, ignored");
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
        // When the closing of idle connections starts, in phases that close connections.
        let mut close_idle_from = Instant::now();
        loop {
            tokio::select! {
                _ = running.terminate.recv() => {
                    running.succession.state.handle(PredecessorEvent::Terminate);
                    return Ok(());
                }
                _ = running.reload.recv() => running.reload().await?,
                Some((order, done)) = running.orders.recv() => {
                    // Once a successor serves, only that process may evacuate or rejoin.
                    let is_accepted = !running.succession.state.is_followed();
                    match order {
                        Order::Evacuate if is_accepted && self.phase.get() == Phase::Serving => {
                            close_idle_from = Instant::now() + ACCEPT_AFTER_DRAIN;
                            self.phase.enter(Phase::Evacuated, &name);
                        }
                        Order::Rejoin if is_accepted => self.phase.enter(Phase::Serving, &name),
                        _ => {}
                    }
                    done.send(is_accepted).ok();
                }
                // The platform's router opens new connections for a while after an evacuation; requests on these
                // connections must be answered.
                _ = close_idle.tick(),
                    if self.phase.get().closes_connections() && Instant::now() >= close_idle_from =>
                {
                    running.clients.close_connections();
                }
                event = running.succession.next_event(&name) => {
                    for action in running.succession.state.handle(event) {
                        if *action == PredecessorAction::SendClientsAway {
                            close_idle_from = Instant::now();
                        }
                        self.hand_over(running, *action).await?;
                    }
                }
                () = predecessor_ended(&mut running.predecessor) => {
                    running.predecessor = None;
                    running.clients.restore_connection_limit();
                }
                ended = running.actors.next() => return Err(ServerError::ActorEnded(format!("{ended:?}"))),
            }
        }
    }

    /// Shuts down after SIGTERM: accepts connections for `ACCEPT_AFTER_DRAIN`, then finishes the open requests until
    /// the grace period ends.
    async fn shut_down(&self, running: &mut Running, name: &str) -> Result<(), ServerError> {
        self.phase.enter(Phase::Draining, name);
        let deadline = Instant::now() + running.grace_period();
        if running.accepting.is_some() {
            tokio::select! {
                () = sleep(ACCEPT_AFTER_DRAIN) => {}
                ended = running.actors.next() => return Err(ServerError::ActorEnded(format!("{ended:?}"))),
            }
        }
        self.phase.enter(Phase::Finishing, name);
        running.stop_accepting();
        // Every invocation ends by its client's deadline; a client that never reads its response must not delay the
        // exit.
        let all_closed = async {
            let mut close_idle = interval(CLOSE_IDLE_INTERVAL);
            loop {
                tokio::select! {
                    () = running.clients.wait_until_closed() => return,
                    _ = close_idle.tick() => running.clients.close_connections(),
                }
            }
        };
        timeout_at(deadline, all_closed).await.ok();
        self.phase.enter(Phase::Ended, name);
        Ok(())
    }
}

/// Waits until the predecessor has ended; never returns if there is none.
async fn predecessor_ended(predecessor: &mut Option<HandoverConnection>) {
    match predecessor {
        Some(connection) => while connection.receive().await.is_some() {},
        None => pending().await,
    }
}
