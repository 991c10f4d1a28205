//! State of a daemon.

use crate::cell_ownership::journal_state::JournalState;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::ownership_bounds::WORKERS;
use crate::cell_ownership::process_id::ProcessId;

/// State of a daemon. A paused daemon is one that takes no steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DaemonState {
    /// Whether its process is up.
    pub alive: bool,
    /// Number of times that its process was restarted.
    pub incarnation: u8,
    /// The journal as the daemon knows it.
    pub view: JournalState,
    /// Commit whose answer it waits for.
    pub pending: Option<JournalWrite>,
    /// Sequence number of a submission whose outcome it does not know; 0 for none.
    pub unresolved_submission: u8,
    /// Latest permit received from each worker; 0 without a session.
    pub permits: [u8; WORKERS],
}

impl DaemonState {
    /// Identity of its current incarnation; `daemon` is its own number.
    pub(crate) const fn process_id(&self, daemon: u8) -> ProcessId {
        ProcessId {
            daemon,
            incarnation: self.incarnation,
        }
    }

    /// Whether it believes that it owns the cell; another daemon may have claimed it since.
    pub(crate) fn is_owner(&self, daemon: u8) -> bool {
        self.alive && self.view.is_owned_by(self.process_id(daemon))
    }

    /// Replaces its view by the `journal` read from the store. The sessions end if the cell
    /// was claimed in the meantime.
    pub(crate) fn read_journal(&mut self, journal: JournalState) {
        if self.view.epoch != journal.epoch {
            self.permits = [0; WORKERS];
        }
        self.view = journal;
        self.pending = None;
    }

    /// Applies its own commit to its view, once it knows that the store has applied it.
    pub(crate) fn apply_written(&mut self, write: JournalWrite) {
        let epoch = self.view.epoch;
        self.view.apply(write, write.sequence);
        self.pending = None;
        if self.view.epoch != epoch {
            self.permits = [0; WORKERS];
        }
    }

    /// Resets what no later step reads, so that equivalent states become equal.
    pub(crate) fn clear_unused(&mut self, daemon: u8) {
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
