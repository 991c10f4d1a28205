//! Evaluation of workers' reports.

use crate::journal::CellTransition;
use crate::owner::AttemptReport;
use crate::owner::AttemptStop;
use crate::owner::CellOwner;
use crate::owner::OwningPhase;
use crate::owner::ReportView;
use crate::owner::ReportedPhase;
use crate::owner::SettlingAttempt;
use crate::state::AssignedPhase;
use crate::state::TaskEntry;
use crate::state::TaskOutcome;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;
use sapphirestile_placement::FailureVerdict;

/// A task ends after this many attempts that failed on their own.
const FAILURES_MAX: u32 = 8;
/// A checkpoint is recorded in the journal once it covers this much more work.
const CHECKPOINT_RECORD_STEP_MS: u64 = 60_000;

impl CellOwner<OwningPhase> {
    /// Evaluates a worker's full report.
    ///
    /// A report of any session but the latest is ignored.
    pub fn observe_report(&mut self, report: &ReportView<'_>) {
        let Some(tracked) = self.phase.workers.get_mut(report.worker) else {
            return;
        };
        if !tracked.awaits(report.ordinal) {
            return;
        }
        tracked.awaiting_answer = false;
        tracked.misses = 0;
        tracked.permit = Some(report.permit);
        for attempt_report in report.tasks {
            self.observe_attempt(report, attempt_report);
        }
        self.return_missing(report);
    }

    fn observe_attempt(&mut self, report: &ReportView<'_>, attempt_report: &AttemptReport) {
        let worker = report.worker;
        let Some(phase) = self.current_phase(worker, attempt_report) else {
            self.handle_stray_attempt(worker, attempt_report);
            return;
        };
        let task = &attempt_report.task;
        let memory = &mut self.phase.memory;
        memory.record_use(task, attempt_report.usage.memory_mb);
        match attempt_report.phase {
            ReportedPhase::Running => {
                self.observe_running(report, attempt_report, &phase);
                return;
            }
            ReportedPhase::Finished => {
                self.phase.planner.record_success(&phase.worker, &task.job);
                self.learn_peak_memory(task);
                self.end_task(task, &phase, TaskOutcome::Finished);
            }
            ReportedPhase::Failed => self.observe_failure(report, attempt_report, &phase),
            ReportedPhase::Stopped => {
                self.return_task(task, &phase, attempt_report.checkpoint_ms, false);
            }
        }
        self.settle(worker, task, attempt_report.attempt);
    }

    /// Records the peak memory of a finished attempt. One that failed or was stopped may
    /// not have reached the point where its task needs most memory.
    fn learn_peak_memory(&mut self, task: &TaskName) {
        let Some(peak_mb) = self.phase.memory.peak_mb(task) else {
            return;
        };
        if let Some(progress) = self.state.jobs().get(&task.job) {
            self.phase.planner.record_peak_memory(progress, peak_mb);
        }
    }

    /// A failure attributed to the worker does not count against the task; one attributed
    /// to the job ends the task.
    fn observe_failure(
        &mut self,
        report: &ReportView<'_>,
        attempt_report: &AttemptReport,
        phase: &AssignedPhase,
    ) {
        let task = &attempt_report.task;
        if self.was_given_less_memory(task, phase) {
            self.return_task(task, phase, attempt_report.checkpoint_ms, false);
            return;
        }
        let verdict = self
            .phase
            .planner
            .record_failure(&phase.worker, &task.job, report.asked);
        let is_final = match verdict {
            FailureVerdict::BadJob { .. } => true,
            FailureVerdict::BadWorker | FailureVerdict::Retry { .. } => {
                phase.failures.saturating_add(1) >= FAILURES_MAX
            }
        };
        if is_final {
            self.end_task(task, phase, TaskOutcome::Failed);
            return;
        }
        let counts = verdict != FailureVerdict::BadWorker;
        self.return_task(task, phase, attempt_report.checkpoint_ms, counts);
    }

    /// Whether a failed attempt was given less memory than its job declared. The worker's
    /// memory limit may have stopped it, so the failure counts against neither.
    fn was_given_less_memory(&mut self, task: &TaskName, phase: &AssignedPhase) -> bool {
        let progress = self.state.jobs().get(&task.job);
        progress.is_some_and(|progress| {
            self.phase
                .planner
                .restore_declared_memory(progress, &phase.size)
        })
    }

