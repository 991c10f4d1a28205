//! Invariants of every run.

use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::CellState;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::TaskEntry;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// Records everything that was committed and started, and checks the invariants.
#[derive(Default)]
pub struct InvariantChecker {
    placed: SortedTable<(TaskName, AttemptNumber), WorkerName>,
    started: SortedTable<TaskName, AttemptNumber>,
    reached_ms: SortedTable<TaskName, u64>,
    /// The latest checkpoint that the journal has of each task.
    checkpoint_ms: SortedTable<TaskName, u64>,
    accepted: Vec<JobName>,
    sent: Vec<RequestKey>,
}

impl InvariantChecker {
    /// Checks an entry that is now in the journal, which folds to `state`; each worker has
    /// `size`.
    pub fn check_commit(&mut self, entry: &JournalEntry, state: &CellState, size: ResourceSize) {
        if let EntryBody::Batch(transitions) = &entry.body {
            for transition in transitions {
                self.check_transition(transition);
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
            assert!(
                sum.fits_in(&size),
                "{sum:?} is assigned to {worker}, which has {size:?}"
            );
        }
        for job in &self.accepted {
            assert!(
                state.jobs().contains(job),
                "{job} was accepted and is not in the journal"
            );
        }
    }

    /// Checks an attempt that started on a worker.
    pub fn check_start(&mut self, request: &AttemptStart, state: &CellState) {
        let key = (request.task.clone(), request.attempt);
        let placed = self.placed.get(&key);
        assert_eq!(
            placed,
            Some(&request.worker),
            "the start has no committed assignment: {request:?}"
        );
        let before = self.started.insert(request.task.clone(), request.attempt);
        assert!(
            before < Some(request.attempt),
            "{} started twice or out of order",
            request.task
        );
        let ended = matches!(state.tasks().get(&request.task), Some(TaskEntry::Ended(_)));
        assert!(!ended, "{} started after its end", request.task);
        let reached = self.reached_ms.get(&request.task).copied();
        assert!(
            request.checkpoint_ms <= reached.unwrap_or(0),
            "{} resumes from {} ms, more work than any attempt did",
            request.task,
            request.checkpoint_ms
        );
        let latest = self.checkpoint_ms.get(&request.task).copied();
        assert_eq!(
            request.checkpoint_ms,
            latest.unwrap_or(0),
            "{} does not resume from the latest checkpoint in the journal",
            request.task
        );
    }

    /// Checks that a worker forgets an ended attempt only once its end is in the journal.
    pub fn check_settled(task: &TaskName, attempt: AttemptNumber, state: &CellState) {
        if let Some(TaskEntry::Assigned(cycle)) = state.tasks().get(task) {
            let current = cycle.phase().attempt;
            assert_ne!(
                current, attempt,
                "{task} was settled before its end was in the journal"
            );
        }
    }

    /// Records the work that an attempt of a task has done.
    pub fn record_progress(&mut self, task: &TaskName, progress_ms: u64) {
        let reached = self.reached_ms.get_or_insert_with(task.clone(), || 0);
        *reached = progress_ms.max(*reached);
    }

    /// Records a job whose submission was acknowledged.
    pub fn record_accepted(&mut self, job: JobName) {
        self.accepted.push(job);
    }

    /// Checks that a recorded request is sent only once.
    pub fn check_sent(&mut self, key: &RequestKey) {
        assert!(!self.sent.contains(key), "{} was sent twice", key.as_str());
        self.sent.push(key.clone());
    }

    fn check_transition(&mut self, transition: &CellTransition) {
        match transition {
            CellTransition::TaskAssigned {
                task,
                attempt,
                worker,
                ..
            } => {
                let key = (task.clone(), *attempt);
                let before = self.placed.insert(key, worker.clone());
                assert_eq!(
                    before, None,
                    "attempt {attempt} of {task} was assigned twice"
                );
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
