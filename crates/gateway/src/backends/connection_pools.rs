//! The pools of idle connections of all backends, and the cap that they share.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use damsonbeam_admin::Figures;
use tokio::time::Instant;

use super::connection::BackendConnection;
use super::protocol::BackendProtocol;
use crate::memory_budget::MemoryBudget;

/// Part of the time after which the platform closes an idle connection, by which ours are closed.
const IDLE_FRACTION: (u32, u32) = (3, 4);
/// Turns given to a connection that was let go, to close.
const CLOSE_YIELDS: usize = 8;

/// Idle connections to one backend: the one used last goes out first; the oldest stand in front.
pub(super) type Pool = RefCell<Vec<(BackendConnection, Instant)>>;

/// What all backends' actors share.
pub struct ConnectionPools {
    /// A connection comes up within this, or the backend is held for unreachable.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this.
    pub idle_timeout: Cell<Duration>,
    /// The values that backends report of their load, in the settings' order.
    pub reports: Vec<String>,
    pub(super) protocol: Box<dyn BackendProtocol>,
    /// Connections at most.
    pub max_open: usize,
    /// Connections that are open.
    pub open: Rc<Cell<usize>>,
    /// The pools of all backends.
    pools: RefCell<Vec<(String, Weak<Pool>)>>,
    pub(super) figures: Figures,
    pub(super) memory: MemoryBudget,
}

impl ConnectionPools {
    /// No connections yet. `max_open`: connections at most; `bodies`: bytes of responses of unknown length at most.
    pub fn new(
        connect_timeout: Duration,
        idle: Duration,
        reports: Vec<String>,
        protocol: Box<dyn BackendProtocol>,
        max_open: usize,
        bodies: usize,
        figures: &Figures,
    ) -> Rc<Self> {
        Rc::new(ConnectionPools {
            connect_timeout,
            idle_timeout: Cell::new(idle * IDLE_FRACTION.0 / IDLE_FRACTION.1),
            reports,
            protocol,
            max_open,
            open: Rc::default(),
            pools: RefCell::default(),
            figures: figures.clone(),
            memory: MemoryBudget::new(bodies),
        })
    }

    /// The platform closes idle connections after that time: ours are closed sooner.
    pub(super) fn set_idle_timeout(&self, timeout: Duration) {
        self.idle_timeout
            .set(timeout * IDLE_FRACTION.0 / IDLE_FRACTION.1);
    }

    /// The pool of a backend: actors of one name share one.
    pub(super) fn pool(&self, name: &str) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|p| p.1.strong_count() > 0);
        let known = pools
            .iter()
            .find(|p| !name.is_empty() && p.0 == name)
            .and_then(|p| p.1.upgrade());
        known.unwrap_or_else(|| {
            let pool = Rc::<Pool>::default();
            pools.push((name.to_owned(), Rc::downgrade(&pool)));
            pool
        })
    }

    /// Room for a connection more: at the cap, the one idle longest is let go, whichever backend's it is.
    /// A pool must not hold the descriptors that another backend's work needs.
    pub(super) async fn make_room(&self) -> bool {
        if self.open.get() >= self.max_open {
            self.close_longest_idle();
            for _ in 0..CLOSE_YIELDS {
                if self.open.get() < self.max_open {
                    break;
                }
                tokio::task::yield_now().await;
            }
        }
        self.open.get() < self.max_open
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
