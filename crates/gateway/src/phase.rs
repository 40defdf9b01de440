//! The phases of the process, and the shared value that holds the current phase.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use crate::log::log;

/// A phase of the process.
///
/// | phase | `/up`, ready | new invocations | idle connections | next phases |
/// | --- | --- | --- | --- | --- |
/// | Starting | no | throttled | kept | Serving, Ended |
/// | Serving | yes | accepted | kept until the idle timeout | Yielding, Evacuated, Yielded, Draining |
/// | Yielding | no | accepted on open connections; no process accepts new connections yet | kept until the idle timeout | Serving, Yielded, Draining |
/// | Evacuated | no | accepted; the response closes the connection | closed | Serving, Yielded, Draining |
/// | Yielded | no | as Evacuated; another process accepts new connections | closed | Serving, Draining |
/// | Draining | no | accepted; the response closes the connection | kept | Finishing |
/// | Finishing | no | none accepted | closed | Ended |
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Reads its configuration, binds its sockets, starts its actors.
    Starting,
    /// Accepts invocations; `/up` reports the gateway as ready.
    Serving,
    /// No longer accepts connections, because another process of this gateway is about to accept them.
    Yielding,
    /// Evacuated by an operator: still answers requests that arrive, and waits for a rejoin.
    Evacuated,
    /// Another process of this gateway serves: closes its clients' connections and answers the open requests.
    Yielded,
    /// SIGTERM was received: still accepts connections; each response closes its connection.
    Draining,
    /// Accepts no more connections; answers the open requests.
    Finishing,
    /// The process is about to exit.
    Ended,
}

impl Phase {
    /// Returns whether the gateway reports itself as ready.
    pub fn is_serving(self) -> bool {
        self == Phase::Serving
    }

    /// Returns whether a response closes its connection, so that the client connects to another gateway.
    pub fn closes_connections(self) -> bool {
        self >= Phase::Evacuated
    }
}

/// The current phase; readable from any thread. Only `server` changes it.
#[derive(Clone)]
pub struct CurrentPhase(Arc<AtomicU8>);

impl Default for CurrentPhase {
    fn default() -> Self {
        CurrentPhase(Arc::new(AtomicU8::new(Phase::Starting as u8)))
    }
}

impl CurrentPhase {
    /// Returns the current phase.
    pub fn get(&self) -> Phase {
        use Phase::*;
        let all = [
            Starting, Serving, Yielding, Evacuated, Yielded, Draining, Finishing,
        ];
        all.into_iter()
            .find(|s| *s as u8 == self.0.load(Ordering::Relaxed))
            .unwrap_or(Ended)
    }

    /// Enters a phase and logs the change.
    pub fn enter(&self, phase: Phase, name: &str) {
        self.0.store(phase as u8, Ordering::Relaxed);
        log!(info, "stage", "{name}: {phase:?}");
    }
}
