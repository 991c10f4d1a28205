//! All workers and tasks.

use crate::DeploymentPlan;
use crate::batch::FakeTask;
use crate::batch::FakeWorker;
use crate::batch::TaskEvent;
use crate::batch::TaskPlace;
use crate::batch::TaskUsage;
use crate::batch::WorkerReport;
use crate::batch::cpu_share::CpuShare;
use crate::plan::EventPlan;
use crate::plan::JobTruth;
use crate::plan::WORKER_COUNT;
use crate::plan::to_f64;
use crate::plan::to_u64;
use crate::service::LinkModel;
use sapphirestile_core::ResourceSize;

const REPORT_EVERY_S: u64 = 30;
const REPORT_LAG_S: u64 = 30;
const STEP_MS: f64 = 1_000.0;
const BROKEN_RUN_MS: f64 = 6_000.0;
const INPUT_BYTES: f64 = 500_000.0;
/// Processor use above this share slows all work on the machine.
const CROWDED_SHARE: f64 = 0.85;

/// The fakes that run tasks.
pub(crate) struct BatchWorld<'a> {
    pub(crate) plan: &'a DeploymentPlan,
    pub(crate) events: EventPlan,
    pub(crate) jobs: &'a [JobTruth],
    pub(crate) tasks: Vec<FakeTask>,
    pub(crate) workers: Vec<FakeWorker>,
    pub(crate) link: LinkModel,
    /// Work that stands, in core milliseconds.
    pub(crate) useful_work: f64,
    pub(crate) evictions: u64,
    pub(crate) finished: u64,
    happened: Vec<TaskEvent>,
    reports: Vec<WorkerReport>,
}

