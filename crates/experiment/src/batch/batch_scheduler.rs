//! Scheduling decisions for all workers.

use crate::DeploymentPlan;
use crate::PolicyFeature;
use crate::PolicyVariant;
use crate::batch::SimulatedCluster;
use crate::batch::TaskEvent;
use crate::batch::WorkerReport;
use crate::batch::failure_tracker::FailureTracker;
use crate::batch::interference_controller::InterferenceController;
use crate::batch::task_placer::TaskPlacer;
use crate::batch::zone_drainer::ZoneDrainer;
use crate::plan::JobProfile;
use crate::plan::WORKER_COUNT;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::UsageSample;

/// The customer that cancels most of its jobs during the run.
const CANCELLED_CUSTOMER: &str = "padded";
/// Of every ten jobs in the order of arrival, those before this position are
/// cancelled if they belong to that customer.
const CANCELLED_PER_TEN: usize = 7;

/// The scheduler of all tasks of a run, in place of the daemon that owns a cell; a
/// run has one cell.
pub(crate) struct BatchScheduler<'a> {
    jobs: &'a [JobProfile],
    policy: &'a PolicyVariant,
    /// The index of the first job that has not arrived yet.
    next_arrival: usize,
    pub(crate) placer: TaskPlacer<'a>,
    failures: FailureTracker,
    interference_controller: InterferenceController,
    zone_drainer: ZoneDrainer,
}

impl<'a> BatchScheduler<'a> {
    /// Creates a scheduler that has not received any of `jobs` yet.
    pub(crate) fn new(
        plan: &DeploymentPlan,
        jobs: &'a [JobProfile],
        policy: &'a PolicyVariant,
        seed: u64,
    ) -> Self {
        Self {
            jobs,
            policy,
            next_arrival: 0,
            placer: TaskPlacer::new(plan, jobs, policy, seed),
            failures: FailureTracker::new(policy, jobs),
            interference_controller: InterferenceController::new(policy),
            zone_drainer: ZoneDrainer::new(policy),
        }
    }

    /// Handles the arrivals, events and reports up to `now_s`, then drains the zone and
    /// places waiting tasks.
    pub(crate) fn step(&mut self, now_s: u64, cluster: &mut SimulatedCluster<'_>) {
        let now = MonoTime::from_millis(now_s * 1_000);
        while let Some(job) = self.jobs.get(self.next_arrival)
            && job.arrival_s <= now_s
        {
            self.placer.arrive(self.next_arrival, now);
            self.next_arrival += 1;
        }
        for event in cluster.take_events() {
            self.handle_event(event, now, cluster);
        }
        for report in cluster.take_reports(now_s) {
            self.handle_report(&report, now, cluster);
        }
        if now_s == cluster.schedule.cancel_s {
            self.cancel_jobs(cluster);
        }
        self.zone_drainer.step(now, &mut self.placer, cluster);
        self.refresh_candidates(now, cluster);
        self.placer
            .place_all(now, &self.interference_controller.slowdown_model, cluster);
    }

    fn handle_event(
        &mut self,
        event: TaskEvent,
        now: MonoTime,
        cluster: &mut SimulatedCluster<'_>,
    ) {
        match event {
            TaskEvent::Finished { task } => self.handle_finished(task, now, cluster),
            TaskEvent::Failed { task } => self.handle_failed(task, now, cluster),
            TaskEvent::OutOfMemory { task } => {
                let job = cluster.tasks[task].job;
                if let Some(assignment) = self.placer.release(job, task) {
                    let profile = &self.jobs[job];
                    let (name, customer) = (&profile.name, &profile.customer);
                    let sizes = &mut self.placer.sizes;
                    sizes.record_out_of_memory(
                        name,
                        customer,
                        &assignment.allocated,
                        &profile.declared,
                    );
                    self.placer.requeue(job, task, now);
                }
            }
            TaskEvent::CheckpointSent { task } => {
                if cluster.tasks[task].execution.is_some() {
                    cluster.stop(task, true);
                    cluster.evictions += 1;
                    self.release_and_requeue(cluster.tasks[task].job, task, now);
                }
            }
            TaskEvent::WorkerLost { task } => {
                self.release_and_requeue(cluster.tasks[task].job, task, now);
            }
        }
    }

