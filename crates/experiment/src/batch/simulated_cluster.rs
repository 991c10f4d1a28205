//! Simulates all workers and their tasks.

mod stepping;

use crate::DeploymentPlan;
use crate::batch::SimulatedTask;
use crate::batch::SimulatedWorker;
use crate::batch::TaskEvent;
use crate::batch::TaskExecution;
use crate::batch::TaskUsage;
use crate::batch::WorkerReport;
use crate::plan::EventSchedule;
use crate::plan::JobProfile;
use crate::plan::WORKER_COUNT;
use crate::plan::to_f64;
use crate::plan::to_u64;
use crate::service::LinkModel;
use sapphirestile_core::ResourceSize;

const REPORT_INTERVAL_S: u64 = 30;
/// Time until a report reaches the scheduler.
const REPORT_LAG_S: u64 = 30;
/// Input data of a task, sent over the link when it runs in the other region.
const INPUT_BYTES: f64 = 500_000.0;

/// The workers, tasks and the link of a run.
pub(crate) struct SimulatedCluster<'a> {
    pub(crate) plan: &'a DeploymentPlan,
    pub(crate) schedule: EventSchedule,
    pub(crate) jobs: &'a [JobProfile],
    pub(crate) tasks: Vec<SimulatedTask>,
    pub(crate) workers: Vec<SimulatedWorker>,
    pub(crate) link: LinkModel,
    /// Work that was done and not lost, in core milliseconds.
    pub(crate) useful_core_ms: f64,
    /// How often a task was stopped before its end; failures and cancellations are
    /// not counted.
    pub(crate) evictions: u64,
    /// The number of tasks that finished.
    pub(crate) finished: u64,
    task_events: Vec<TaskEvent>,
    reports: Vec<WorkerReport>,
}

