//! Decides for all workers.

use crate::DeploymentPlan;
use crate::PolicyFeature;
use crate::PolicySet;
use crate::batch::BatchWorld;
use crate::batch::TaskEvent;
use crate::batch::WorkerReport;
use crate::batch::failure_keeper::FailureKeeper;
use crate::batch::pressure_keeper::PressureKeeper;
use crate::batch::task_placer::TaskPlacer;
use crate::batch::zone_keeper::ZoneKeeper;
use crate::plan::JobTruth;
use crate::plan::WORKER_COUNT;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::UsageSample;

const CANCELLED_CUSTOMER: &str = "padded";
const CANCELLED_OF_TEN: usize = 7;

/// The owner of the one cell of a run.
pub(crate) struct BatchOwner<'a> {
    jobs: &'a [JobTruth],
    policy: &'a PolicySet,
    next_arrival: usize,
    pub(crate) placer: TaskPlacer<'a>,
    failures: FailureKeeper,
    pressures: PressureKeeper,
    zones: ZoneKeeper,
}

impl<'a> BatchOwner<'a> {
    /// An owner that knows nothing of the jobs yet.
    pub(crate) fn new(
        plan: &DeploymentPlan,
        jobs: &'a [JobTruth],
        policy: &'a PolicySet,
        seed: u64,
    ) -> Self {
        Self {
            jobs,
            policy,
            next_arrival: 0,
            placer: TaskPlacer::new(plan, jobs, policy, seed),
            failures: FailureKeeper::new(policy, jobs),
            pressures: PressureKeeper::new(policy),
            zones: ZoneKeeper::new(policy),
        }
    }

    /// Takes what has happened and decides for the next second.
    pub(crate) fn step(&mut self, now_s: u64, world: &mut BatchWorld<'_>) {
        let now = MonoTime::from_millis(now_s * 1_000);
        while let Some(job) = self.jobs.get(self.next_arrival)
            && job.arrival_s <= now_s
        {
            self.placer.arrive(self.next_arrival, now);
            self.next_arrival += 1;
        }
        for event in world.take_events() {
            self.take_event(event, now, world);
        }
        for report in world.take_reports(now_s) {
            self.take_report(&report, now, world);
        }
        if now_s == world.events.cancel_s {
            self.cancel_burst(world);
        }
        self.zones.step(now, &mut self.placer, world);
        self.refresh_rooms(now, world);
        self.placer.place_all(now, &self.pressures.noise, world);
    }

    fn take_event(&mut self, event: TaskEvent, now: MonoTime, world: &mut BatchWorld<'_>) {
        match event {
            TaskEvent::Finished { task } => self.finished(task, now, world),
            TaskEvent::Failed { task } => self.failed(task, now, world),
            TaskEvent::Outgrown { task } => {
                let job = world.tasks[task].job;
                if let Some(row) = self.placer.release(job, task) {
                    let known = &self.jobs[job];
                    let (name, customer) = (&known.name, &known.customer);
                    let sizes = &mut self.placer.sizes;
                    sizes.record_out_of_memory(name, customer, &row.given, &known.declared);
                    self.placer.requeue(job, task, now);
                }
            }
            TaskEvent::Saved { task } => {
                if world.tasks[task].place.is_some() {
                    world.stop(task, true);
                    world.evictions += 1;
                    self.release_and_requeue(world.tasks[task].job, task, now);
                }
            }
            TaskEvent::Lost { task } => {
                self.release_and_requeue(world.tasks[task].job, task, now);
            }
        }
    }

    fn release_and_requeue(&mut self, job: usize, task: usize, now: MonoTime) {
        if self.placer.release(job, task).is_some() {
            self.placer.requeue(job, task, now);
        }
    }

    fn finished(&mut self, task: usize, now: MonoTime, world: &BatchWorld<'_>) {
        let job = world.tasks[task].job;
        if let Some(row) = self.placer.release(job, task) {
            self.placer.runs[job].add(now.millis_since(row.started));
            if row.memory_mb > 0 {
                let known = &self.jobs[job];
                let (name, customer) = (&known.name, &known.customer);
                let sizes = &mut self.placer.sizes;
                sizes.record_peak_memory(name, customer, row.memory_mb, &known.declared);
            }
            self.failures
                .finished(job, row.worker, self.jobs, &self.placer);
        }
    }

    fn failed(&mut self, task: usize, now: MonoTime, world: &mut BatchWorld<'_>) {
        let job = world.tasks[task].job;
        let Some(row) = self.placer.release(job, task) else {
            return;
        };
        self.placer.requeue(job, task, now);
        let placer = &mut self.placer;
        if self
            .failures
            .failed(job, row.worker, self.jobs, placer, now)
        {
            self.end_job(job, world);
            self.placer.answered += 1;
        }
    }

    fn end_job(&mut self, job: usize, world: &mut BatchWorld<'_>) {
        self.placer.queue.remove(&self.jobs[job].name);
        for task in 0..world.tasks.len() {
            if world.tasks[task].job == job && self.placer.release(job, task).is_some() {
                world.stop(task, true);
            }
        }
    }

    fn take_report(&mut self, report: &WorkerReport, now: MonoTime, world: &mut BatchWorld<'_>) {
        for usage in &report.tasks {
            let job = &self.jobs[world.tasks[usage.task].job];
            let used = ResourceSize {
                cpu_milli: usage.cpu_milli,
                memory_mb: usage.memory_mb,
                accelerators: 0,
            };
            let sizes = &mut self.placer.sizes;
            sizes.record_usage(&job.name, &job.customer, &used, &job.declared);
            if let Some(row) = &mut self.placer.assigned[usage.task] {
                row.memory_mb = usage.memory_mb;
            }
        }
        self.placer.rooms[report.worker].measured = Some(UsageSample {
            usage: ResourceSize {
                cpu_milli: report.cpu_milli,
                ..ResourceSize::default()
            },
            age_ms: now.as_millis() - report.measured_s * 1_000,
        });
        let placer = &mut self.placer;
        self.pressures
            .take_report(report, self.jobs, placer, world, now);
    }

    /// Cancels most jobs of one customer at once.
    fn cancel_burst(&mut self, world: &mut BatchWorld<'_>) {
        let cancelled = |(number, job): &(usize, &JobTruth)| {
            job.customer.as_str() == CANCELLED_CUSTOMER && number % 10 < CANCELLED_OF_TEN
        };
        let jobs = self.jobs.iter().enumerate().take(self.next_arrival);
        let jobs = jobs.filter(cancelled).collect::<Vec<_>>();
        let names = jobs.iter().map(|(_, job)| job.name.clone());
        self.placer.queue.cancel(&names.collect::<Vec<JobName>>());
        for (number, _) in jobs {
            self.end_job(number, world);
        }
    }

    fn refresh_rooms(&mut self, now: MonoTime, world: &BatchWorld<'_>) {
        let shared = self.policy.has(PolicyFeature::Colocation);
        for worker in 0..WORKER_COUNT {
            let tasks = &world.workers[worker].tasks;
            let trusted = self.failures.takes_work(worker, tasks.len(), now);
            let noise = tasks.iter().map(|task| {
                let job = &self.jobs[world.tasks[*task].job];
                self.pressures.noise.interference_of(&job.name)
            });
            let room = &mut self.placer.rooms[worker];
            room.interference_permille = noise.sum();
            room.blocked_by_health = !trusted || !(shared || worker % 2 == 1);
        }
    }
}
