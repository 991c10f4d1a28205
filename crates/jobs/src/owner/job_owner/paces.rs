//! Keeps latencies low beside tasks that use leftover processor time.

use crate::order::TaskAddress;
use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::owner::PaceOrder;
use crate::pacing::PacePlan;
use crate::pacing::PaceStep;
use crate::worker::RunStanding;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// A new pace shows in the figures of a worker after this time, in milliseconds: the
/// figures cover half a second.
const EFFECT_MS: u64 = 650;

impl JobOwner {
    /// Learns from the figures of a worker and adapts the paces there.
    pub(super) fn adapt_paces(&mut self, name: &WorkerName, now: MonoTime) {
        let Some(view) = self.workers.get(name) else {
            return;
        };
        let serving = view.serving_runs();
        let filling = view.filling_runs(now);
        let has_effect =
            view.paced == MonoTime::default() || now.millis_since(view.paced) >= EFFECT_MS;
        if !has_effect {
            return;
        }
        for run in &serving {
            self.disturbance.observe(run, &filling);
        }
        let plan = PacePlan {
            book: &self.disturbance,
            serving: &serving,
            filling: &filling,
        };
        for step in plan.steps() {
            match step {
                PaceStep::Pace { task, percent } => self.set_pace(name, &task, percent, now),
                PaceStep::Move(task) => self.stop_run(name, &task, now),
            }
        }
    }

    fn set_pace(&mut self, name: &WorkerName, task: &TaskAddress, percent: u32, now: MonoTime) {
        let Some(view) = self.workers.get_mut(name) else {
            return;
        };
        let Some(address) = view.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        let Some(run) = view.runs.get_mut(task) else {
            return;
        };
        let is_running = matches!(run.standing, RunStanding::Running { .. });
        if !is_running || run.pace_percent == percent {
            return;
        }
        run.pace_percent = percent;
        run.paced = now;
        view.paced = now;
        self.effects.push(OwnerEffect::Pace(PaceOrder {
            worker: name.clone(),
            address,
            epoch: self.epoch,
            task: *task,
            run: run.run,
            percent,
        }));
    }
}
