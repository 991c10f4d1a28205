//! Throttling and stopping of batch tasks that slow co-located services.

use crate::owner::AttemptReport;
use crate::owner::CellOwner;
use crate::owner::OwningPhase;
use crate::owner::ReportView;
use crate::owner::ThrottleRequest;
use crate::planner::EvictionRequest;
use crate::pressure::CombinedSlowdown;
use crate::pressure::PressureDecision;
use crate::pressure::ReportedThrottle;
use crate::pressure::RequestedThrottle;
use crate::pressure::SlowdownView;
use crate::pressure::ThrottleCandidate;
use crate::state::AssignedPhase;
use sapphirestile_core::MonoTime;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::PressurePolicy;

/// Delay before a job is started again of which a task was stopped for services.
const RESTART_DELAY_MS: u64 = 60_000;

impl CellOwner<OwningPhase> {
    /// Sets the bounds of the tolerated slowdown; `None` lifts every throttle.
    pub fn set_pressure(&mut self, policy: Option<PressurePolicy>) {
        self.phase.pressure.set_policy(policy);
    }

    /// Records the slowdown of requests next to a worker. Late or repeated messages and
    /// messages about workers of other cells are ignored.
    pub fn observe_slowdown(&mut self, view: &SlowdownView<'_>) {
        if let Some(known) = self.phase.workers.get(view.worker) {
            let worker = known.facts.worker.clone();
            self.phase.pressure.record_slowdown(&worker, view);
        }
    }

    /// Throttles, stops or releases a task on each worker with enough new measurements.
    pub fn decide_pressure(&mut self, now: MonoTime) {
        self.phase.pressure.lift_unmeasured(now);
        for worker in self.phase.pressure.due_workers(now) {
            self.decide_for_worker(&worker, now);
        }
    }

    /// Takes the throttle requests that are due; they need no commit.
    pub fn due_throttles(&mut self) -> Vec<ThrottleRequest> {
        std::mem::take(&mut self.phase.throttles)
    }

    /// The throttle requested for a task; `None` when there is none or it is being lifted.
    #[must_use]
    pub fn throttle_of(&self, task: &TaskName) -> Option<&RequestedThrottle> {
        let throttle = self.phase.pressure.throttle_of(task);
        throttle.filter(|throttle| !throttle.lifts())
    }

    /// Throttles that are in force or requested, by task; those being lifted are left out.
    pub fn throttles(&self) -> impl Iterator<Item = (&TaskName, &RequestedThrottle)> {
        let throttles = self.phase.pressure.throttles();
        throttles.filter(|(_, throttle)| !throttle.lifts())
    }

    /// Combined slowdown next to each worker with recent measurements.
    pub fn slowdowns(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&WorkerName, CombinedSlowdown)> {
        self.phase.pressure.slowdowns(now)
    }

    /// Number of throttles decided since this owner claimed the cell.
    #[must_use]
    pub const fn throttled(&self) -> u64 {
        self.phase.throttled
    }

    /// Compares the throttle of a running task in a report with the requested one, and
    /// requests it again when they differ.
    pub(super) fn observe_throttle(
        &mut self,
        report: &ReportView<'_>,
        attempt_report: &AttemptReport,
        phase: &AssignedPhase,
    ) {
        let task = self.throttle_candidate(&attempt_report.task, phase);
        let throttle = ReportedThrottle {
            limit_cpu_milli: attempt_report.throttle_cpu_milli,
            asked: report.asked,
        };
        let requested = self.phase.pressure.observe(&task, &phase.worker, &throttle);
        if let Some(cpu_milli) = requested {
            self.request_throttle(&task, &phase.worker, cpu_milli);
        }
    }

    fn decide_for_worker(&mut self, worker: &WorkerName, now: MonoTime) {
        let assigned = self.assigned_to(worker.as_str());
        let is_stopping = |task: &TaskName| self.phase.stopping.contains(task);
        let any_stopping = assigned.iter().any(|(task, _)| is_stopping(task));
        let tasks: Vec<ThrottleCandidate> = assigned
            .iter()
            .filter(|(task, phase)| phase.size.cpu_milli > 0 && !self.is_withheld(task))
            .map(|(task, phase)| self.throttle_candidate(task, phase))
            .collect();
        match self
            .phase
            .pressure
            .decide(worker, &tasks, any_stopping, now)
        {
            None => {}
            Some(PressureDecision::Limit {
                index,
                permille,
                cause,
            }) => self.throttle(&tasks[index], worker, permille, &cause),
            Some(PressureDecision::Stop { index, cause }) => {
                self.stop_candidate(&tasks[index], worker, &cause, now);
            }
        }
    }

    fn throttle(
        &mut self,
        task: &ThrottleCandidate,
        worker: &WorkerName,
        permille: u64,
        cause: &str,
    ) {
        self.phase.pressure.throttle(task, worker, permille, cause);
        let Some(throttle) = self.phase.pressure.throttle_of(&task.task) else {
            return;
        };
        let cpu_milli = throttle.limit(task.cpu_milli).unwrap_or(task.cpu_milli);
        let attempt = task.attempt;
        let text = format!(
            "attempt {attempt} throttled to {permille} permille of its processor time: {cause}"
        );
        self.phase.log.push(self.last_proposed(), &task.task, text);
        self.phase.throttled += 1;
        self.request_throttle(task, worker, cpu_milli);
    }

    fn stop_candidate(
        &mut self,
        task: &ThrottleCandidate,
        worker: &WorkerName,
        cause: &str,
        now: MonoTime,
    ) {
        let later = now.plus_millis(RESTART_DELAY_MS);
        self.phase.planner.delay_job(&task.task.job, later);
        self.evict(&EvictionRequest {
            task: task.task.clone(),
            worker: worker.clone(),
            reason: format!("asked to stop to protect services on {worker}: {cause}"),
        });
    }

    fn request_throttle(&mut self, task: &ThrottleCandidate, worker: &WorkerName, cpu_milli: u64) {
        self.phase.throttles.push(ThrottleRequest {
            worker: worker.clone(),
            epoch: self.state.epoch(),
            task: task.task.clone(),
            attempt: task.attempt,
            cpu_milli,
        });
    }

    fn throttle_candidate(&self, task: &TaskName, phase: &AssignedPhase) -> ThrottleCandidate {
        let progress = self.state.jobs().get(&task.job);
        ThrottleCandidate {
            task: task.clone(),
            attempt: phase.attempt,
            cpu_milli: phase.size.cpu_milli,
            urgent: progress.is_some_and(|progress| progress.spec.urgent),
        }
    }
}