    fn release_and_requeue(&mut self, job: usize, task: usize, now: MonoTime) {
        if self.placer.release(job, task).is_some() {
            self.placer.requeue(job, task, now);
        }
    }

    fn handle_finished(&mut self, task: usize, now: MonoTime, cluster: &SimulatedCluster<'_>) {
        let job = cluster.tasks[task].job;
        if let Some(assignment) = self.placer.release(job, task) {
            self.placer.runtimes[job].record(now.millis_since(assignment.started));
            if assignment.memory_mb > 0 {
                let profile = &self.jobs[job];
                let (name, customer) = (&profile.name, &profile.customer);
                let sizes = &mut self.placer.sizes;
                sizes.record_peak_memory(name, customer, assignment.memory_mb, &profile.declared);
            }
            self.failures
                .record_success(job, assignment.worker, self.jobs, &self.placer);
        }
    }

    fn handle_failed(&mut self, task: usize, now: MonoTime, cluster: &mut SimulatedCluster<'_>) {
        let job = cluster.tasks[task].job;
        let Some(assignment) = self.placer.release(job, task) else {
            return;
        };
        self.placer.requeue(job, task, now);
        let placer = &mut self.placer;
        if self
            .failures
            .record_failure(job, assignment.worker, self.jobs, placer, now)
        {
            self.end_job(job, cluster);
            self.placer.rejected_jobs += 1;
        }
    }

    /// Removes `job` from the queue and stops its tasks; their work still counts.
    fn end_job(&mut self, job: usize, cluster: &mut SimulatedCluster<'_>) {
        self.placer.queue.remove(&self.jobs[job].name);
        for task in 0..cluster.tasks.len() {
            if cluster.tasks[task].job == job && self.placer.release(job, task).is_some() {
                cluster.stop(task, true);
            }
        }
    }

    fn handle_report(
        &mut self,
        report: &WorkerReport,
        now: MonoTime,
        cluster: &mut SimulatedCluster<'_>,
    ) {
        for usage in &report.tasks {
            let job = &self.jobs[cluster.tasks[usage.task].job];
            let used = ResourceSize {
                cpu_milli: usage.cpu_milli,
                memory_mb: usage.memory_mb,
                accelerators: 0,
            };
            let sizes = &mut self.placer.sizes;
            sizes.record_usage(&job.name, &job.customer, &used, &job.declared);
            if let Some(assignment) = &mut self.placer.assignments[usage.task] {
                assignment.memory_mb = usage.memory_mb;
            }
        }
        self.placer.candidates[report.worker].measured = Some(UsageSample {
            usage: ResourceSize {
                cpu_milli: report.cpu_milli,
                ..ResourceSize::default()
            },
            age_ms: now.as_millis() - report.measured_s * 1_000,
        });
        let placer = &mut self.placer;
        self.interference_controller
            .handle_report(report, self.jobs, placer, cluster, now);
    }

    /// Cancels most of the submitted jobs of one customer at once.
    fn cancel_jobs(&mut self, cluster: &mut SimulatedCluster<'_>) {
        let cancelled = |(number, job): &(usize, &JobProfile)| {
            job.customer.as_str() == CANCELLED_CUSTOMER && number % 10 < CANCELLED_PER_TEN
        };
        let jobs = self.jobs.iter().enumerate().take(self.next_arrival);
        let jobs = jobs.filter(cancelled).collect::<Vec<_>>();
        let names = jobs.iter().map(|(_, job)| job.name.clone());
        self.placer.queue.cancel(&names.collect::<Vec<JobName>>());
        for (number, _) in jobs {
            self.end_job(number, cluster);
        }
    }

    /// Updates health and interference of each worker before placement.
    fn refresh_candidates(&mut self, now: MonoTime, cluster: &SimulatedCluster<'_>) {
        let colocated = self.policy.has(PolicyFeature::Colocation);
        for worker in 0..WORKER_COUNT {
            let tasks = &cluster.workers[worker].tasks;
            let healthy = self.failures.takes_work(worker, tasks.len(), now);
            let interference = tasks.iter().map(|task| {
                let job = &self.jobs[cluster.tasks[*task].job];
                self.interference_controller
                    .slowdown_model
                    .interference_of(&job.name)
            });
            let candidate = &mut self.placer.candidates[worker];
            candidate.interference_permille = interference.sum();
            candidate.blocked_by_health = !healthy || !(colocated || worker % 2 == 1);
        }
    }
}
