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
use sapphirestile_placement::NoiseBook;
use sapphirestile_placement::PressureAction;
use sapphirestile_placement::PressurePolicy;
use sapphirestile_placement::PressureState;
use sapphirestile_placement::SlowdownSample;

const THROTTLED_PART: f64 = 0.3;
const STOPPED_DELAY_MS: u64 = 60_000;

/// What was learnt of disturbance, and what is done about it.
pub(crate) struct PressureKeeper {
    acts: bool,
    policy: PressurePolicy,
    states: Vec<PressureState>,
    pub(crate) noise: NoiseBook,
}

impl PressureKeeper {
    /// Nothing learnt yet.
    pub(crate) fn new(policy: &PolicySet) -> Self {
        Self {
            acts: policy.has(PolicyFeature::Pressure),
            policy: PressurePolicy::default(),
            states: vec![PressureState::default(); WORKER_COUNT],
            noise: NoiseBook::default(),
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
        match state.decide(report.slowdown_permille, measured, now, &self.policy) {
            PressureAction::Leave => {}
            PressureAction::ThrottleOne => self.throttle_one(report.worker, jobs, placer, world),
            PressureAction::ReleaseOne => self.release_one(report.worker, jobs, placer, world),
            PressureAction::StopOne => self.stop_one(report.worker, jobs, placer, world, now),
        }
    }

    fn throttle_one(
        &self,
        worker: usize,
        jobs: &[JobTruth],
        placer: &mut TaskPlacer<'_>,
        world: &mut BatchWorld<'_>,
    ) {
        let tasks = self.ranked(worker, false, jobs, placer, world);
        if let Some(task) = tasks.last().copied()
            && let Some(row) = &mut placer.assigned[task]
        {
            row.throttled = true;
            let cap = to_f64(row.given.cpu_milli) * THROTTLED_PART;
            world.throttle(task, Some(cap));
        }
    }

    fn release_one(
        &self,
        worker: usize,
        jobs: &[JobTruth],
        placer: &mut TaskPlacer<'_>,
        world: &mut BatchWorld<'_>,
    ) {
        let tasks = self.ranked(worker, true, jobs, placer, world);
        if let Some(task) = tasks.first().copied()
            && let Some(row) = &mut placer.assigned[task]
        {
            row.throttled = false;
            world.throttle(task, None);
        }
    }

    fn stop_one(
        &self,
        worker: usize,
        jobs: &[JobTruth],
        placer: &mut TaskPlacer<'_>,
        world: &mut BatchWorld<'_>,
        now: MonoTime,
    ) {
        let tasks = self.ranked(worker, true, jobs, placer, world);
        if let Some(task) = tasks.last().copied() {
            let job = world.tasks[task].job;
            world.stop(task, true);
            world.evictions += 1;
            placer.release(job, task);
            placer.requeue(job, task, now);
            let later = now.plus_millis(STOPPED_DELAY_MS);
            placer.queue.delay(&jobs[job].name, later);
        }
    }

    /// The tasks on `worker` that are throttled or not, least disturbing first.
    fn ranked(
        &self,
        worker: usize,
        throttled: bool,
        jobs: &[JobTruth],
        placer: &TaskPlacer<'_>,
        world: &BatchWorld<'_>,
    ) -> Vec<usize> {
        let wanted =
            |task: &usize| placer.assigned[*task].is_some_and(|row| row.throttled == throttled);
        let tasks = world.workers[worker].tasks.iter().copied();
        let mut tasks = tasks.filter(wanted).collect::<Vec<_>>();
        tasks.sort_by_key(|task| {
            (
                self.noise.noise_of(&jobs[world.tasks[*task].job].name),
                *task,
            )
        });
        tasks
    }
}