    fn observe_running(
        &mut self,
        report: &ReportView<'_>,
        attempt_report: &AttemptReport,
        phase: &AssignedPhase,
    ) {
        let worker = report.worker;
        let AttemptReport {
            task,
            attempt,
            checkpoint_ms,
            ..
        } = attempt_report;
        if checkpoint_ms.saturating_sub(phase.checkpoint_ms) >= CHECKPOINT_RECORD_STEP_MS {
            let (task, attempt, checkpoint_ms) = (task.clone(), *attempt, *checkpoint_ms);
            self.propose_checked(CellTransition::TaskCheckpointed {
                task,
                attempt,
                checkpoint_ms,
            });
        }
        let Some(progress) = self.state.jobs().get(&task.job) else {
            return;
        };
        // The usage of a throttled task does not show its demand.
        if attempt_report.throttle_cpu_milli.is_none() {
            self.phase
                .planner
                .record_usage(progress, &attempt_report.usage);
        }
        let cancelled = progress.cancelled;
        let tracked = self.phase.workers.get(worker);
        let is_leaving = tracked.is_some_and(|tracked| !tracked.facts.takes_work);
        let is_stopping = self.phase.stopping.get(task) == Some(attempt);
        if cancelled || is_leaving || is_stopping {
            if !is_stopping {
                self.phase.stopping.insert(task.clone(), *attempt);
                self.log_stop(worker, attempt_report, cancelled);
            }
            self.stop_attempt(worker, attempt_report, !cancelled);
            return;
        }
        self.observe_throttle(report, attempt_report, phase);
    }

    fn log_stop(&mut self, worker: &str, attempt_report: &AttemptReport, cancelled: bool) {
        let cause = if cancelled {
            "its job was cancelled".to_owned()
        } else {
            self.phase.evictions += 1;
            format!("{worker} leaves or its zone is out")
        };
        let AttemptReport { task, attempt, .. } = attempt_report;
        let text = format!("attempt {attempt} asked to stop: {cause}");
        self.phase.log.push(self.last_proposed(), task, text);
    }

    /// Handles an attempt that is not the task's current one on this worker: it is stopped,
    /// and its results are ignored.
    fn handle_stray_attempt(&mut self, worker: &str, attempt_report: &AttemptReport) {
        if attempt_report.phase == ReportedPhase::Running {
            self.stop_attempt(worker, attempt_report, false);
        } else {
            self.settle(worker, &attempt_report.task, attempt_report.attempt);
        }
    }

    fn stop_attempt(&mut self, worker: &str, attempt_report: &AttemptReport, checkpoint: bool) {
        let Some(tracked) = self.phase.workers.get(worker) else {
            return;
        };
        self.phase.stops.push(AttemptStop {
            worker: tracked.facts.worker.clone(),
            epoch: self.state.epoch(),
            task: attempt_report.task.clone(),
            attempt: attempt_report.attempt,
            checkpoint,
        });
    }

    /// Returns the worker's tasks that its report does not list. The session invalidated
    /// the permits of all starts sent before it, so those starts can no longer take effect.
    fn return_missing(&mut self, report: &ReportView<'_>) {
        let attempt_reports = report.tasks.iter();
        let mut reported: Vec<_> = attempt_reports
            .map(|attempt_report| (&attempt_report.task, attempt_report.attempt))
            .collect();
        reported.sort_unstable();
        for (task, phase) in self.assigned_to(report.worker) {
            let shown = reported.binary_search(&(&task, phase.attempt)).is_ok();
            if !shown && !self.is_withheld(&task) {
                self.return_task(&task, &phase, 0, false);
            }
        }
    }

    /// The phase of the task, if the report is about its current attempt on this worker. An
    /// attempt whose start is withheld cannot have started, whatever the worker reports.
    fn current_phase(&self, worker: &str, attempt_report: &AttemptReport) -> Option<AssignedPhase> {
        match self.state.tasks().get(&attempt_report.task)? {
            TaskEntry::Assigned(cycle)
                if cycle.phase().attempt == attempt_report.attempt
                    && cycle.phase().worker.as_str() == worker
                    && !self.is_withheld(&attempt_report.task) =>
            {
                Some(cycle.phase().clone())
            }
            _ => None,
        }
    }

    /// Allows the worker to forget an ended attempt once all changes proposed so far are in
    /// the journal; until then its report is still needed.
    fn settle(&mut self, worker: &str, task: &TaskName, attempt: AttemptNumber) {
        let Some(tracked) = self.phase.workers.get(worker) else {
            return;
        };
        let worker = tracked.facts.worker.clone();
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
