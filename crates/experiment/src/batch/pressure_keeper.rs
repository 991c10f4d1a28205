//! Deals with tasks that disturb.

use crate::PolicyFeature;
use crate::PolicySet;
use crate::batch::BatchWorld;
use crate::batch::WorkerReport;
use crate::batch::task_placer::TaskPlacer;
use crate::plan::JobTruth;
use crate::plan::WORKER_COUNT;
use crate::plan::to_f64;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::PressurePolicy;
use sapphirestile_placement::PressureState;
use sapphirestile_placement::PressureTask;
use sapphirestile_placement::SlowdownModel;
use sapphirestile_placement::SlowdownSample;
use sapphirestile_placement::choose_pressure_target;

const WHOLE_PERMILLE: u64 = 1_000;
const STOPPED_DELAY_MS: u64 = 60_000;

/// What was learnt of disturbance, and what is done about it.
pub(crate) struct PressureKeeper {
    acts: bool,
    policy: PressurePolicy,
    states: Vec<PressureState>,
    pub(crate) noise: SlowdownModel,
}

impl PressureKeeper {
    /// Nothing learnt yet.
    pub(crate) fn new(policy: &PolicySet) -> Self {
        Self {
            acts: policy.has(PolicyFeature::Pressure),
            policy: PressurePolicy::default(),
            states: vec![PressureState::default(); WORKER_COUNT],
            noise: SlowdownModel::default(),
        }
    }

    /// Learns from a report and acts on its worker.
    pub(crate) fn take_report(
        &mut self,
        report: &WorkerReport,
        jobs: &[JobTruth],
        placer: &mut TaskPlacer<'_>,
        world: &mut BatchWorld<'_>,
        now: MonoTime,
    ) {
        let name = |task: usize| &jobs[world.tasks[task].job].name;
        let names = report.tasks.iter().map(|usage| name(usage.task));
        let measured = MonoTime::from_millis(report.measured_s * 1_000);
        self.noise.learn(&SlowdownSample {
            measured,
            slowdown_permille: report.slowdown_permille,
            jobs: &names.collect::<Vec<_>>(),
        });
        if !self.acts {
            return;
        }
        let state = &mut self.states[report.worker];
        let action = state.decide(report.slowdown_permille, measured, now, &self.policy);
        let tasks = world.workers[report.worker].tasks.clone();
        let views = tasks.iter().map(|task| PressureTask {
            interference_permille: self
                .noise
                .interference_of(&jobs[world.tasks[*task].job].name),
            throttle_permille: placer.assigned[*task].map_or(0, |row| row.throttle_permille),
        });
        let chosen = choose_pressure_target(&views.collect::<Vec<_>>(), action);
        match chosen {
            None => {}
            Some((place, 0)) => stop(tasks[place], jobs, placer, world, now),
            Some((place, permille)) => throttle(tasks[place], permille, placer, world),
        }
    }
}

fn throttle(task: usize, permille: u64, placer: &mut TaskPlacer<'_>, world: &mut BatchWorld<'_>) {
    if let Some(row) = &mut placer.assigned[task] {
        row.throttle_permille = permille;
        let cap = to_f64(row.given.cpu_milli * permille / WHOLE_PERMILLE);
        world.throttle(task, (permille < WHOLE_PERMILLE).then_some(cap));
    }
}

fn stop(
    task: usize,
    jobs: &[JobTruth],
    placer: &mut TaskPlacer<'_>,
    world: &mut BatchWorld<'_>,
    now: MonoTime,
) {
    let job = world.tasks[task].job;
    world.stop(task, true);
    world.evictions += 1;
    placer.release(job, task);
    placer.requeue(job, task, now);
    let later = now.plus_millis(STOPPED_DELAY_MS);
    placer.queue.delay(&jobs[job].name, later);
}
