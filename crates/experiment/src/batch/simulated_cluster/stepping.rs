//! One step of the tasks on a worker.

use crate::batch::SimulatedCluster;
use crate::batch::TaskEvent;
use crate::batch::cpu_demand::CpuDemand;
use crate::plan::to_f64;

const STEP_MS: f64 = 1_000.0;

/// Progress on a broken worker after which a task fails.
const BROKEN_FAILS_AFTER_MS: f64 = 6_000.0;

/// CPU usage above this share of the capacity slows down all work on the machine.
const CONTENTION_THRESHOLD: f64 = 0.85;

impl SimulatedCluster<'_> {
    pub(super) fn step_worker(&mut self, worker: usize, now_s: u64, load: f64) {
        let running = self.workers[worker].tasks.clone();
        let running = running
            .into_iter()
            .filter(|task| self.tasks[*task].is_running());
        let running = running.collect::<Vec<_>>();
        let capacity_milli = to_f64(self.plan.batch_capacity().cpu_milli);
        let demands = running.iter().map(|task| self.demand_of(*task));
        let used_milli = CpuDemand::distribute(&demands.collect::<Vec<_>>(), capacity_milli);
        let interference = self.interference_of(&running, &used_milli, now_s);
        let total_milli = used_milli.iter().sum::<f64>();
        // CPU usage above the threshold adds a slowdown of up to 0.25 at full usage.
        let contention = ((total_milli / capacity_milli - CONTENTION_THRESHOLD)
            / (1.0 - CONTENTION_THRESHOLD))
            .max(0.0)
            * 0.25;
        // Runners slow down more than linearly with interference, and more under load;
        // the tasks themselves slow down by half of the interference.
        let state = &mut self.workers[worker];
        state.used_milli = total_milli;
        state.slowdown =
            (interference + 0.5 * interference * interference) * (0.6 + 0.4 * load) + contention;
        state.slowdown_sum += state.slowdown;
        for (task, used_milli) in running.into_iter().zip(used_milli) {
            self.step_task(task, used_milli, 0.5 * interference + contention, now_s);
        }
    }

    pub(super) fn demand_of(&self, task: usize) -> CpuDemand {
        let state = &self.tasks[task];
        let allocated = state
            .execution
            .map_or(0, |execution| execution.allocated.cpu_milli);
        CpuDemand {
            wanted_milli: state.wanted_milli(),
            allocated_milli: to_f64(allocated),
        }
    }

    pub(super) fn interference_of(&self, running: &[usize], used_milli: &[f64], now_s: u64) -> f64 {
        let machine_milli = to_f64(self.plan.worker_size.cpu_milli);
        let interference = |(task, used_milli): (&usize, &f64)| {
            let job = &self.jobs[self.tasks[*task].job];
            job.interference * job.activity(to_f64(now_s)) * used_milli / machine_milli
        };
        running.iter().zip(used_milli).map(interference).sum()
    }

    pub(super) fn step_task(&mut self, task: usize, used_milli: f64, slowdown: f64, now_s: u64) {
        let state = &mut self.tasks[task];
        let gained_ms = STEP_MS * (used_milli / state.profile.cpu_milli) / (1.0 + slowdown);
        let gained_ms = gained_ms.min(state.profile.run_ms - state.progress_ms);
        state.progress_ms += gained_ms;
        self.useful_core_ms += state.core_ms(gained_ms);
        let Some(execution) = &mut state.execution else {
            return;
        };
        execution.done_on_worker_ms += gained_ms;
        let allocated_mb = to_f64(execution.allocated.memory_mb);
        let fails_on_worker = self.schedule.is_broken(execution.worker, now_s)
            && execution.done_on_worker_ms > BROKEN_FAILS_AFTER_MS;
        let fails_after = self.jobs[state.job].fails_after_ms;
        let failed = fails_on_worker || fails_after.is_some_and(|after| state.progress_ms >= after);
        let out_of_memory = state.memory_mb() > allocated_mb;
        if failed {
            self.remove_from_worker(task);
            self.task_events.push(TaskEvent::Failed { task });
        } else if out_of_memory {
            self.evictions += 1;
            self.remove_from_worker(task);
            self.task_events.push(TaskEvent::OutOfMemory { task });
        } else if state.progress_ms >= state.profile.run_ms {
            state.checkpointed_ms = state.progress_ms;
            self.finished += 1;
            self.remove_from_worker(task);
            self.task_events.push(TaskEvent::Finished { task });
        }
    }
}
