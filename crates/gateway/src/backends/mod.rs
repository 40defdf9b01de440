//! The backends: an actor each, with its own pool of connections; a connection carries one attempt at a time.

mod attempt;
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
pub use self::protocol::{BackendProtocol, CORRELATION_ID, Platform, TIME_LEFT, keep_end_to_end};
use crate::messages::{BackendHandle, ToBackend};

/// Room in a backend's mailbox: more attempts than a backend's places at any time.
const MAILBOX_CAPACITY: usize = 256;

/// A backend's actor.
pub struct Backend {
    address: SocketAddr,
    name: Arc<str>,
    pools: Rc<ConnectionPools>,
    /// It drains or is gone: what is not written yet is not written any more.
    closed: Rc<Cell<bool>>,
    mailbox: mpsc::Receiver<ToBackend>,
}

impl Backend {
    /// Starts a backend's actor; the dispatcher reaches it by what comes back.
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
            at: address,
            mailbox: sender,
            closed,
        }
    }

    /// Runs until the mailbox is closed and all attempts have ended.
    async fn run(mut self) {
        let pool = self.pools.pool(&self.name);
        let mut running = FuturesUnordered::new();
        let expiry = sleep_until(Instant::now());
        tokio::pin!(expiry);
        let (mut armed, mut open) = (false, true);
        while open || !running.is_empty() {
            tokio::select! {
                biased;
                Some(returned) = running.next(), if !running.is_empty() => {
                    if let Some(connection) = returned {
                        pool.borrow_mut().push((connection, Instant::now()));
                        if !armed {
                            armed = true;
                            expiry.as_mut().reset(Instant::now() + self.pools.idle_timeout.get());
                        }
                    }
                }
                message = self.mailbox.recv(), if open => match message {
                    Some(ToBackend::Send(outgoing)) => {
                        let idle = self.take_idle(&pool);
                        running.push(run_attempt(self.target(), idle, outgoing));
                    }
                    Some(ToBackend::CloseIdle) => pool.borrow_mut().clear(),
                    None => {
                        open = false;
                        pool.borrow_mut().clear();
                    }
                },
                () = &mut expiry, if armed => {
                    let next = self.close_expired(&pool);
                    armed = next.is_some();
                    if let Some(next) = next {
                        expiry.as_mut().reset(next);
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

    /// The connection used last that can carry another attempt; those passed over are closed.
    fn take_idle(&self, pool: &Pool) -> Option<BackendConnection> {
        let timeout = self.pools.idle_timeout.get();
        while let Some((connection, since)) = pool.borrow_mut().pop() {
            if since.elapsed() < timeout && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes the connections that were idle for too long; returns when the next one will have been.
    fn close_expired(&self, pool: &Pool) -> Option<Instant> {
        let timeout = self.pools.idle_timeout.get();
        let mut idle = pool.borrow_mut();
        idle.retain(|(connection, since)| {
            !connection.send.is_closed() && since.elapsed() < timeout
        });
        idle.first().map(|(_, since)| *since + timeout)
    }
}
