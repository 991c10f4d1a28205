//! Runs that a worker has although it should not, and runs that its next incarnation must not
//! begin.

use crate::owner::DecisionEvent;
use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::owner::StopCause;
use crate::owner::StopRequest;
use crate::planner::RunHistory;
use crate::planner::TaskDemand;
use crate::spec::TaskIdentity;
use crate::worker::RunEntry;
use crate::worker::RunState;
use crate::worker::RunningRun;
use crate::worker::WorkerIncarnation;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

impl JobOwner {
    /// Stops a run that a worker shows and should not have: one that was given up, or that an
    /// earlier owner started beside the latest run of its task. It takes room until it has
    /// ended.
    pub(super) fn stop_unexpected(
        &mut self,
        name: &WorkerName,
        running: &RunningRun,
        now: MonoTime,
    ) {
        let entry = self.unexpected_entry(name, running, now);
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        let task = running.task;
        if let Some(entry) = entry
            && !tracked.runs.contains(&task)
        {
            self.decisions.push(DecisionEvent::StopRequested {
                task,
                run: running.run,
                worker: name.clone(),
                cause: StopCause::Unexpected,
                age_ms: 0,
            });
            tracked.add_run(task, entry);
            return;
        }
        let Some(address) = tracked.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        self.effects.push(OwnerEffect::Stop(StopRequest {
            worker: name.clone(),
            address,
            epoch: self.epoch,
            task,
            run: running.run,
        }));
    }

    /// The view of a run that is to be stopped; `None` if its job is not known here, so that
    /// nothing says what it takes.
    fn unexpected_entry(
        &mut self,
        name: &WorkerName,
        running: &RunningRun,
        now: MonoTime,
    ) -> Option<RunEntry> {
        let incarnation = self.workers.get(name)?.incarnation();
        let spec = self.jobs.get(&running.task.job)?.spec.clone();
        let TaskIdentity { step, .. } = running.task;
        let step = spec.steps.get(step as usize)?;
        let demand = TaskDemand {
            task: running.task,
            service: "",
            step,
            image: self.image_of(step),
            needs_ticket: false,
            history: RunHistory::Started,
            is_overdue: false,
        };
        let state = RunState::StopPending;
        Some(Self::run_entry(
            running.run,
            incarnation,
            &demand,
            state,
            now,
        ))
    }

    /// Has runs stopped again that only an earlier incarnation was told to stop: a start that
    /// was sent before may still reach this one, which would accept it.
    pub(super) fn stop_again_after_restart(
        &mut self,
        name: &WorkerName,
        current: WorkerIncarnation,
        now: MonoTime,
    ) {
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        for (_, run) in tracked.runs.iter_mut() {
            if let RunState::Stopping { incarnation, .. } = run.state
                && incarnation != current
            {
                run.state = RunState::StopPending;
                run.stop_retry_at = now;
            }
        }
    }
}
