//! What an owner learns from reports of workers.

use crate::journal::CellTransition;
use crate::owner::CellOwner;
use crate::owner::OpenPhase;
use crate::owner::ReportView;
use crate::owner::SettlingAttempt;
use crate::owner::SightedPhase;
use crate::owner::StopOrder;
use crate::owner::TaskSighting;
use crate::state::AssignedPhase;
use crate::state::TaskEntry;
use crate::state::TaskOutcome;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;
use sapphirestile_placement::FailureVerdict;

const FAILURES_MAX: u32 = 8;
const CHECKPOINT_STEP_MS: u64 = 60_000;

impl CellOwner<OpenPhase> {
    /// Takes a worker's report in.
    ///
    /// A report of any session but the latest asked for is dropped.
    pub fn observe_report(&mut self, report: &ReportView<'_>) {
        let Some(view) = self.phase.workers.get_mut(report.worker) else {
            return;
        };
        if !view.awaits(report.ordinal) {
            return;
        }
        view.asking = false;
        view.misses = 0;
        view.permit = Some(report.permit);
        for sighting in report.tasks {
            self.observe_sighting(report, sighting);
        }
        self.return_missing(report);
    }

    fn observe_sighting(&mut self, report: &ReportView<'_>, sighting: &TaskSighting) {
        let worker = report.worker;
        let Some(cycle) = self.current_cycle(worker, sighting) else {
            self.settle_stray(worker, sighting);
            return;
        };
        let task = &sighting.task;
        let memory = &mut self.phase.memory;
        memory.note_seen(task, sighting.usage.memory_mb);
        match sighting.phase {
            SightedPhase::Running => {
                self.observe_running(report, sighting, &cycle);
                return;
            }
            SightedPhase::Finished => {
                self.phase.planner.note_success(&cycle.worker, &task.job);
                self.note_memory(task);
                self.end_task(task, &cycle, TaskOutcome::Finished);
            }
            SightedPhase::Failed => self.observe_failure(report, sighting, &cycle),
            SightedPhase::Stopped => {
                self.return_task(task, &cycle, sighting.checkpoint_ms, false);
            }
        }
        self.settle(worker, task, sighting.attempt);
    }

    /// Only an attempt that did all its work shows how much memory a task needs: one
    /// that failed or was stopped may not have come to the point where it needs most.
    fn note_memory(&mut self, task: &TaskName) {
        let Some(most_mb) = self.phase.memory.most_mb(task) else {
            return;
        };
        if let Some(record) = self.state.jobs().get(&task.job) {
            self.phase.planner.note_end(record, most_mb);
        }
    }

    /// A failure that speaks against the worker costs the task nothing; one that
    /// speaks against the job ends the task.
    fn observe_failure(
        &mut self,
        report: &ReportView<'_>,
        sighting: &TaskSighting,
        cycle: &AssignedPhase,
    ) {
        let task = &sighting.task;
        if self.was_short(task, cycle) {
            self.return_task(task, cycle, sighting.checkpoint_ms, false);
            return;
        }
        let verdict = self
            .phase
            .planner
            .note_failure(&cycle.worker, &task.job, report.asked);
        let given_up = match verdict {
            FailureVerdict::BadJob { .. } => true,
            FailureVerdict::BadWorker | FailureVerdict::Retry { .. } => {
                cycle.failures.saturating_add(1) >= FAILURES_MAX
            }
        };
        if given_up {
            self.end_task(task, cycle, TaskOutcome::Failed);
            return;
        }
        let counts = verdict != FailureVerdict::BadWorker;
        self.return_task(task, cycle, sighting.checkpoint_ms, counts);
    }

    /// Whether a failed attempt had less memory than its job declared: a worker's
    /// guard may have stopped it, which speaks neither against worker nor job.
    fn was_short(&mut self, task: &TaskName, cycle: &AssignedPhase) -> bool {
        let record = self.state.jobs().get(&task.job);
        record.is_some_and(|record| self.phase.planner.note_short(record, &cycle.size))
    }

