//! Asks the advisor which workers may run a step.

use crate::advice::AdviceOrder;
use crate::advice::AdviceOutcome;
use crate::advice::AdviceTerms;
use crate::advice::StepAddress;
use crate::order::TaskAddress;
use crate::owner::DecisionNote;
use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::planner::TaskDemand;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// The most workers that one question names: each makes the answer later.
const WORKERS_MAX: usize = 30;

impl JobOwner {
    /// What operators say of the advisor of a queue, if it has one.
    pub(super) fn advice_terms(&self, queue: &str) -> Option<AdviceTerms> {
        self.config.queues.get(queue)?.advice
    }

    /// Asks about the best workers with room, for a task that found none with a
    /// ticket. While a question is under way the next waits for a later plan, which
    /// takes the most urgent job first again.
    pub(super) fn seek_advice(
        &mut self,
        demand: &TaskDemand<'_>,
        terms: Option<AdviceTerms>,
        now: MonoTime,
    ) {
        let Some(terms) = terms.filter(|_| self.advice.may_ask(now)) else {
            return;
        };
        let step = StepAddress::from(demand.task);
        let (workers, lives_unix_ms) = self.unasked_workers(demand, now);
        if workers.is_empty() {
            return;
        }
        let count = u64::try_from(workers.len()).unwrap_or(u64::MAX);
        let order = AdviceOrder {
            step,
            workers,
            expected_ms: terms.answer_ms(count),
        };
        self.advice.note_question(&order, lives_unix_ms, now);
        self.effects.push(OwnerEffect::Advise(order));
    }

    /// The best workers with room of which the advisor may still say yes, with their
    /// lives.
    fn unasked_workers(
        &self,
        demand: &TaskDemand<'_>,
        now: MonoTime,
    ) -> (Vec<WorkerName>, Vec<u64>) {
        let choice = self.worker_choice(now);
        let step = StepAddress::from(demand.task);
        let mut rows: Vec<(i64, &WorkerName, u64)> = self
            .workers
            .iter()
            .filter(|(name, view)| self.advice.is_open(step, name, view.life_unix_ms, now))
            .filter_map(|(name, view)| {
                let score = choice.room_score(demand, view)?;
                Some((score, name, view.life_unix_ms))
            })
            .collect();
        rows.sort_unstable_by(|left, right| right.cmp(left));
        rows.truncate(WORKERS_MAX);
        rows.into_iter()
            .map(|(_, name, life)| (name.clone(), life))
            .unzip()
    }

    /// Takes what came of the question that is under way.
    pub fn advice_answered(&mut self, order: &AdviceOrder, outcome: &AdviceOutcome, now: MonoTime) {
        let good = match outcome {
            AdviceOutcome::Given { good, .. } => Some(good.len()),
            AdviceOutcome::Busy | AdviceOutcome::Unknown => None,
        };
        self.notes.push(DecisionNote::Advised {
            step: order.step,
            asked: order.workers.len(),
            good,
        });
        self.advice.note_outcome(outcome, now);
    }

    /// What a start at a worker has to show: nothing where no advisor has a say. None
    /// when the ticket has ended since the task was assigned.
    pub(super) fn ticket_for(
        &self,
        worker: &WorkerName,
        task: &TaskAddress,
        now: MonoTime,
    ) -> Option<Box<str>> {
        let entry = self.jobs.get(&task.job)?;
        if self.advice_terms(&entry.order.queue).is_none() {
            return Some(Box::default());
        }
        let life_unix_ms = self.workers.get(worker)?.life_unix_ms;
        let ticket = self
            .advice
            .ticket((*task).into(), worker, life_unix_ms, now)?;
        Some(ticket.text.clone())
    }
}
