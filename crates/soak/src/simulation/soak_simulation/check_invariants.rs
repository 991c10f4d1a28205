//! The invariants, checked after each event that can violate them.

use crate::JournalCommit;
use crate::SoakSimulation;
use crate::worker::WORKER_SIZE;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::TaskEntry;
use sapphirestile_cells::TaskOutcome;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A start may reach a worker at most this long after the worker's zone was taken out.
const ZONE_OUT_DELAY_MAX_MS: u64 = 3_000;

impl SoakSimulation {
    /// Checks an entry that was just written to the journal.
    pub(super) fn check_entry(&mut self, commit: &JournalCommit) {
        self.tracker.entries_written += 1;
        let rows = self.store.rows(commit.cell);
        let snapshot_matches = rows.load_state() == rows.full_state;
        let expected = commit.expected_state.as_ref();
        let owner_matches = expected.is_none_or(|state| *state == rows.full_state);
        if !snapshot_matches {
            self.report_violation(
                "the snapshot with the entries after it gives another state than all entries",
            );
        }
        if !owner_matches {
            self.report_violation("the journal gives another state than the one of its owner");
        }
        if let EntryBody::Batch(transitions) = &commit.entry.body {
            for transition in transitions {
                self.check_transition(transition);
            }
        }
        self.check_capacity(commit.cell);
    }

    /// Checks an attempt that was just started on a worker.
    pub(super) fn check_start(&mut self, cell: CellNumber, start: &AttemptStart) {
        let now_ms = self.now_ms;
        let (task, attempt) = (&start.task, start.attempt);
        let assigned = match self.store.rows(cell).full_state.tasks().get(task) {
            Some(TaskEntry::Assigned(cycle)) => {
                let phase = cycle.phase();
                phase.attempt == attempt
                    && phase.worker == start.worker
                    && phase.checkpoint_ms == start.checkpoint_ms
            }
            _ => false,
        };
        if !assigned {
            self.report_violation(format!(
                "attempt {attempt} of {task} was started, but the journal does not \
                 assign it to this worker with this checkpoint"
            ));
        }
        let duplicate = self.workers.iter_mut().any(|(name, worker)| {
            let same_worker = *name == start.worker;
            worker.is_running(now_ms, |row| {
                row.task == *task && !(same_worker && row.attempt == attempt)
            })
        });
        if duplicate {
            self.report_violation(format!("{task} runs in two attempts or on two workers"));
        }
        let finished = self
            .workers
            .values()
            .any(|worker| worker.exists_at(now_ms) && worker.has_finished_task(task));
        if finished {
            self.report_violation(format!(
                "{task} was started again after a worker had finished it"
            ));
        }
        let zone = self.workers.get(&start.worker).map(|worker| &worker.zone);
        let out = zone.and_then(|zone| self.store.zones_out.get(zone));
        if out.is_some_and(|out_since_ms| now_ms - out_since_ms > ZONE_OUT_DELAY_MAX_MS) {
            self.report_violation(format!(
                "{task} was started in a zone that was out of service \
                 for more than {ZONE_OUT_DELAY_MAX_MS} ms"
            ));
        }
        let recorded = self.tracker.record_start(task, attempt, &start.worker);
        self.check_result(recorded);
    }

    /// Checks the submissions of all jobs; done once, at the end of the run.
    pub(super) fn check_all_submissions(&mut self) {
        let mut violations = Vec::new();
        for submissions in self.tracker.jobs.values() {
            let full_state = &self.store.rows(submissions.cell).full_state;
            violations.extend(
                self.tracker
                    .check_submissions(full_state, submissions)
                    .err(),
            );
        }
        for violation in violations {
            self.report_violation(violation);
        }
    }

    fn check_transition(&mut self, transition: &CellTransition) {
        match transition {
            CellTransition::TaskAssigned { task, attempt, .. } => {
                let recorded = self.tracker.record_assignment(task, *attempt);
                self.check_result(recorded);
            }
            CellTransition::TaskReturned { task, attempt, .. } => {
                self.check_stopped(task, *attempt);
            }
            CellTransition::TaskEnded {
                task,
                attempt,
                outcome,
            } => {
                self.check_stopped(task, *attempt);
                let recorded = self.tracker.record_end(task, *attempt);
                self.check_result(recorded);
                let finished = self
                    .workers
                    .values()
                    .any(|worker| worker.has_finished_attempt(task, *attempt));
                if *outcome == TaskOutcome::Finished && !finished {
                    self.report_violation(format!(
                        "the journal ended {task} as finished, but no worker \
                         finished attempt {attempt}"
                    ));
                }
            }
            _ => {}
        }
    }

    /// Checks that an attempt that the journal ended or returned no longer runs on any worker.
    fn check_stopped(&mut self, task: &TaskName, attempt: AttemptNumber) {
        let now_ms = self.now_ms;
        let running = self.workers.iter_mut().any(|(_, worker)| {
            worker.is_running(now_ms, |row| row.task == *task && row.attempt == attempt)
        });
        if running {
            self.report_violation(format!(
                "the journal ended or returned attempt {attempt} of {task}, but it still runs"
            ));
        }
    }

    /// Checks that the tasks assigned to each worker fit it.
    fn check_capacity(&mut self, cell: CellNumber) {
        let mut assigned_sizes: SortedTable<&WorkerName, ResourceSize> = SortedTable::new();
        for entry in self.store.rows(cell).full_state.tasks().values() {
            if let TaskEntry::Assigned(cycle) = entry {
                let phase = cycle.phase();
                let sum = assigned_sizes.get_or_insert_with(&phase.worker, ResourceSize::default);
                *sum = sum.plus(&phase.size);
            }
        }
        if assigned_sizes
            .values()
            .any(|sum| !sum.fits_in(&WORKER_SIZE))
        {
            self.report_violation("the tasks assigned to a worker exceed its size");
        }
    }
}
