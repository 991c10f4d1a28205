//! Throttling of tasks that slow down runners.

use crate::PolicyFeature;
use crate::PolicyVariant;
use crate::batch::SimulatedCluster;
use crate::batch::WorkerReport;
use crate::batch::task_placer::TaskPlacer;
use crate::plan::JobProfile;
use crate::plan::WORKER_COUNT;
use crate::plan::to_f64;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::PressurePolicy;
use sapphirestile_placement::PressureState;
use sapphirestile_placement::PressureTask;
use sapphirestile_placement::SlowdownModel;
use sapphirestile_placement::SlowdownSample;
use sapphirestile_placement::choose_pressure_target;

const UNTHROTTLED_PERMILLE: u64 = 1_000;
/// How long a job waits after one of its tasks was stopped for interference.
const RESTART_DELAY_MS: u64 = 60_000;

/// Learns from reports which jobs interfere with runners, and throttles or stops
/// their tasks.
pub(crate) struct InterferenceController {
    /// Whether tasks are throttled; if not, the controller only learns.
    throttles: bool,
    policy: PressurePolicy,
    /// One state per worker.
    states: Vec<PressureState>,
    pub(crate) slowdown_model: SlowdownModel,
}

impl InterferenceController {
    /// Creates a controller without observations.
    pub(crate) fn new(policy: &PolicyVariant) -> Self {
        Self {
            throttles: policy.has(PolicyFeature::Throttling),
            policy: PressurePolicy::default(),
            states: vec![PressureState::default(); WORKER_COUNT],
            slowdown_model: SlowdownModel::default(),
        }
    }

    /// Learns from `report` and throttles a task of its worker more or less, or stops it.
    pub(crate) fn handle_report(
        &mut self,
        report: &WorkerReport,
        jobs: &[JobProfile],
        placer: &mut TaskPlacer<'_>,
        cluster: &mut SimulatedCluster<'_>,
        now: MonoTime,
    ) {
        let name = |task: usize| &jobs[cluster.tasks[task].job].name;
        let names = report.tasks.iter().map(|usage| name(usage.task));
        let measured = MonoTime::from_millis(report.measured_s * 1_000);
        self.slowdown_model.learn(&SlowdownSample {
            measured,
            slowdown_permille: report.slowdown_permille,
            jobs: &names.collect::<Vec<_>>(),
        });
        if !self.throttles {
            return;
        }
        let state = &mut self.states[report.worker];
        let action = state.decide(report.slowdown_permille, measured, now, &self.policy);
        let tasks = cluster.workers[report.worker].tasks.clone();
        let pressure_tasks = tasks.iter().map(|task| PressureTask {
            interference_permille: self
                .slowdown_model
                .interference_of(&jobs[cluster.tasks[*task].job].name),
            throttle_permille: placer.assignments[*task]
                .map_or(0, |assignment| assignment.throttle_permille),
        });
        let choice = choose_pressure_target(&pressure_tasks.collect::<Vec<_>>(), action);
        match choice {
            None => {}
            // A throttle of 0 stops the task.
            Some((position, 0)) => stop(tasks[position], jobs, placer, cluster, now),
            Some((position, permille)) => throttle(tasks[position], permille, placer, cluster),
        }
    }
}

fn throttle(
    task: usize,
    permille: u64,
    placer: &mut TaskPlacer<'_>,
    cluster: &mut SimulatedCluster<'_>,
) {
    if let Some(assignment) = &mut placer.assignments[task] {
        assignment.throttle_permille = permille;
        let cap = to_f64(assignment.allocated.cpu_milli * permille / UNTHROTTLED_PERMILLE);
        cluster.throttle(task, (permille < UNTHROTTLED_PERMILLE).then_some(cap));
    }
}

fn stop(
    task: usize,
    jobs: &[JobProfile],
    placer: &mut TaskPlacer<'_>,
    cluster: &mut SimulatedCluster<'_>,
    now: MonoTime,
) {
    let job = cluster.tasks[task].job;
    cluster.stop(task, true);
    cluster.evictions += 1;
    placer.release(job, task);
    placer.requeue(job, task, now);
    let not_before = now.plus_millis(RESTART_DELAY_MS);
    placer.queue.delay(&jobs[job].name, not_before);
}
