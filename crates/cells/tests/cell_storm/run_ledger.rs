//! What must hold in every run.

use sapphirestile_cells::CellState;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::StartOrder;
use sapphirestile_cells::TaskEntry;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// Everything that was committed and started, and the assertions over it.
#[derive(Default)]
pub struct RunLedger {
    placed: SortedTable<(TaskName, AttemptNumber), WorkerName>,
    started: SortedTable<TaskName, AttemptNumber>,
    reached_ms: SortedTable<TaskName, u64>,
    /// The latest checkpoint that the journal has of each task.
    checkpoint_ms: SortedTable<TaskName, u64>,
    accepted: Vec<JobName>,
    sent: Vec<RequestKey>,
}

impl RunLedger {
    /// An entry is in the journal, which now folds to `state`.
    pub fn note_commit(&mut self, entry: &JournalEntry, state: &CellState, room: ResourceSize) {
        if let EntryBody::Batch(transitions) = &entry.body {
            for transition in transitions {
                self.note_transition(transition);
            }
        }
        let mut used: SortedTable<WorkerName, ResourceSize> = SortedTable::new();
        for task in state.tasks().values() {
            if let TaskEntry::Assigned(cycle) = task {
                let worker = cycle.phase().worker.clone();
                let sum = used.get_or_insert_with(worker, ResourceSize::default);
                *sum = sum.plus(&cycle.phase().size);
            }
        }
        for (worker, sum) in used.iter() {
            assert!(sum.fits_in(&room), "{worker} was given more than its room");
        }
        for job in &self.accepted {
            assert!(state.jobs().contains(job), "an accepted job was lost");
        }
    }

    /// An attempt began on a worker.
    pub fn note_start(&mut self, order: &StartOrder, state: &CellState) {
        let key = (order.task.clone(), order.attempt);
        let placed = self.placed.get(&key);
        assert_eq!(
            placed,
            Some(&order.worker),
            "a start has no commit: {order:?}"
        );
        let before = self.started.insert(order.task.clone(), order.attempt);
        assert!(
            before < Some(order.attempt),
            "{} started twice or out of order",
            order.task
        );
        let ended = matches!(state.tasks().get(&order.task), Some(TaskEntry::Ended(_)));
        assert!(!ended, "{} started after its end", order.task);
        let reached = self.reached_ms.get(&order.task).copied();
        assert!(
            order.checkpoint_ms <= reached.unwrap_or(0),
            "{} resumes from a checkpoint that nobody took",
            order.task
        );
        let latest = self.checkpoint_ms.get(&order.task).copied();
        assert_eq!(
            order.checkpoint_ms,
            latest.unwrap_or(0),
            "{} resumes from another checkpoint than the latest one",
            order.task
        );
    }

    /// A worker forgets an end only once the journal has it.
    pub fn check_settled(task: &TaskName, attempt: AttemptNumber, state: &CellState) {
        if let Some(TaskEntry::Assigned(cycle)) = state.tasks().get(task) {
            let current = cycle.phase().attempt;
            assert_ne!(current, attempt, "{task} was settled before its end");
        }
    }

    /// A task has done so much work somewhere.
    pub fn note_progress(&mut self, task: &TaskName, done_ms: u64) {
        let reached = self.reached_ms.get_or_insert_with(task.clone(), || 0);
        *reached = done_ms.max(*reached);
    }

    /// A submitter was told that its job is recorded.
    pub fn note_accepted(&mut self, job: JobName) {
        self.accepted.push(job);
    }

    /// A recorded request was sent.
    pub fn note_sent(&mut self, key: &RequestKey) {
        assert!(!self.sent.contains(key), "{} was sent twice", key.as_str());
        self.sent.push(key.clone());
    }

    fn note_transition(&mut self, transition: &CellTransition) {
        match transition {
            CellTransition::TaskAssigned {
                task,
                attempt,
                worker,
                ..
            } => {
                let key = (task.clone(), *attempt);
                let before = self.placed.insert(key, worker.clone());
                assert_eq!(before, None, "an attempt was placed twice");
            }
            CellTransition::TaskCheckpointed {
                task,
                checkpoint_ms,
                ..
            }
            | CellTransition::TaskReturned {
                task,
                checkpoint_ms,
                ..
            } => {
                let latest = self.checkpoint_ms.get_or_insert_with(task.clone(), || 0);
                *latest = checkpoint_ms.max(latest).to_owned();
            }
            CellTransition::JobForgotten(job) => {
                self.checkpoint_ms.retain(|task, _| task.job != *job);
            }
            _ => {}
        }
    }
}
