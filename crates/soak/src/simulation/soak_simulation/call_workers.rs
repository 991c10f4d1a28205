//! Delivery of calls to workers and of their outcomes, with losses and delays.

use rand::Rng;

use crate::CallOutcome;
use crate::DaemonInstance;
use crate::FaultKind;
use crate::SoakEvent;
use crate::SoakSimulation;
use crate::SoakWorker;
use crate::WorkerCall;
use crate::simulation::soak_simulation::check_reports::check_merged_report;
use sapphirestile_cells::AnswerView;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;

const CALL_TIMEOUT_MS: u64 = 1_500;

impl SoakSimulation {
    /// Schedules a call after a short delay, which stands for the wait for a thread of the
    /// daemon's pool.
    pub(super) fn schedule_call(
        &mut self,
        from: DaemonInstance,
        cell: CellNumber,
        effect: CellEffect,
    ) {
        let leaves_ms = self.now_ms + self.rng.random_range(0..40);
        let event = SoakEvent::SendCall { from, cell, effect };
        self.queue.push(leaves_ms, event);
    }

    /// Sends a call to its worker, unless it is partitioned or a fault is drawn for it.
    pub(super) fn send_call(&mut self, call: WorkerCall) {
        let key = (call.from.index, call.worker().clone());
        let partitioned = self.partitions.get(&key);
        let partitioned = partitioned.is_some_and(|until_ms| *until_ms > self.now_ms);
        let arrives_ms = self.now_ms + self.rng.random_range(1..60);
        let answer_ms = self.rng.random_range(1..60);
        if partitioned || self.draw_fault(FaultKind::CallLost, 0.08) {
            self.time_out_call(&call);
        } else if self.draw_fault(FaultKind::CallLate, 0.08) {
            let late_ms = self.now_ms + self.rng.random_range(1_000..10_000);
            self.schedule_delivery(late_ms, call.clone(), None);
            self.time_out_call(&call);
        } else if self.draw_fault(FaultKind::CallAnswerLost, 0.08) {
            self.schedule_delivery(arrives_ms, call.clone(), None);
            self.time_out_call(&call);
        } else if self.draw_fault(FaultKind::CallAnswerLate, 0.08) {
            let late_ms = self.rng.random_range(CALL_TIMEOUT_MS..10_000);
            self.schedule_delivery(arrives_ms, call.clone(), Some(late_ms));
            self.time_out_call(&call);
        } else {
            if self.draw_fault(FaultKind::CallTwice, 0.08) {
                let repeated_ms = self.now_ms + self.rng.random_range(1..6_000);
                self.schedule_delivery(repeated_ms, call.clone(), None);
            }
            self.schedule_delivery(arrives_ms, call, Some(answer_ms));
        }
    }

    /// Handles a call at its worker and sends the answer, unless `answer_ms` is `None`.
    pub(super) fn deliver_call(&mut self, call: &WorkerCall, answer_ms: Option<u64>) {
        let now_ms = self.now_ms;
        let fails = self.draw_fault(FaultKind::TaskFails, 0.1);
        let Some(worker) = self.workers.get_mut(call.worker()) else {
            return;
        };
        if !worker.exists_at(now_ms) {
            if answer_ms.is_some() {
                self.time_out_call(call);
            }
            return;
        }
        let outcome = match &call.effect {
            CellEffect::Session(request) => Some(renew(worker, now_ms, call, request)),
            CellEffect::Start(request) => {
                if worker.start(now_ms, call.cell, request, fails) {
                    self.check_start(call.cell, request);
                }
                Some(CallOutcome::StartEnded(request.worker.clone()))
            }
            CellEffect::Stop(request) => {
                worker.stop(now_ms, call.cell, request);
                None
            }
            CellEffect::Throttle(request) => {
                worker.throttle(now_ms, call.cell, request);
                None
            }
        };
        // Checked when the worker answers, since a paused daemon may receive the answer much
        // later.
        if let Some(CallOutcome::SessionAnswered { attempts, .. }) = &outcome {
            self.check_throttles(attempts);
        }
        if let (Some(answer_ms), Some(outcome)) = (answer_ms, outcome) {
            self.finish_call(self.now_ms + answer_ms, call, outcome);
        }
    }

    /// Passes the outcome of a call to the owner that made it, unless its daemon no longer owns the
    /// cell under that epoch.
    pub(super) fn apply_call_outcome(
        &mut self,
        to: DaemonInstance,
        cell: CellNumber,
        epoch: CellEpoch,
        outcome: CallOutcome,
    ) {
        let Some(owned) = self.daemons[to.index].owned_cell(cell, epoch) else {
            return;
        };
        match outcome {
            CallOutcome::SessionAnswered {
                worker,
                ordinal,
                sent_at,
                changes,
                attempts,
            } => {
                let merged = owned.owner.observe_answer(&AnswerView {
                    worker: worker.as_str(),
                    ordinal,
                    asked: sent_at,
                    changes: &changes,
                });
                let report = owned.owner.full_report(worker.as_str());
                let result = check_merged_report(merged, report, &changes, &attempts);
                self.check_result(result);
            }
            CallOutcome::SessionLost { worker, ordinal } => {
                owned.owner.session_lost(worker.as_str(), ordinal);
            }
            CallOutcome::StartEnded(worker) => owned.owner.start_answered(worker.as_str()),
        }
    }

    fn schedule_delivery(&mut self, at_ms: u64, call: WorkerCall, answer_ms: Option<u64>) {
        self.queue
            .push(at_ms, SoakEvent::DeliverCall { call, answer_ms });
    }

    /// Schedules the time-out of a call; stops and throttles have none.
    fn time_out_call(&mut self, call: &WorkerCall) {
        let outcome = match &call.effect {
            CellEffect::Session(request) => CallOutcome::SessionLost {
                worker: request.worker.clone(),
                ordinal: request.ordinal,
            },
            CellEffect::Start(request) => CallOutcome::StartEnded(request.worker.clone()),
            CellEffect::Stop(_) | CellEffect::Throttle(_) => return,
        };
        self.finish_call(self.now_ms + CALL_TIMEOUT_MS, call, outcome);
    }

    fn finish_call(&mut self, at_ms: u64, call: &WorkerCall, outcome: CallOutcome) {
        let event = SoakEvent::CallEnded {
            to: call.from,
            cell: call.cell,
            epoch: call.epoch(),
            outcome,
        };
        self.queue.push(at_ms, event);
    }
}

/// Renews a session; a refusal counts as a lost session.
fn renew(
    worker: &mut SoakWorker,
    now_ms: u64,
    call: &WorkerCall,
    request: &SessionRenewal,
) -> CallOutcome {
    let Some(changes) = worker.renew(now_ms, call, request) else {
        return CallOutcome::SessionLost {
            worker: request.worker.clone(),
            ordinal: request.ordinal,
        };
    };
    CallOutcome::SessionAnswered {
        worker: request.worker.clone(),
        ordinal: request.ordinal,
        sent_at: call.sent_at,
        changes,
        attempts: worker.attempts(now_ms),
    }
}
