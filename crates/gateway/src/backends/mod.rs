//! Backends. Each backend has an actor and a connection pool; a connection carries one attempt at a time.

mod attempt;
mod attempt_log;
mod connection;
mod connection_pools;
mod protocol;
mod response;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use self::attempt::{Target, run_attempt};
use self::connection::BackendConnection;
pub use self::connection_pools::ConnectionPools;
use self::connection_pools::Pool;
pub use self::protocol::{
    BackendProtocol, CORRELATION_ID, PlatformBackends, TIME_LEFT, keep_end_to_end,
};
use crate::messages::{BackendHandle, ToBackend};

/// Capacity of a backend's mailbox, larger than the number of attempts that a backend has at any time.
const MAILBOX_CAPACITY: usize = 256;

/// Actor that carries out the attempts for one backend.
pub struct Backend {
    address: SocketAddr,
    name: Arc<str>,
    pools: Rc<ConnectionPools>,
    /// Set once the backend drains or has been removed; requests not yet written are then not written any more.
    closed: Rc<Cell<bool>>,
    mailbox: mpsc::Receiver<ToBackend>,
}

impl Backend {
    /// Starts the actor of a backend and returns the handle with which the dispatcher reaches it.
    pub fn spawn(
        pools: &Rc<ConnectionPools>,
        address: SocketAddr,
        name: &Arc<str>,
    ) -> BackendHandle {
        let (sender, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        let closed = Rc::<Cell<bool>>::default();
        let backend = Backend {
            address,
            name: name.clone(),
            pools: pools.clone(),
            closed: closed.clone(),
            mailbox,
        };
        tokio::task::spawn_local(backend.run());
        BackendHandle {
            address,
            mailbox: sender,
            closed,
        }
    }

    /// Runs until the mailbox is closed and all attempts have ended.
    async fn run(mut self) {
        let pool = self.pools.pool(&self.name);
        let mut running = FuturesUnordered::new();
        let idle_timer = sleep_until(Instant::now());
        tokio::pin!(idle_timer);
        let (mut timer_armed, mut mailbox_open) = (false, true);
        while mailbox_open || !running.is_empty() {
            tokio::select! {
                biased;
                Some(returned) = running.next(), if !running.is_empty() => {
                    if let Some(connection) = returned {
                        pool.borrow_mut().push((connection, Instant::now()));
                        if !timer_armed {
                            timer_armed = true;
                            idle_timer.as_mut().reset(Instant::now() + self.pools.idle_timeout.get());
                        }
                    }
                }
                message = self.mailbox.recv(), if mailbox_open => match message {
                    Some(ToBackend::Send(outgoing)) => {
                        let idle = self.take_idle(&pool, &outgoing.request.name);
                        running.push(run_attempt(self.target(), idle, outgoing));
                    }
                    Some(ToBackend::CloseIdle) => pool.borrow_mut().clear(),
                    None => {
                        mailbox_open = false;
                        pool.borrow_mut().clear();
                    }
                },
                () = &mut idle_timer, if timer_armed => {
                    let next = self.close_expired(&pool);
                    timer_armed = next.is_some();
                    if let Some(next) = next {
                        idle_timer.as_mut().reset(next);
                    }
                }
            }
        }
    }

    fn target(&self) -> Target {
        Target {
            pools: self.pools.clone(),
            address: self.address,
            name: self.name.clone(),
            closed: self.closed.clone(),
        }
    }

    /// Takes from the pool the most recently used connection that can carry an attempt of the request with this name, and
    /// closes those that can carry no attempt any more.
    fn take_idle(&self, pool: &Pool, name: &str) -> Option<BackendConnection> {
        let timeout = self.pools.idle_timeout.get();
        let mut idle = pool.borrow_mut();
        for position in (0..idle.len()).rev() {
            if idle[position].0.has_carried(name) {
                continue;
            }
            let (connection, since) = idle.remove(position);
            if since.elapsed() < timeout && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes connections that have reached the idle timeout. Returns when the next connection reaches it.
    fn close_expired(&self, pool: &Pool) -> Option<Instant> {
        let timeout = self.pools.idle_timeout.get();
        let mut idle = pool.borrow_mut();
        idle.retain(|(connection, since)| {
            !connection.send.is_closed() && since.elapsed() < timeout
        });
        idle.first().map(|(_, since)| *since + timeout)
    }
}
