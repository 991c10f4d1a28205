//! Requests to the advisor, which decides what workers may run a step.

use crate::advice::AdviceOutcome;
use crate::advice::AdviceRequest;
use crate::advice::AdvisorTiming;
use crate::advice::StepIdentity;
use crate::owner::DecisionEvent;
use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::planner::TaskDemand;
use crate::spec::TaskIdentity;
use crate::worker::WorkerIncarnation;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// Maximum number of workers in a request: each one delays the answer.
const WORKERS_PER_REQUEST_MAX: usize = 30;

impl JobOwner {
    /// Timing of the advisor of a queue, if it has one.
    pub(super) fn advisor_timing(&self, queue: &str) -> Option<AdvisorTiming> {
        self.config.queues.get(queue)?.advice
    }

    /// Asks about the best workers with free capacity, for a task without a usable ticket.
    /// While a request is pending none is sent; a later planning pass tries again, starting
    /// with the most urgent job.
    pub(super) fn request_advice(
        &mut self,
        demand: &TaskDemand<'_>,
        timing: Option<AdvisorTiming>,
        now: MonoTime,
    ) {
        let Some(timing) = timing.filter(|_| self.advice.can_send(now)) else {
            return;
        };
        let step = StepIdentity::from(demand.task);
        let (workers, incarnations) = self.advice_candidates(demand, now);
        if workers.is_empty() {
            return;
        }
        let count = u64::try_from(workers.len()).unwrap_or(u64::MAX);
        let request = AdviceRequest {
            step,
            workers,
            expected_ms: timing.answer_ms(count),
        };
        self.advice.record_request(&request, incarnations, now);
        self.effects.push(OwnerEffect::Advise(request));
    }

    /// The best workers with free capacity for which a request may yield a ticket, and their
    /// incarnations.
    fn advice_candidates(
        &self,
        demand: &TaskDemand<'_>,
        now: MonoTime,
    ) -> (Vec<WorkerName>, Vec<WorkerIncarnation>) {
        let scorer = self.worker_scorer(now);
        let step = StepIdentity::from(demand.task);
        let mut candidates: Vec<(i64, &WorkerName, WorkerIncarnation)> = self
            .workers
            .iter()
            .filter(|(name, tracked)| {
                self.advice
                    .may_gain_ticket(step, name, tracked.incarnation(), now)
            })
            .filter_map(|(name, tracked)| {
                let score = scorer.capacity_score(demand, tracked)?;
                Some((score, name, tracked.incarnation()))
            })
            .collect();
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        candidates.truncate(WORKERS_PER_REQUEST_MAX);
        candidates
            .into_iter()
            .map(|(_, name, incarnation)| (name.clone(), incarnation))
            .unzip()
    }

    /// Handles the outcome of the pending request to the advisor.
    pub fn handle_advice_outcome(
        &mut self,
        request: &AdviceRequest,
        outcome: &AdviceOutcome,
        now: MonoTime,
    ) {
        let good = match outcome {
            AdviceOutcome::Answered { allowed, .. } => Some(allowed.len()),
            AdviceOutcome::Busy | AdviceOutcome::Unknown => None,
        };
        self.decisions.push(DecisionEvent::Advised {
            step: request.step,
            asked: request.workers.len(),
            good,
        });
        self.advice.record_outcome(outcome, now);
    }

    /// Ticket for a start on a worker, empty if the queue has no advisor. `None` if the ticket
    /// has expired since the task was assigned.
    pub(super) fn ticket_for(
        &self,
        worker: &WorkerName,
        task: &TaskIdentity,
        now: MonoTime,
    ) -> Option<Box<str>> {
        let entry = self.jobs.get(&task.job)?;
        if self.advisor_timing(&entry.spec.queue).is_none() {
            return Some(Box::default());
        }
        let incarnation = self.workers.get(worker)?.incarnation();
        let ticket = self
            .advice
            .ticket((*task).into(), worker, incarnation, now)?;
        Some(ticket.text.clone())
    }
}