impl<'a> SimulatedCluster<'a> {
    /// Creates idle workers and the tasks of `jobs`, none of which has started.
    pub(crate) fn new(
        plan: &'a DeploymentPlan,
        schedule: EventSchedule,
        jobs: &'a [JobProfile],
    ) -> Self {
        let new_task = |job| {
            move |profile: &_| SimulatedTask {
                job,
                profile: *profile,
                progress_ms: 0.0,
                checkpointed_ms: 0.0,
                execution: None,
            }
        };
        let tasks = jobs
            .iter()
            .enumerate()
            .flat_map(|(number, job)| job.tasks.iter().map(new_task(number)));
        Self {
            plan,
            schedule,
            jobs,
            tasks: tasks.collect(),
            workers: vec![SimulatedWorker::default(); WORKER_COUNT],
            link: LinkModel::default(),
            useful_core_ms: 0.0,
            evictions: 0,
            finished: 0,
            task_events: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// Starts `task` on `worker` with the resources `allocated`. In the other region it
    /// runs only after its inputs and checkpoint have been transferred.
    pub(crate) fn start(&mut self, task: usize, worker: usize, allocated: ResourceSize) {
        let is_remote = DeploymentPlan::is_remote(DeploymentPlan::zone_of(worker));
        let state = &mut self.tasks[task];
        assert!(
            state.execution.is_none(),
            "task {task} was started on worker {worker} while it is running on another"
        );
        let has_checkpoint = state.checkpointed_ms > 0.0;
        state.execution = Some(TaskExecution {
            worker,
            allocated,
            fetching_inputs: is_remote,
            sending_checkpoint: false,
            cpu_cap_milli: None,
            done_on_worker_ms: 0.0,
        });
        if is_remote {
            let checkpoint = if has_checkpoint {
                state.profile.checkpoint_bytes
            } else {
                0.0
            };
            self.link.start_transfer(task, INPUT_BYTES + checkpoint);
        }
        self.workers[worker].tasks.push(task);
    }

    /// Stops `task`; its work since the last checkpoint is lost unless `checkpoint`.
    pub(crate) fn stop(&mut self, task: usize, checkpoint: bool) {
        if checkpoint {
            self.tasks[task].checkpointed_ms = self.tasks[task].progress_ms;
        }
        self.remove_from_worker(task);
    }

    /// Sends a checkpoint of `task` out of its zone and pauses the task meanwhile.
    ///
    /// [`TaskEvent::CheckpointSent`] follows: at once within the callers' region, or
    /// if the task has not received its inputs yet.
    pub(crate) fn send_checkpoint(&mut self, task: usize) {
        let state = &mut self.tasks[task];
        let bytes = state.profile.checkpoint_bytes;
        let Some(execution) = &mut state.execution else {
            return;
        };
        let is_remote = DeploymentPlan::is_remote(DeploymentPlan::zone_of(execution.worker));
        if execution.fetching_inputs || !is_remote {
            self.task_events.push(TaskEvent::CheckpointSent { task });
            return;
        }
        execution.sending_checkpoint = true;
        self.link.start_transfer(task, bytes);
    }

    /// Limits the CPU usage of `task`, in thousandths of a core; `None` lifts the limit.
    pub(crate) fn throttle(&mut self, task: usize, cpu_cap_milli: Option<f64>) {
        if let Some(execution) = &mut self.tasks[task].execution {
            execution.cpu_cap_milli = cpu_cap_milli;
        }
    }

    /// Simulates one second of transfers, zone shutdown, tasks and reports.
    ///
    /// `load` is the share of the service's slots in use, from 0 to 1;
    /// `request_bytes` is what requests sent over the link.
    pub(crate) fn step(&mut self, now_s: u64, load: f64, request_bytes: f64) {
        for task in self.link.step(request_bytes) {
            self.transfer_completed(task);
        }
        if now_s == self.schedule.zone_shutdown_s() {
            self.shut_down_zone();
        }
        for worker in 0..WORKER_COUNT {
            self.step_worker(worker, now_s, load);
            let offset = u64::try_from(worker).unwrap_or(0);
            if (now_s + offset).is_multiple_of(REPORT_INTERVAL_S) {
                self.report(worker, now_s);
            }
        }
    }

    /// Returns the events since the last call, in the order in which they occurred.
    pub(crate) fn take_events(&mut self) -> Vec<TaskEvent> {
        std::mem::take(&mut self.task_events)
    }

    /// Returns the reports that arrived by `now_s` and were not returned before.
    pub(crate) fn take_reports(&mut self, now_s: u64) -> Vec<WorkerReport> {
        let is_pending = |report: &WorkerReport| report.arrives_s > now_s;
        let (pending, arrived) = self.reports.drain(..).partition(is_pending);
        self.reports = pending;
        arrived
    }

    fn transfer_completed(&mut self, task: usize) {
        let Some(execution) = &mut self.tasks[task].execution else {
            return;
        };
        if execution.sending_checkpoint {
            self.task_events.push(TaskEvent::CheckpointSent { task });
        }
        execution.fetching_inputs = false;
    }

    fn shut_down_zone(&mut self) {
        let lost_tasks = (0..self.tasks.len()).filter(|task| {
            let execution = self.tasks[*task].execution;
            execution.is_some_and(|execution| {
                DeploymentPlan::zone_of(execution.worker) == self.schedule.drained_zone
            })
        });
        for task in lost_tasks.collect::<Vec<_>>() {
            self.evictions += 1;
            self.remove_from_worker(task);
            self.task_events.push(TaskEvent::WorkerLost { task });
        }
    }

    /// Removes `task` from its worker; work since the last checkpoint is lost.
    fn remove_from_worker(&mut self, task: usize) {
        let state = &mut self.tasks[task];
        let Some(execution) = state.execution.take() else {
            return;
        };
        self.useful_core_ms -= state.core_ms(state.progress_ms - state.checkpointed_ms);
        state.progress_ms = state.checkpointed_ms;
        self.workers[execution.worker]
            .tasks
            .retain(|other| *other != task);
        self.link.cancel_transfer(task);
    }

    fn report(&mut self, worker: usize, now_s: u64) {
        let state = &mut self.workers[worker];
        let mean = state.slowdown_sum / to_f64(REPORT_INTERVAL_S);
        state.slowdown_sum = 0.0;
        let usage = |task: &usize| {
            let state = &self.tasks[*task];
            TaskUsage {
                task: *task,
                cpu_milli: to_u64(state.wanted_milli()),
                memory_mb: to_u64(state.memory_mb()),
            }
        };
        let running = |task: &&usize| self.tasks[**task].is_running();
        self.reports.push(WorkerReport {
            worker,
            measured_s: now_s,
            arrives_s: now_s + REPORT_LAG_S,
            cpu_milli: to_u64(self.workers[worker].used_milli),
            slowdown_permille: to_u64(mean * 1_000.0),
            tasks: self.workers[worker]
                .tasks
                .iter()
                .filter(running)
                .map(usage)
                .collect(),
        });
    }
}
