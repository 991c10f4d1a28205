//! A daemon.

use crate::cell_ownership::journal_state::JournalState;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::ownership_bounds::WORKERS;
use crate::cell_ownership::process_id::ProcessId;

/// What a daemon knows. A paused daemon is one that takes no step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DaemonState {
    /// Whether its process is up.
    pub alive: bool,
    /// Which life this is.
    pub incarnation: u8,
    /// The journal as it knows it.
    pub view: JournalState,
    /// The commit whose answer it waits for.
    pub pending: Option<JournalWrite>,
    /// The number of a submission whose outcome it does not know; 0 for none.
    pub doubt: u8,
    /// The latest permit of each worker; 0 without a session.
    pub permits: [u8; WORKERS],
}

impl DaemonState {
    /// The name of its present life.
    pub(crate) const fn process(&self, daemon: u8) -> ProcessId {
        ProcessId {
            daemon,
            incarnation: self.incarnation,
        }
    }

    /// Whether it believes that it owns the cell.
    pub(crate) fn is_owner(&self, daemon: u8) -> bool {
        self.alive && self.view.is_owned_by(self.process(daemon))
    }

    /// Takes over what was read from the store.
    pub(crate) fn read_journal(&mut self, journal: JournalState) {
        if self.view.epoch != journal.epoch {
            self.permits = [0; WORKERS];
        }
        self.view = journal;
        self.pending = None;
    }

    /// Takes over its own commit once it knows that it was carried out.
    pub(crate) fn apply_written(&mut self, write: JournalWrite) {
        let epoch = self.view.epoch;
        self.view.apply(write, write.sequence);
        self.pending = None;
        if self.view.epoch != epoch {
            self.permits = [0; WORKERS];
        }
    }

    /// Forgets what no later step reads.
    pub(crate) fn forget_unused(&mut self, daemon: u8) {
        if !self.alive {
            *self = Self {
                incarnation: self.incarnation,
                ..Self::default()
            };
        }
        if !self.is_owner(daemon) {
            self.permits = [0; WORKERS];
        }
        if !self.is_owner(daemon) && self.pending.is_none() {
            self.view = JournalState::default();
        }
    }
}
