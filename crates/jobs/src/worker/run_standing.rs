//! What the owner knows of a run.

/// What the owner knows of a run at a worker. `look` numbers the owner's looks at
/// that worker: only a look that began later than an answer shows its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStanding {
    /// Its assignment is not stored yet, and no order was sent.
    Planned,
    /// The order to start it was sent and not answered.
    Starting,
    /// It runs; looks after `look` show it.
    Running {
        /// The latest look that had begun when this was known.
        look: u64,
    },
    /// It may run: an earlier owner assigned it.
    Inherited,
    /// It is to be stopped, and the worker has not said yes.
    Unstopped,
    /// The worker has said that it stops; looks after `look` that do not show it
    /// prove that it is over.
    Stopping {
        /// The latest look that had begun when this was known.
        look: u64,
    },
}
