//! Answers of the advisor, by step.

use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;

use crate::advice::AdviceOutcome;
use crate::advice::AdviceRequest;
use crate::advice::PendingAdvice;
use crate::advice::PlacementTicket;
use crate::advice::StepAdvice;
use crate::advice::StepIdentity;
use crate::spec::JobIdentity;
use crate::worker::WorkerIncarnation;

/// Delay before the next request after the advisor gave no answer, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// Answers of the advisor, by step, and the one pending request. The advisor serves one
/// request of a daemon at a time, so a second would only queue behind the first.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_jobs::AdviceCache;
/// use sapphirestile_jobs::AdviceOutcome;
/// use sapphirestile_jobs::AdviceRequest;
/// use sapphirestile_jobs::StepIdentity;
/// use sapphirestile_jobs::TaskIdentity;
/// use sapphirestile_jobs::WorkerIncarnation;
///
/// let step = StepIdentity::from(TaskIdentity::try_from("5c0e7a21d94b36f8.0.1.17").unwrap());
/// let [allowed, denied] = ["w-1", "w-2"].map(|name| WorkerName::try_from(name).unwrap());
/// let (first, second) = (WorkerIncarnation::from_unix_ms(1), WorkerIncarnation::from_unix_ms(2));
/// let sent = MonoTime::from_millis(1_000);
/// let mut cache = AdviceCache::default();
/// cache.record_request(
///     &AdviceRequest { step, workers: vec![allowed.clone(), denied.clone()], expected_ms: 20 },
///     vec![first, first],
///     sent,
/// );
/// assert!(!cache.can_send(sent), "one request is pending");
///
/// let tickets = vec![(allowed.clone(), "c81e".into())];
/// let outcome = AdviceOutcome::Answered { allowed: tickets, validity_ms: 3_000 };
/// cache.record_outcome(&outcome, sent);
/// assert_eq!(&*cache.ticket(step, &allowed, first, sent).unwrap().text, "c81e");
/// assert!(cache.ticket(step, &allowed, second, sent).is_none(), "another incarnation");
/// assert!(!cache.may_gain_ticket(step, &denied, first, sent), "never allowed");
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdviceCache {
    steps: SortedTable<StepIdentity, StepAdvice>,
    pending: Option<PendingAdvice>,
    retry_at: MonoTime,
}

impl AdviceCache {
    /// Whether a request may be sent now: none is pending, and the delay after the latest
    /// failed one has passed.
    #[must_use]
    pub fn can_send(&self, now: MonoTime) -> bool {
        self.pending.is_none() && now >= self.retry_at
    }

    /// Records a request that is being sent. `incarnations` are those of
    /// the named workers, in the order of `request.workers`.
    pub fn record_request(
        &mut self,
        request: &AdviceRequest,
        incarnations: Vec<WorkerIncarnation>,
        now: MonoTime,
    ) {
        self.pending = Some(PendingAdvice {
            request: request.clone(),
            incarnations,
            sent: now,
        });
    }

    /// Records the outcome of the pending request. The validity of tickets is counted from
    /// when the request was sent, which is before the advisor issued them.
    pub fn record_outcome(&mut self, outcome: &AdviceOutcome, now: MonoTime) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let AdviceOutcome::Answered {
            allowed,
            validity_ms,
        } = outcome
        else {
            self.retry_at = now.plus_millis(RETRY_DELAY_MS);
            return;
        };
        let end = pending.sent.plus_millis(*validity_ms);
        let advice = self
            .steps
            .get_or_insert_with(pending.request.step, StepAdvice::default);
        let incarnations = pending.incarnations.iter();
        for (worker, incarnation) in pending.request.workers.iter().zip(incarnations) {
            let allowed_worker = allowed.iter().find(|(name, _)| name == worker);
            let ticket = allowed_worker.map(|(_, text)| PlacementTicket {
                text: text.clone(),
                incarnation: *incarnation,
                end,
            });
            advice.record(worker, ticket);
        }
    }

    /// Valid ticket for starting tasks of the step in this incarnation of the worker.
    /// `None` if there is none, or if it ends too soon to be used.
    #[must_use]
    pub fn ticket(
        &self,
        step: StepIdentity,
        worker: &WorkerName,
        incarnation: WorkerIncarnation,
        now: MonoTime,
    ) -> Option<&PlacementTicket> {
        self.steps.get(&step)?.ticket(worker, incarnation, now)
    }

    /// Whether a request about the worker could yield a ticket that is missing now: the
    /// advisor was not asked about it, or allowed it and the ticket is not valid any more.
    #[must_use]
    pub fn may_gain_ticket(
        &self,
        step: StepIdentity,
        worker: &WorkerName,
        incarnation: WorkerIncarnation,
        now: MonoTime,
    ) -> bool {
        let advice = self.steps.get(&step);
        advice.is_none_or(|advice| advice.may_gain_ticket(worker, incarnation, now))
    }

    /// Drops a ticket that the worker rejected.
    pub fn drop_ticket(&mut self, step: StepIdentity, worker: &WorkerName) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.forget(worker);
        }
    }

    /// Drops the answers for all steps of a job that has ended.
    pub fn forget(&mut self, job: &JobIdentity) {
        self.steps.retain(|step, _| step.job != *job);
    }
}
