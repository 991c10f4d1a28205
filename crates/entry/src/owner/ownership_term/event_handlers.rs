//! Event handlers of the owner.

use std::time::Duration;

use sapphirestile_jobs::WorkerEvent;
use sapphirestile_serving::MonoClock;

use crate::owner::OwnerEvent;
use crate::owner::OwnershipTerm;
use crate::owner::WriteOutcome;
use crate::store::IntakeEvent;
use crate::watching::WatchUpdate;

impl OwnershipTerm {
    /// Applies an event to the owner. Effects that follow from it are dispatched at the
    /// end of the step.
    pub(super) fn handle_event(&mut self, event: OwnerEvent) {
        let now = self.context.clock.now();
        let unix_ms = MonoClock::unix_millis();
        match event {
            OwnerEvent::Intake(WatchUpdate::Snapshot(events) | WatchUpdate::Changes(events)) => {
                let (ended, begun): (Vec<IntakeEvent>, Vec<IntakeEvent>) =
                    events.into_iter().partition(IntakeEvent::is_cancellation);
                for event in begun.into_iter().chain(ended) {
                    self.handle_intake(event);
                }
            }
            OwnerEvent::Workers(WatchUpdate::Snapshot(events)) => {
                let present = events.into_iter().filter_map(|event| match event {
                    WorkerEvent::Present(entry) => Some(entry),
                    WorkerEvent::Gone(_) => None,
                });
                let own = self.division.replace(present.collect(), now);
                self.owner.replace_workers(own, now);
            }
            OwnerEvent::Workers(WatchUpdate::Changes(events)) => {
                for event in events {
                    if let Some(event) = self.division.apply(event, now) {
                        self.owner.apply_worker_event(event, now);
                    }
                }
            }
            OwnerEvent::Stored(WriteOutcome::Stored { removed, refused }) => {
                let took_ms = self.schedule.since_batch_ms(now);
                let took = Duration::from_millis(took_ms);
                self.context.metrics.observe_batch(took);
                self.owner.confirm_batch(now, unix_ms);
                self.owner.finish_moves(&refused, unix_ms);
                self.owner.finish_transfers(&refused, now, unix_ms);
                for event in self.intake.finish_departures(&removed) {
                    self.handle_intake(event);
                }
            }
            OwnerEvent::Learnt(others) => self.owner.merge_learnt(&others),
            OwnerEvent::Stored(WriteOutcome::Deposed) => self.is_deposed = true,
            OwnerEvent::Started {
                worker,
                task,
                run,
                outcome,
            } => {
                self.owner
                    .handle_start_outcome(&worker, &task, run, outcome, now, unix_ms);
            }
            OwnerEvent::Stopped {
                worker,
                task,
                run,
                outcome,
            } => self
                .owner
                .handle_stop_outcome(&worker, &task, run, outcome, now),
            OwnerEvent::PaceFailed(request) => self.owner.handle_pace_failure(&request),
            OwnerEvent::Advised { request, outcome } => {
                self.owner.handle_advice_outcome(&request, &outcome, now);
            }
            OwnerEvent::Polled {
                worker,
                number,
                outcome,
            } => {
                self.owner
                    .handle_poll_outcome(&worker, number, outcome, now, unix_ms);
            }
        }
    }

    fn handle_intake(&mut self, event: IntakeEvent) {
        // The intake admits nothing of a job that was left out.
        if let IntakeEvent::Cancelled(job) = &event {
            self.owner.cancel_left_out(job);
        }
        let is_departing = self.owner.is_departing(&event.job());
        let Some(event) = self.intake.admit(event, is_departing) else {
            return;
        };
        let now = self.context.clock.now();
        let unix_ms = MonoClock::unix_millis();
        match event {
            IntakeEvent::Submitted { identity, spec, .. } => {
                self.owner.accept_job(identity, spec, now, unix_ms);
            }
            IntakeEvent::Cancelled(identity) => self.owner.cancel_job(identity, now),
            IntakeEvent::CancelledEarly { identity, .. } => {
                self.owner.retain_cancellation(identity, now);
            }
            IntakeEvent::Delegated(task) => self.owner.receive_task(*task, now, unix_ms),
            IntakeEvent::Returned(task) => self.owner.take_back_task(task, now, unix_ms),
            // Its row stays for a daemon that can read it.
            IntakeEvent::Unreadable(_) => {}
        }
    }
}
