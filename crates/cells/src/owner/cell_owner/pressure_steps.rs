//! What an owner does about batch tasks that slow services.

use crate::owner::CellOwner;
use crate::owner::OpenPhase;
use crate::owner::ReportView;
use crate::owner::TaskSighting;
use crate::owner::ThrottleOrder;
use crate::planner::EvictionOrder;
use crate::pressure::CombinedSlowdown;
use crate::pressure::PressedTask;
use crate::pressure::PressureStep;
use crate::pressure::SlowdownView;
use crate::pressure::ThrottleRow;
use crate::pressure::ThrottleSight;
use crate::state::AssignedPhase;
use sapphirestile_core::MonoTime;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::PressurePolicy;

/// How long the job of a task stopped for the sake of services waits.
const STOPPED_DELAY_MS: u64 = 60_000;

impl CellOwner<OpenPhase> {
    /// Takes the bounds of the pressure; without any, every throttle is lifted.
    pub fn set_pressure(&mut self, policy: Option<PressurePolicy>) {
        self.phase.pressure.set_policy(policy);
    }

    /// Takes in by how much requests beside a worker were slowed. A message that
    /// comes twice or late changes nothing, nor does one about a foreign worker.
    pub fn observe_slowdown(&mut self, view: &SlowdownView<'_>) {
        if let Some(known) = self.phase.workers.get(view.worker) {
            let worker = known.facts.worker.clone();
            self.phase.pressure.note_slowdown(&worker, view);
        }
    }

    /// Throttles, stops or releases a task of each worker about which enough is
    /// known.
    pub fn decide_pressure(&mut self, now: MonoTime) {
        self.phase.pressure.lift_silent(now);
        for worker in self.phase.pressure.due_workers(now) {
            self.decide_on(&worker, now);
        }
    }

    /// Throttles that are due; they need no commit.
    pub fn due_throttles(&mut self) -> Vec<ThrottleOrder> {
        std::mem::take(&mut self.phase.throttles)
    }

    /// The throttle asked for a task, if any.
    #[must_use]
    pub fn throttle_of(&self, task: &TaskName) -> Option<&ThrottleRow> {
        let row = self.phase.pressure.throttle_of(task);
        row.filter(|row| !row.lifts())
    }

    /// The throttles in force or asked for, by task.
    pub fn throttles(&self) -> impl Iterator<Item = (&TaskName, &ThrottleRow)> {
        let rows = self.phase.pressure.throttles();
        rows.filter(|(_, row)| !row.lifts())
    }

    /// By how much requests beside each worker are slowed.
    pub fn slowdowns(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&WorkerName, CombinedSlowdown)> {
        self.phase.pressure.slowdowns(now)
    }

    /// How many throttles were decided.
    #[must_use]
    pub const fn throttled(&self) -> u64 {
        self.phase.throttled
    }

    /// Compares what a report shows of a running task's throttle with what is
    /// asked for, and asks again when they differ.
    pub(super) fn observe_throttle(
        &mut self,
        report: &ReportView<'_>,
        sighting: &TaskSighting,
        cycle: &AssignedPhase,
    ) {
        let task = self.pressed_task(&sighting.task, cycle);
        let sight = ThrottleSight {
            limit_cpu_milli: sighting.throttle_cpu_milli,
            asked: report.asked,
        };
        let asked = self.phase.pressure.observe(&task, &cycle.worker, &sight);
        if let Some(cpu_milli) = asked {
            self.order_throttle(&task, &cycle.worker, cpu_milli);
        }
    }

    fn decide_on(&mut self, worker: &WorkerName, now: MonoTime) {
        let assigned = self.assigned_to(worker.as_str());
        let leaving = |task: &TaskName| self.phase.stopping.contains(task);
        let stops = assigned.iter().any(|(task, _)| leaving(task));
        let tasks: Vec<PressedTask> = assigned
            .iter()
            .filter(|(task, cycle)| cycle.size.cpu_milli > 0 && !self.is_withheld(task))
            .map(|(task, cycle)| self.pressed_task(task, cycle))
            .collect();
        match self.phase.pressure.decide(worker, &tasks, stops, now) {
            None => {}
            Some(PressureStep::Limit {
                place,
                permille,
                cause,
            }) => self.limit(&tasks[place], worker, permille, &cause),
            Some(PressureStep::Stop { place, cause }) => {
                self.stop_pressed(&tasks[place], worker, &cause, now);
            }
        }
    }

    fn limit(&mut self, task: &PressedTask, worker: &WorkerName, permille: u64, cause: &str) {
        self.phase.pressure.throttle(task, worker, permille, cause);
        let Some(row) = self.phase.pressure.throttle_of(&task.task) else {
            return;
        };
        let cpu_milli = row.limit(task.cpu_milli).unwrap_or(task.cpu_milli);
        let attempt = task.attempt;
        let text = format!("attempt {attempt} left {permille} thousandths of its time: {cause}");
        self.phase.log.note(self.last_proposed(), &task.task, text);
        self.phase.throttled += 1;
        self.order_throttle(task, worker, cpu_milli);
    }

    fn stop_pressed(
        &mut self,
        task: &PressedTask,
        worker: &WorkerName,
        cause: &str,
        now: MonoTime,
    ) {
        let later = now.plus_millis(STOPPED_DELAY_MS);
        self.phase.planner.delay_job(&task.task.job, later);
        self.evict(&EvictionOrder {
            task: task.task.clone(),
            worker: worker.clone(),
            reason: format!("asked to stop for the sake of services on {worker}: {cause}"),
        });
    }

    fn order_throttle(&mut self, task: &PressedTask, worker: &WorkerName, cpu_milli: u64) {
        self.phase.throttles.push(ThrottleOrder {
            worker: worker.clone(),
            epoch: self.state.epoch(),
            task: task.task.clone(),
            attempt: task.attempt,
            cpu_milli,
        });
    }

    fn pressed_task(&self, task: &TaskName, cycle: &AssignedPhase) -> PressedTask {
        let record = self.state.jobs().get(&task.job);
        PressedTask {
            task: task.clone(),
            attempt: cycle.attempt,
            cpu_milli: cycle.size.cpu_milli,
            urgent: record.is_some_and(|record| record.order.urgent),
        }
    }
}
