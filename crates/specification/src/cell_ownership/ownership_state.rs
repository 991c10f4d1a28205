//! State of the cell's protocol.

use crate::bounded_set::BoundedSet;
use crate::cell_ownership::action_budget::ActionBudget;
use crate::cell_ownership::daemon_state::DaemonState;
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

/// State of the store, the daemons, the workers and the messages, how often the bounded
/// actions can still happen, and the facts about the past that the properties check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnershipState {
    /// The journal in the store.
    pub(crate) journal: JournalState,
    /// Commits in flight.
    pub(crate) writes: BoundedSet<JournalWrite, WRITES>,
    pub(crate) daemons: [DaemonState; DAEMONS],
    pub(crate) workers: [WorkerState; WORKERS],
    /// Messages in flight.
    pub(crate) messages: BoundedSet<WorkerMessage, MESSAGES>,
    pub(crate) budget: ActionBudget,
    /// For each attempt, one more than the number of the worker in its committed assignment;
    /// 0 before the commit.
    pub(crate) committed_workers: [u8; ATTEMPTS + 1],
    /// Whether each attempt was started.
    pub(crate) started_attempts: [bool; ATTEMPTS + 1],
    /// Number of times that the task was submitted, where 2 stands for 2 or more.
    pub(crate) submissions: u8,
    /// Whether the submitter was told that the task was not and will not be run.
    pub(crate) reported_not_run: bool,
    /// Property that a step has broken.
    pub(crate) violation: Option<&'static str>,
}

impl OwnershipState {
    /// The initial state: daemon 0 owns the cell, and nothing was submitted.
    pub(crate) fn new(bounds: &OwnershipBounds) -> Self {
        let journal = JournalState {
            next_sequence: 2,
            snapshot_sequence: 0,
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
            budget: ActionBudget::new(bounds),
            committed_workers: [0; ATTEMPTS + 1],
            started_attempts: [false; ATTEMPTS + 1],
            submissions: 0,
            reported_not_run: false,
            violation: None,
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

    /// The daemon of `process`; `None` if that incarnation of it has died.
    pub(crate) fn live_daemon(&mut self, process: ProcessId) -> Option<&mut DaemonState> {
        let daemon = self.daemon_mut(process.daemon);
        (daemon.alive && daemon.incarnation == process.incarnation).then_some(daemon)
    }

    /// Whether the submitter waits for the answer to a submission.
    pub(crate) fn has_open_submission(&self) -> bool {
        self.daemons.iter().any(|daemon| {
            let pending = daemon.pending.map(|write| write.entry);
            daemon.unresolved_submission != 0 || pending == Some(JournalEntry::Submit)
        })
    }

    /// Whether a renewal with `renewed_epoch` is on its way to `worker_number`.
    pub(crate) fn has_renewal(&self, worker_number: u8, renewed_epoch: u8) -> bool {
        self.messages.iter().any(|message| {
            matches!(message, WorkerMessage::Renewal { worker, epoch, .. }
                if worker == worker_number && epoch == renewed_epoch)
        })
    }

    /// Number of attempts that are committed or whose commit is in flight.
    pub(crate) fn attempts_used(&self) -> usize {
        let assignments = self.writes.iter();
        let assignments =
            assignments.filter(|write| matches!(write.entry, JournalEntry::Assign { .. }));
        usize::from(self.journal.task.attempt) + assignments.count()
    }

    /// Whether the budget allows another claim besides those in flight.
    pub(crate) fn has_spare_claim(&self) -> bool {
        let claims = self.writes.iter();
        let claims = claims.filter(|write| write.entry == JournalEntry::Claim);
        usize::from(self.budget.claims) > claims.count()
    }
}
