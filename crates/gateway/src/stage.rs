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
pub enum Stage {
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
    Ended,
}

impl Stage {
    /// Whether new invocations are welcome.
    pub fn serves(self) -> bool {
        self == Stage::Serving
    }

    /// Whether an answer ends its connection, so that its client goes elsewhere.
    pub fn sends_away(self) -> bool {
        self >= Stage::Evacuated
    }
}

/// The present stage: `life` alone enters one, whoever holds it may look, from any thread.
#[derive(Clone)]
pub struct Now(Arc<AtomicU8>);

impl Default for Now {
    fn default() -> Self {
        Now(Arc::new(AtomicU8::new(Stage::Starting as u8)))
    }
}

impl Now {
    pub fn stage(&self) -> Stage {
        use Stage::*;
        let all = [
            Starting, Serving, Yielding, Evacuated, Yielded, Draining, Finishing,
        ];
        all.into_iter()
            .find(|s| *s as u8 == self.0.load(Ordering::Relaxed))
            .unwrap_or(Ended)
    }

    pub fn enter(&self, stage: Stage, name: &str) {
        self.0.store(stage as u8, Ordering::Relaxed);
        log!(info, "stage", "{name}: {stage:?}");
    }
}
