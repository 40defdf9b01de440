//! The stages of the program's life, and the one place where the present stage stands.

use std::cell::Cell;

use crate::log::log;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Reads its configuration, binds its sockets, starts its actors.
    Starting,
    /// Takes invocations; `/up` says so.
    Serving,
    /// SIGHUP came: reads its configuration anew and moves the list and the counter; serves all the while.
    Reloading,
    /// SIGTERM came: goes on accepting, each answer ends its connection.
    Draining,
    /// Accepts nothing more, owes the last answers.
    Finishing,
    Ended,
}

impl Stage {
    /// Whether new invocations are welcome.
    pub fn serves(self) -> bool {
        matches!(self, Stage::Serving | Stage::Reloading)
    }
}

/// The present stage: `life` alone enters one, whoever holds it may look.
pub struct Now(Cell<Stage>);

impl Default for Now {
    fn default() -> Self {
        Now(Cell::new(Stage::Starting))
    }
}

impl Now {
    pub fn stage(&self) -> Stage {
        self.0.get()
    }

    pub fn enter(&self, stage: Stage, name: &str) {
        self.0.set(stage);
        log!(info, "stage", "{name}: {stage:?}");
    }
}
