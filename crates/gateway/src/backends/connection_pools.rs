//! Pools of idle connections to all backends, with a common limit on open connections.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use damsonbeam_admin::Metrics;
use tokio::time::Instant;

use super::connection::BackendConnection;
use super::protocol::BackendProtocol;
use crate::attempts::ConnectionId;
use crate::memory_budget::MemoryBudget;

/// Fraction of the idle timeout of the backends after which idle connections are closed on this side, as numerator and
/// denominator.
const IDLE_FRACTION: (u32, u32) = (3, 4);
/// How many times [`ConnectionPools::make_room`] yields to let a dropped connection close.
const CLOSE_YIELDS: usize = 8;

/// Idle connections to one backend with the time since when each is idle, longest idle first. The connection used last
/// is reused first.
pub(super) type Pool = RefCell<Vec<(BackendConnection, Instant)>>;

/// State that the actors of all backends share.
pub struct ConnectionPools {
    /// Maximum time to open a connection; after that the backend is treated as unreachable.
    pub connect_timeout: Duration,
    /// Time after which idle connections are closed.
    pub idle_timeout: Cell<Duration>,
    /// Names of the fields in the load reports of backends, in the order of the settings.
    pub load_report_fields: Vec<String>,
    pub(super) protocol: Box<dyn BackendProtocol>,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Number of open connections.
    pub open_connections: Rc<Cell<usize>>,
    /// Number of connections that were ever opened.
    opened_connections: Cell<u64>,
    /// Pools of all backends by backend name.
    pools: RefCell<Vec<(String, Weak<Pool>)>>,
    pub(super) metrics: Metrics,
    pub(super) response_memory: MemoryBudget,
}

impl ConnectionPools {
    /// Creates empty pools.
    ///
    /// `platform_idle_timeout` is the time after which backends close idle connections, `max_connections` the maximum
    /// number of open connections, and `body_bytes` the memory limit for responses of unknown length.
    pub fn new(
        connect_timeout: Duration,
        platform_idle_timeout: Duration,
        load_report_fields: Vec<String>,
        protocol: Box<dyn BackendProtocol>,
        max_connections: usize,
        body_bytes: usize,
        metrics: &Metrics,
    ) -> Rc<Self> {
        Rc::new(ConnectionPools {
            connect_timeout,
            idle_timeout: Cell::new(platform_idle_timeout * IDLE_FRACTION.0 / IDLE_FRACTION.1),
            load_report_fields,
            protocol,
            max_connections,
            open_connections: Rc::default(),
            opened_connections: Cell::default(),
            pools: RefCell::default(),
            metrics: metrics.clone(),
            response_memory: MemoryBudget::new(body_bytes),
        })
    }

    /// Sets the time after which backends close idle connections. Idle connections are closed earlier on this side.
    pub(super) fn set_idle_timeout(&self, timeout: Duration) {
        self.idle_timeout
            .set(timeout * IDLE_FRACTION.0 / IDLE_FRACTION.1);
    }

    /// Returns the id of a connection that was opened.
    pub(super) fn next_connection_id(&self) -> ConnectionId {
        let number = self.opened_connections.get() + 1;
        self.opened_connections.set(number);
        ConnectionId(number)
    }

    /// Returns the pool of a backend. Actors of backends with the same name share a pool; a backend without a name has
    /// its own.
    pub(super) fn pool(&self, name: &str) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|entry| entry.1.strong_count() > 0);
        let existing = pools
            .iter()
            .find(|entry| !name.is_empty() && entry.0 == name)
            .and_then(|entry| entry.1.upgrade());
        existing.unwrap_or_else(|| {
            let pool = Rc::<Pool>::default();
            pools.push((name.to_owned(), Rc::downgrade(&pool)));
            pool
        })
    }

    /// Makes room for another connection and returns whether there is room.
    ///
    /// At the limit, closes the connection that has been idle longest, of any backend: a pool of idle connections must
    /// not occupy file descriptors that requests to another backend need.
    pub(super) async fn make_room(&self) -> bool {
        if self.open_connections.get() >= self.max_connections {
            self.close_longest_idle();
            for _ in 0..CLOSE_YIELDS {
                if self.open_connections.get() < self.max_connections {
                    break;
                }
                tokio::task::yield_now().await;
            }
        }
        self.open_connections.get() < self.max_connections
    }

    fn close_longest_idle(&self) {
        let idle_since = |pool: &Rc<Pool>| pool.borrow().first().map(|(_, since)| *since);
        let pools = self.pools.borrow();
        let longest_idle = pools
            .iter()
            .filter_map(|(_, pool)| pool.upgrade())
            .filter(|pool| idle_since(pool).is_some())
            .min_by_key(idle_since);
        drop(pools);
        if let Some(pool) = longest_idle {
            drop(pool.borrow_mut().remove(0));
        }
    }
}
