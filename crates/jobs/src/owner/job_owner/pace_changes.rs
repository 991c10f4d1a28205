//! Changes of pace, which keep latencies low beside best-effort tasks.

use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::owner::PaceRequest;
use crate::owner::StopCause;
use crate::pacing::PaceAction;
use crate::pacing::PacePlan;
use crate::spec::TaskIdentity;
use crate::worker::RunState;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// Time until measurements of a worker reflect a new pace, in milliseconds: they cover half
/// a second.
const SETTLE_MS: u64 = 650;

impl JobOwner {
    /// Learns from the measurements of a worker and adapts the paces of its runs.
    pub(super) fn adapt_paces(&mut self, name: &WorkerName, now: MonoTime) {
        let Some(tracked) = self.workers.get(name) else {
            return;
        };
        let serving = tracked.serving_runs();
        let best_effort = tracked.best_effort_runs(now);
        let has_effect = tracked.pace_changed == MonoTime::default()
            || now.millis_since(tracked.pace_changed) >= SETTLE_MS;
        if !has_effect {
            return;
        }
        for run in &serving {
            self.interference.observe(run, &best_effort);
        }
        let plan = PacePlan {
            model: &self.interference,
            serving: &serving,
            best_effort: &best_effort,
        };
        for action in plan.actions() {
            match action {
                PaceAction::Pace { task, percent } => self.set_pace(name, &task, percent, now),
                PaceAction::Move(task) => self.move_run(name, &task, now),
            }
        }
    }

    /// Stops a run so that it goes on at another worker. Until the measurements reflect that,
    /// no other run is stopped for them.
    fn move_run(&mut self, name: &WorkerName, task: &TaskIdentity, now: MonoTime) {
        self.stop_run(name, task, StopCause::Interference, now);
        if let Some(tracked) = self.workers.get_mut(name) {
            tracked.pace_changed = now;
        }
        if let Some(entry) = self.jobs.get_mut(&task.job) {
            entry.moves = entry.moves.saturating_add(1);
        }
    }

    /// Slows down a run that has just begun, if it has to start at a low pace.
    pub(super) fn set_start_pace(&mut self, name: &WorkerName, task: &TaskIdentity, now: MonoTime) {
        let tracked = self.workers.get(name);
        let run = tracked.and_then(|tracked| tracked.runs.get(task));
        let limit = run.filter(|run| run.start_percent < run.pace_percent);
        if let Some(percent) = limit.map(|run| run.start_percent) {
            self.set_pace(name, task, percent, now);
        }
    }

    /// Handles that an order to change the pace of a run was not accepted, as far as is known.
    /// Unless the pace has changed since, it is ordered again once the worker responds.
    pub fn handle_pace_failure(&mut self, request: &PaceRequest) {
        let tracked = self.workers.get_mut(&request.worker);
        let run = tracked.and_then(|tracked| tracked.runs.get_mut(&request.task));
        if let Some(run) =
            run.filter(|run| run.run == request.run && run.pace_percent == request.percent)
        {
            run.is_pace_lost = true;
        }
    }

    /// Orders the paces again that are not known to have been accepted by a worker, which
    /// responds now.
    pub(super) fn repeat_paces(&mut self, name: &WorkerName, now: MonoTime) {
        let Some(tracked) = self.workers.get(name) else {
            return;
        };
        let lost: Vec<(TaskIdentity, u32)> = tracked
            .runs
            .iter()
            .filter(|(_, run)| run.is_pace_lost)
            .map(|(task, run)| (*task, run.pace_percent))
            .collect();
        for (task, percent) in lost {
            self.order_pace(name, &task, percent, now);
        }
    }

    /// Orders another pace of a run, unless it has that pace.
    fn set_pace(&mut self, name: &WorkerName, task: &TaskIdentity, percent: u32, now: MonoTime) {
        let tracked = self.workers.get(name);
        let run = tracked.and_then(|tracked| tracked.runs.get(task));
        if run.is_some_and(|run| run.pace_percent != percent) {
            self.order_pace(name, task, percent, now);
        }
    }

    fn order_pace(&mut self, name: &WorkerName, task: &TaskIdentity, percent: u32, now: MonoTime) {
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        let Some(address) = tracked.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        let Some(run) = tracked.runs.get_mut(task) else {
            return;
        };
        if !matches!(run.state, RunState::Running { .. }) {
            return;
        }
        run.pace_percent = percent;
        run.is_pace_lost = false;
        run.pace_changed = now;
        tracked.pace_changed = now;
        self.effects.push(OwnerEffect::Pace(PaceRequest {
            worker: name.clone(),
            address,
            epoch: self.epoch,
            task: *task,
            run: run.run,
            percent,
        }));
    }
}
