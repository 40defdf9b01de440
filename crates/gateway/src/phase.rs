//! The stages of the program's life, and the one place where the present stage stands.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use crate::log::log;

/// | stage | `/up`, ready | new invocations | idle connections | may turn to |
/// | --- | --- | --- | --- | --- |
/// | Starting | no | throttled | kept | Serving, Ended |
/// | Serving | yes | taken | kept for a while | Yielding, Evacuated, Yielded, Draining |
/// | Yielding | no | taken on what is open; nobody accepts yet in its place | kept for a while | Serving, Yielded, Draining |
/// | Evacuated | no | taken, the answer ends its connection | closed | Serving, Yielded, Draining |
/// | Yielded | no | as Evacuated; another process accepts | closed | Serving, Draining |
/// | Draining | no | taken, the answer ends its connection | kept | Finishing |
/// | Finishing | no | none accepted | closed | Ended |
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Reads its configuration, binds its sockets, starts its actors.
    Starting,
    /// Takes invocations; `/up` says so.
    Serving,
    /// Accepts no more, for another process of this gateway is about to.
    Yielding,
    /// Operators had it drain: lives on, takes what still comes, and waits for a rejoin.
    Evacuated,
    /// Another process of this gateway serves: sends its clients away, owes what it holds.
    Yielded,
    /// SIGTERM came: goes on accepting, each answer ends its connection.
    Draining,
    /// Accepts nothing more, owes the last answers.
    Finishing,
    /// The process is over.
    Ended,
}

impl Phase {
    /// Whether new invocations are welcome.
    pub fn is_serving(self) -> bool {
        self == Phase::Serving
    }

    /// Whether an answer ends its connection, so that its client goes elsewhere.
    pub fn closes_connections(self) -> bool {
        self >= Phase::Evacuated
    }
}

/// The present stage: `life` alone enters one, whoever holds it may look, from any thread.
#[derive(Clone)]
pub struct CurrentPhase(Arc<AtomicU8>);

impl Default for CurrentPhase {
    fn default() -> Self {
        CurrentPhase(Arc::new(AtomicU8::new(Phase::Starting as u8)))
    }
}

impl CurrentPhase {
    /// The phase.
    pub fn get(&self) -> Phase {
        use Phase::*;
        let all = [
            Starting, Serving, Yielding, Evacuated, Yielded, Draining, Finishing,
        ];
        all.into_iter()
            .find(|s| *s as u8 == self.0.load(Ordering::Relaxed))
            .unwrap_or(Ended)
    }

    /// Enters a phase, and logs it.
    pub fn enter(&self, phase: Phase, name: &str) {
        self.0.store(phase as u8, Ordering::Relaxed);
        log!(info, "stage", "{name}: {phase:?}");
    }
}
