//! Takes events in.

use std::time::Duration;

use sapphirestile_jobs::WorkerEvent;
use sapphirestile_serving::MonoClock;

use crate::following::FollowedEvent;
use crate::owner::OwnerEvent;
use crate::owner::OwnerRun;
use crate::owner::WriteOutcome;
use crate::store::IntakeEvent;

impl OwnerRun {
    pub(super) fn take_event(&mut self, event: OwnerEvent) {
        let now = self.context.clock.now();
        let unix_ms = MonoClock::unix_millis();
        match event {
            OwnerEvent::Intake(FollowedEvent::Whole(events) | FollowedEvent::Changed(events)) => {
                for event in events {
                    self.take_intake(event);
                }
            }
            OwnerEvent::Workers(FollowedEvent::Whole(events)) => {
                let present = events.into_iter().filter_map(|event| match event {
                    WorkerEvent::Present(entry) => Some(entry),
                    WorkerEvent::Gone(_) => None,
                });
                self.owner.replace_workers(present.collect(), now);
            }
            OwnerEvent::Workers(FollowedEvent::Changed(events)) => {
                for event in events {
                    self.owner.apply_worker_event(event, now);
                }
            }
            OwnerEvent::Stored(WriteOutcome::Stored) => {
                let took_ms = self.pace.since_batch_ms(now);
                let took = Duration::from_millis(took_ms);
                self.context.metrics.observe_batch(took);
                self.owner.confirm_batch(now, unix_ms);
            }
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
            OwnerEvent::Advised { order, outcome } => {
                self.owner.handle_advice_outcome(&order, &outcome, now);
            }
            OwnerEvent::Looked {
                worker,
                number,
                outcome,
            } => {
                self.owner
                    .handle_poll_outcome(&worker, number, outcome, now, unix_ms);
            }
        }
    }

    fn take_intake(&mut self, event: IntakeEvent) {
        let now = self.context.clock.now();
        let unix_ms = MonoClock::unix_millis();
        match event {
            IntakeEvent::Ordered { identity, order } => {
                self.owner.accept_job(identity, order, now, unix_ms);
            }
            IntakeEvent::Cancelled(identity) => self.owner.cancel_job(identity, now),
        }
    }
}
