//! What the advisor said of all steps.

use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;

use crate::advice::AdviceOrder;
use crate::advice::AdviceOutcome;
use crate::advice::AskedQuestion;
use crate::advice::PlacementTicket;
use crate::advice::StepAddress;
use crate::advice::StepAdvice;
use crate::order::JobIdentity;

/// How long the advisor is left alone after it gave no answer, in milliseconds.
const PAUSE_MS: u64 = 200;

/// What the advisor said of all steps, and the one question that is under way: it
/// answers one at a time for each daemon, so that a second would only wait.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_jobs::AdviceBook;
/// use sapphirestile_jobs::AdviceOrder;
/// use sapphirestile_jobs::AdviceOutcome;
/// use sapphirestile_jobs::StepAddress;
/// use sapphirestile_jobs::TaskAddress;
///
/// let step = StepAddress::from(TaskAddress::try_from("5c0e7a21d94b36f8.0.1.17").unwrap());
/// let [good, bad] = ["w-1", "w-2"].map(|name| WorkerName::try_from(name).unwrap());
/// let asked = MonoTime::from_millis(1_000);
/// let mut book = AdviceBook::default();
/// book.note_question(
///     &AdviceOrder { step, workers: vec![good.clone(), bad.clone()], expected_ms: 20 },
///     vec![1, 1],
///     asked,
/// );
/// assert!(!book.may_ask(asked), "one question at a time");
///
/// let good_rows = vec![(good.clone(), "c81e".into())];
/// let outcome = AdviceOutcome::Given { good: good_rows, validity_ms: 3_000 };
/// book.note_outcome(&outcome, asked);
/// assert_eq!(&*book.ticket(step, &good, 1, asked).unwrap().text, "c81e");
/// assert!(book.ticket(step, &good, 2, asked).is_none(), "another life of the worker");
/// assert!(!book.is_open(step, &bad, 1, asked), "it never may");
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdviceBook {
    steps: SortedTable<StepAddress, StepAdvice>,
    question: Option<AskedQuestion>,
    paused_until: MonoTime,
}

impl AdviceBook {
    /// Whether a question may be asked now.
    #[must_use]
    pub fn may_ask(&self, now: MonoTime) -> bool {
        self.question.is_none() && now >= self.paused_until
    }

    /// Takes note of a question, with the lives of the workers that it names.
    pub fn note_question(&mut self, order: &AdviceOrder, lives_unix_ms: Vec<u64>, now: MonoTime) {
        self.question = Some(AskedQuestion {
            order: order.clone(),
            lives_unix_ms,
            asked: now,
        });
    }

    /// Takes note of what came of the question. Tickets count from when it was asked,
    /// which is before the advisor made them.
    pub fn note_outcome(&mut self, outcome: &AdviceOutcome, now: MonoTime) {
        let Some(question) = self.question.take() else {
            return;
        };
        let AdviceOutcome::Given { good, validity_ms } = outcome else {
            self.paused_until = now.plus_millis(PAUSE_MS);
            return;
        };
        let end = question.asked.plus_millis(*validity_ms);
        let advice = self
            .steps
            .get_or_insert_with(question.order.step, StepAdvice::default);
        let lives = question.lives_unix_ms.iter();
        for (worker, life_unix_ms) in question.order.workers.iter().zip(lives) {
            let row = good.iter().find(|(name, _)| name == worker);
            let ticket = row.map(|(_, text)| PlacementTicket {
                text: text.clone(),
                life_unix_ms: *life_unix_ms,
                end,
            });
            advice.note(worker, ticket);
        }
    }

    /// The ticket with which a start of the step in a worker's life is taken.
    #[must_use]
    pub fn ticket(
        &self,
        step: StepAddress,
        worker: &WorkerName,
        life_unix_ms: u64,
        now: MonoTime,
    ) -> Option<&PlacementTicket> {
        self.steps.get(&step)?.ticket(worker, life_unix_ms, now)
    }

    /// Whether asking about a worker may give a ticket that is not there.
    #[must_use]
    pub fn is_open(
        &self,
        step: StepAddress,
        worker: &WorkerName,
        life_unix_ms: u64,
        now: MonoTime,
    ) -> bool {
        let advice = self.steps.get(&step);
        advice.is_none_or(|advice| advice.is_open(worker, life_unix_ms, now))
    }

    /// Forgets a ticket that its worker did not take.
    pub fn drop_ticket(&mut self, step: StepAddress, worker: &WorkerName) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.forget(worker);
        }
    }

    /// Forgets a job that is over.
    pub fn forget(&mut self, job: &JobIdentity) {
        self.steps.retain(|step, _| step.job != *job);
    }
}