    fn observe_running(
        &mut self,
        report: &ReportView<'_>,
        sighting: &TaskSighting,
        cycle: &AssignedPhase,
    ) {
        let worker = report.worker;
        let TaskSighting {
            task,
            attempt,
            checkpoint_ms,
            ..
        } = sighting;
        if checkpoint_ms.saturating_sub(cycle.checkpoint_ms) >= CHECKPOINT_STEP_MS {
            let (task, attempt, checkpoint_ms) = (task.clone(), *attempt, *checkpoint_ms);
            self.propose_sure(CellTransition::TaskCheckpointed {
                task,
                attempt,
                checkpoint_ms,
            });
        }
        let Some(record) = self.state.jobs().get(&task.job) else {
            return;
        };
        // What a throttled task uses says nothing of what it needs.
        if sighting.throttle_cpu_milli.is_none() {
            self.phase.planner.note_usage(record, &sighting.usage);
        }
        let cancelled = record.cancelled;
        let view = self.phase.workers.get(worker);
        let leaves = view.is_some_and(|view| !view.facts.takes_work);
        let asked = self.phase.stopping.get(task) == Some(attempt);
        if cancelled || leaves || asked {
            if !asked {
                self.phase.stopping.insert(task.clone(), *attempt);
                self.note_stop(worker, sighting, cancelled);
            }
            self.stop_attempt(worker, sighting, !cancelled);
            return;
        }
        self.observe_throttle(report, sighting, cycle);
    }

    fn note_stop(&mut self, worker: &str, sighting: &TaskSighting, cancelled: bool) {
        let cause = if cancelled {
            "its job was cancelled".to_owned()
        } else {
            self.phase.evictions += 1;
            format!("{worker} leaves or its zone is out")
        };
        let TaskSighting { task, attempt, .. } = sighting;
        let text = format!("attempt {attempt} asked to stop: {cause}");
        self.phase.log.note(self.last_proposed(), task, text);
    }

    /// An attempt that is not the task's current one on this worker: it must not
    /// run on, and nothing that it reports counts.
    fn settle_stray(&mut self, worker: &str, sighting: &TaskSighting) {
        if sighting.phase == SightedPhase::Running {
            self.stop_attempt(worker, sighting, false);
        } else {
            self.settle(worker, &sighting.task, sighting.attempt);
        }
    }

    fn stop_attempt(&mut self, worker: &str, sighting: &TaskSighting, checkpoint: bool) {
        let Some(view) = self.phase.workers.get(worker) else {
            return;
        };
        self.phase.stops.push(StopOrder {
            worker: view.facts.worker.clone(),
            epoch: self.state.epoch(),
            task: sighting.task.clone(),
            attempt: sighting.attempt,
            checkpoint,
        });
    }

    /// Returns the worker's tasks that its report does not show. The session
    /// voided the permits of all starts sent before it, so they cannot take
    /// effect any more.
    fn return_missing(&mut self, report: &ReportView<'_>) {
        let sightings = report.tasks.iter();
        let mut sighted: Vec<_> = sightings
            .map(|sighting| (&sighting.task, sighting.attempt))
            .collect();
        sighted.sort_unstable();
        for (task, cycle) in self.assigned_to(report.worker) {
            let shown = sighted.binary_search(&(&task, cycle.attempt)).is_ok();
            if !shown && !self.is_withheld(&task) {
                self.return_task(&task, &cycle, 0, false);
            }
        }
    }

    /// The task's current attempt, when it is the sighted one. One whose start is
    /// withheld cannot have begun, whatever a worker says.
    fn current_cycle(&self, worker: &str, sighting: &TaskSighting) -> Option<AssignedPhase> {
        match self.state.tasks().get(&sighting.task)? {
            TaskEntry::Assigned(cycle)
                if cycle.phase().attempt == sighting.attempt
                    && cycle.phase().worker.as_str() == worker
                    && !self.is_withheld(&sighting.task) =>
            {
                Some(cycle.phase().clone())
            }
            _ => None,
        }
    }

    /// Lets the worker forget an ended attempt, but only once all that was
    /// proposed so far is in the journal: until then the report is still needed.
    fn settle(&mut self, worker: &str, task: &TaskName, attempt: AttemptNumber) {
        let Some(view) = self.phase.workers.get(worker) else {
            return;
        };
        let worker = view.facts.worker.clone();
        let sequence = self.last_proposed();
        let task = task.clone();
        let ended = SettlingAttempt {
            worker,
            task,
            attempt,
        };
        self.phase.settling.get_or_insert_with(ended, || sequence);
        if sequence == self.state.sequence() {
            self.release_settled();
        }
    }
}
