//! The whole state.

use crate::bounded_set::BoundedSet;
use crate::cell_ownership::daemon_state::DaemonState;
use crate::cell_ownership::fault_budget::FaultBudget;
use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_state::JournalState;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::ownership_bounds::ATTEMPTS;
use crate::cell_ownership::ownership_bounds::DAEMONS;
use crate::cell_ownership::ownership_bounds::MESSAGES;
use crate::cell_ownership::ownership_bounds::OwnershipBounds;
use crate::cell_ownership::ownership_bounds::WORKERS;
use crate::cell_ownership::ownership_bounds::WRITES;
use crate::cell_ownership::process_id::ProcessId;
use crate::cell_ownership::task_record::TaskRecord;
use crate::cell_ownership::worker_message::WorkerMessage;
use crate::cell_ownership::worker_state::WorkerState;

/// Store, daemons, workers, networks, and what the properties have to remember.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnershipState {
    pub(crate) journal: JournalState,
    pub(crate) writes: BoundedSet<JournalWrite, WRITES>,
    pub(crate) daemons: [DaemonState; DAEMONS],
    pub(crate) workers: [WorkerState; WORKERS],
    pub(crate) messages: BoundedSet<WorkerMessage, MESSAGES>,
    pub(crate) budget: FaultBudget,
    /// For each attempt one more than the worker of its commit.
    pub(crate) committed: [u8; ATTEMPTS + 1],
    pub(crate) started: [bool; ATTEMPTS + 1],
    /// How often the task was submitted, at most 2.
    pub(crate) tries: u8,
    pub(crate) told_not_run: bool,
    pub(crate) broken: Option<&'static str>,
}

impl OwnershipState {
    /// Daemon 0 owns the cell; nothing was submitted.
    pub(crate) fn new(bounds: &OwnershipBounds) -> Self {
        let journal = JournalState {
            next: 2,
            snapshot: 0,
            epoch: 1,
            owner: ProcessId::default(),
            task: TaskRecord::default(),
        };
        let mut daemons = [DaemonState::default(); DAEMONS];
        for daemon in &mut daemons[..usize::from(bounds.daemons)] {
            daemon.alive = true;
        }
        daemons[0].view = journal;
        Self {
            journal,
            writes: BoundedSet::new(),
            daemons,
            workers: [WorkerState::new(); WORKERS],
            messages: BoundedSet::new(),
            budget: FaultBudget::new(bounds),
            committed: [0; ATTEMPTS + 1],
            started: [false; ATTEMPTS + 1],
            tries: 0,
            told_not_run: false,
            broken: None,
        }
    }

    pub(crate) const fn daemon(&self, daemon: u8) -> &DaemonState {
        &self.daemons[daemon as usize]
    }

    pub(crate) const fn daemon_mut(&mut self, daemon: u8) -> &mut DaemonState {
        &mut self.daemons[daemon as usize]
    }

    pub(crate) const fn worker(&self, worker: u8) -> &WorkerState {
        &self.workers[worker as usize]
    }

    pub(crate) const fn worker_mut(&mut self, worker: u8) -> &mut WorkerState {
        &mut self.workers[worker as usize]
    }

    /// The daemon that `process` is a life of, when that life goes on.
    pub(crate) fn living(&mut self, process: ProcessId) -> Option<&mut DaemonState> {
        let daemon = self.daemon_mut(process.daemon);
        (daemon.alive && daemon.incarnation == process.incarnation).then_some(daemon)
    }

    /// Whether a submitter waits for an answer.
    pub(crate) fn has_open_try(&self) -> bool {
        self.daemons.iter().any(|daemon| {
            let pending = daemon.pending.map(|write| write.entry);
            daemon.doubt != 0 || pending == Some(JournalEntry::Submit)
        })
    }

    /// Whether a renewal of `epoch` is on its way to `number`.
    pub(crate) fn has_renewal(&self, number: u8, renewed: u8) -> bool {
        self.messages.iter().any(|message| {
            matches!(message, WorkerMessage::Renewal { worker, epoch, .. }
                if worker == number && epoch == renewed)
        })
    }

    /// Attempts committed, and those on their way to the store.
    pub(crate) fn attempts_used(&self) -> usize {
        let places = self.writes.iter();
        let places = places.filter(|write| matches!(write.entry, JournalEntry::Place { .. }));
        usize::from(self.journal.task.attempt) + places.count()
    }

    /// Whether a claim is left beside those on their way to the store.
    pub(crate) fn has_spare_claim(&self) -> bool {
        let claims = self.writes.iter();
        let claims = claims.filter(|write| write.entry == JournalEntry::Claim);
        usize::from(self.budget.claims) > claims.count()
    }
}
