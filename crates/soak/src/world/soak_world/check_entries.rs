//! The invariants, checked where they can break.

use crate::CommitTry;
use crate::SoakWorld;
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

const ZONE_OUT_WITHIN_MS: u64 = 3_000;

impl SoakWorld {
    /// Checks an entry that was just written.
    pub(super) fn check_entry(&mut self, commit: &CommitTry) {
        self.ledger.entries += 1;
        let rows = self.store.rows(commit.cell);
        let replayed = rows.load() == rows.truth;
        let expected = commit.expected.as_ref();
        let as_expected = expected.is_none_or(|state| *state == rows.truth);
        if !replayed {
            self.broken("the snapshot and the entries after it fold to another state");
        }
        if !as_expected {
            self.broken("the journal folds to another state than the owner's");
        }
        if let EntryBody::Batch(transitions) = &commit.entry.body {
            for transition in transitions {
                self.check_transition(transition);
            }
        }
        self.check_rooms(commit.cell);
    }

    /// Checks an attempt that has just begun.
    pub(super) fn check_start(&mut self, cell: CellNumber, order: &AttemptStart) {
        let now = self.now;
        let (task, attempt) = (&order.task, order.attempt);
        let held = match self.store.rows(cell).truth.tasks().get(task) {
            Some(TaskEntry::Assigned(cycle)) => {
                let phase = cycle.phase();
                phase.attempt == attempt
                    && phase.worker == order.worker
                    && phase.checkpoint_ms == order.checkpoint_ms
            }
            _ => false,
        };
        if !held {
            self.broken(format!(
                "attempt {attempt} of {task} began, and the journal does not say so"
            ));
        }
        let twice = self.workers.iter_mut().any(|(name, worker)| {
            let same = *name == order.worker;
            worker.runs(now, |row| {
                row.task == *task && !(same && row.attempt == attempt)
            })
        });
        if twice {
            self.broken(format!("{task} runs twice"));
        }
        let done = self
            .workers
            .values()
            .any(|worker| worker.lives(now) && worker.has_done(task));
        if done {
            self.broken(format!("{task} began again after a worker finished it"));
        }
        let zone = self.workers.get(&order.worker).map(|worker| &worker.zone);
        let out = zone.and_then(|zone| self.store.zones_out.get(zone));
        if out.is_some_and(|since| now - since > ZONE_OUT_WITHIN_MS) {
            self.broken(format!("{task} began in a zone that was long out"));
        }
        let noted = self.ledger.note_begun(task, attempt, &order.worker);
        self.check(noted);
    }

    pub(super) fn check_all_promises(&mut self) {
        let mut broken = Vec::new();
        for tries in self.ledger.jobs.values() {
            let truth = &self.store.rows(tries.cell).truth;
            broken.extend(self.ledger.check_promises(truth, tries).err());
        }
        for what in broken {
            self.broken(what);
        }
    }

    fn check_transition(&mut self, transition: &CellTransition) {
        match transition {
            CellTransition::TaskAssigned { task, attempt, .. } => {
                let noted = self.ledger.note_assigned(task, *attempt);
                self.check(noted);
            }
            CellTransition::TaskReturned { task, attempt, .. } => {
                self.check_still(task, *attempt);
            }
            CellTransition::TaskEnded {
                task,
                attempt,
                outcome,
            } => {
                self.check_still(task, *attempt);
                let noted = self.ledger.note_ended(task, *attempt);
                self.check(noted);
                let real = self
                    .workers
                    .values()
                    .any(|worker| worker.has_finished(task, *attempt));
                if *outcome == TaskOutcome::Finished && !real {
                    self.broken(format!("{task} was ended, and no worker finished it"));
                }
            }
            _ => {}
        }
    }

    fn check_still(&mut self, task: &TaskName, attempt: AttemptNumber) {
        let now = self.now;
        let runs = self
            .workers
            .iter_mut()
            .any(|(_, worker)| worker.runs(now, |row| row.task == *task && row.attempt == attempt));
        if runs {
            self.broken(format!(
                "attempt {attempt} of {task} was given up and runs on"
            ));
        }
    }

    fn check_rooms(&mut self, cell: CellNumber) {
        let mut given: SortedTable<&WorkerName, ResourceSize> = SortedTable::new();
        for entry in self.store.rows(cell).truth.tasks().values() {
            if let TaskEntry::Assigned(cycle) = entry {
                let phase = cycle.phase();
                let sum = given.get_or_insert_with(&phase.worker, ResourceSize::default);
                *sum = sum.plus(&phase.size);
            }
        }
        if given.values().any(|sum| !sum.fits_in(&WORKER_SIZE)) {
            self.broken("a worker was given more than its room");
        }
    }
}