impl<'a> BatchWorld<'a> {
    /// Workers without tasks; the tasks of `jobs` have not begun.
    pub(crate) fn new(plan: &'a DeploymentPlan, events: EventPlan, jobs: &'a [JobTruth]) -> Self {
        let fresh = |job| {
            move |truth: &_| FakeTask {
                job,
                truth: *truth,
                progress_ms: 0.0,
                saved_ms: 0.0,
                place: None,
            }
        };
        let tasks = jobs
            .iter()
            .enumerate()
            .flat_map(|(number, job)| job.tasks.iter().map(fresh(number)));
        Self {
            plan,
            events,
            jobs,
            tasks: tasks.collect(),
            workers: vec![FakeWorker::default(); WORKER_COUNT],
            link: LinkModel::default(),
            useful_work: 0.0,
            evictions: 0,
            finished: 0,
            happened: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// Starts `task` on `worker` with the size `given`.
    pub(crate) fn start(&mut self, task: usize, worker: usize, given: ResourceSize) {
        let remote = DeploymentPlan::is_remote(DeploymentPlan::zone_of(worker));
        let row = &mut self.tasks[task];
        assert!(row.place.is_none(), "a task was started in two places");
        let saved = row.saved_ms > 0.0;
        row.place = Some(TaskPlace {
            worker,
            given,
            fetching: remote,
            sending: false,
            cap_milli: None,
            done_here_ms: 0.0,
        });
        if remote {
            let checkpoint = if saved {
                row.truth.checkpoint_bytes
            } else {
                0.0
            };
            self.link.add(task, INPUT_BYTES + checkpoint);
        }
        self.workers[worker].tasks.push(task);
    }

    /// Stops `task`; with a checkpoint its work stands.
    pub(crate) fn stop(&mut self, task: usize, checkpoint: bool) {
        if checkpoint {
            self.tasks[task].saved_ms = self.tasks[task].progress_ms;
        }
        self.take_off(task);
    }

    /// Sends a checkpoint of `task` out of its zone; it stops meanwhile.
    pub(crate) fn send_checkpoint(&mut self, task: usize) {
        let row = &mut self.tasks[task];
        let bytes = row.truth.checkpoint_bytes;
        let Some(place) = &mut row.place else {
            return;
        };
        let remote = DeploymentPlan::is_remote(DeploymentPlan::zone_of(place.worker));
        if place.fetching || !remote {
            self.happened.push(TaskEvent::Saved { task });
            return;
        }
        place.sending = true;
        self.link.add(task, bytes);
    }

    /// Limits the processor time of `task`, or lifts the limit.
    pub(crate) fn throttle(&mut self, task: usize, cap_milli: Option<f64>) {
        if let Some(place) = &mut self.tasks[task].place {
            place.cap_milli = cap_milli;
        }
    }

    /// Runs every task for a second; `load` is the service's, from 0 to 1.
    pub(crate) fn step(&mut self, now_s: u64, load: f64, request_bytes: f64) {
        for task in self.link.step(request_bytes) {
            self.transferred(task);
        }
        if now_s == self.events.zone_end_s() {
            self.end_zone();
        }
        for worker in 0..WORKER_COUNT {
            self.step_worker(worker, now_s, load);
            let turn = u64::try_from(worker).unwrap_or(0);
            if (now_s + turn).is_multiple_of(REPORT_EVERY_S) {
                self.report(worker, now_s);
            }
        }
    }

    /// What happened since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<TaskEvent> {
        std::mem::take(&mut self.happened)
    }

    /// The reports that have arrived by `now_s`.
    pub(crate) fn take_reports(&mut self, now_s: u64) -> Vec<WorkerReport> {
        let late = |report: &WorkerReport| report.arrives_s > now_s;
        let (waiting, arrived) = self.reports.drain(..).partition(late);
        self.reports = waiting;
        arrived
    }

    fn transferred(&mut self, task: usize) {
        let Some(place) = &mut self.tasks[task].place else {
            return;
        };
        if place.sending {
            self.happened.push(TaskEvent::Saved { task });
        }
        place.fetching = false;
    }

    fn end_zone(&mut self) {
        let lost = (0..self.tasks.len()).filter(|task| {
            let place = self.tasks[*task].place;
            place.is_some_and(|place| DeploymentPlan::zone_of(place.worker) == self.events.zone)
        });
        for task in lost.collect::<Vec<_>>() {
            self.evictions += 1;
            self.take_off(task);
            self.happened.push(TaskEvent::Lost { task });
        }
    }

    /// Takes `task` off its worker; work without a checkpoint is undone.
    fn take_off(&mut self, task: usize) {
        let row = &mut self.tasks[task];
        let Some(place) = row.place.take() else {
            return;
        };
        self.useful_work -= row.work(row.progress_ms - row.saved_ms);
        row.progress_ms = row.saved_ms;
        self.workers[place.worker]
            .tasks
            .retain(|known| *known != task);
        self.link.remove(task);
    }

    fn step_worker(&mut self, worker: usize, now_s: u64, load: f64) {
        let working = self.workers[worker].tasks.clone();
        let working = working
            .into_iter()
            .filter(|task| self.tasks[*task].is_working());
        let working = working.collect::<Vec<_>>();
        let room = to_f64(self.plan.batch_size().cpu_milli);
        let shares = working.iter().map(|task| self.share_of(*task));
        let used = CpuShare::share_out(&shares.collect::<Vec<_>>(), room);
        let noise = self.noise_of(&working, &used, now_s);
        let total = used.iter().sum::<f64>();
        let crowded = ((total / room - CROWDED_SHARE) / (1.0 - CROWDED_SHARE)).max(0.0) * 0.25;
        let row = &mut self.workers[worker];
        row.used_milli = total;
        row.slowdown = (noise + 0.5 * noise * noise) * (0.6 + 0.4 * load) + crowded;
        row.slowdown_sum += row.slowdown;
        for (task, used) in working.into_iter().zip(used) {
            self.step_task(task, used, 0.5 * noise + crowded, now_s);
        }
    }

    fn share_of(&self, task: usize) -> CpuShare {
        let row = &self.tasks[task];
        let given = row.place.map_or(0, |place| place.given.cpu_milli);
        CpuShare {
            wanted: row.wanted_milli(),
            given: to_f64(given),
        }
    }

    fn noise_of(&self, working: &[usize], used: &[f64], now_s: u64) -> f64 {
        let machine = to_f64(self.plan.worker_size.cpu_milli);
        let noise = |(task, used): (&usize, &f64)| {
            let job = &self.jobs[self.tasks[*task].job];
            job.noise * job.activity(to_f64(now_s)) * used / machine
        };
        working.iter().zip(used).map(noise).sum()
    }

    fn step_task(&mut self, task: usize, used: f64, slowdown: f64, now_s: u64) {
        let row = &mut self.tasks[task];
        let gained = STEP_MS * (used / row.truth.cpu_milli) / (1.0 + slowdown);
        let gained = gained.min(row.truth.run_ms - row.progress_ms);
        row.progress_ms += gained;
        self.useful_work += row.work(gained);
        let Some(place) = &mut row.place else {
            return;
        };
        place.done_here_ms += gained;
        let given_mb = to_f64(place.given.memory_mb);
        let broken =
            self.events.is_broken(place.worker, now_s) && place.done_here_ms > BROKEN_RUN_MS;
        let fails_after = self.jobs[row.job].fails_after_ms;
        let failed = broken || fails_after.is_some_and(|after| row.progress_ms >= after);
        let outgrown = row.memory_mb() > given_mb;
        if failed {
            self.take_off(task);
            self.happened.push(TaskEvent::Failed { task });
        } else if outgrown {
            self.evictions += 1;
            self.take_off(task);
            self.happened.push(TaskEvent::Outgrown { task });
        } else if row.progress_ms >= row.truth.run_ms {
            row.saved_ms = row.progress_ms;
            self.finished += 1;
            self.take_off(task);
            self.happened.push(TaskEvent::Finished { task });
        }
    }

    fn report(&mut self, worker: usize, now_s: u64) {
        let row = &mut self.workers[worker];
        let mean = row.slowdown_sum / to_f64(REPORT_EVERY_S);
        row.slowdown_sum = 0.0;
        let usage = |task: &usize| {
            let row = &self.tasks[*task];
            TaskUsage {
                task: *task,
                cpu_milli: to_u64(row.wanted_milli()),
                memory_mb: to_u64(row.memory_mb()),
            }
        };
        let working = |task: &&usize| self.tasks[**task].is_working();
        self.reports.push(WorkerReport {
            worker,
            measured_s: now_s,
            arrives_s: now_s + REPORT_LAG_S,
            cpu_milli: to_u64(self.workers[worker].used_milli),
            slowdown_permille: to_u64(mean * 1_000.0),
            tasks: self.workers[worker]
                .tasks
                .iter()
                .filter(working)
                .map(usage)
                .collect(),
        });
    }
}
