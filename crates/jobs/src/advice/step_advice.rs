//! Answers of the advisor about one step.

use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;

use crate::advice::PlacementTicket;
use crate::worker::WorkerIncarnation;

/// Answers of the advisor about one step: a ticket for each worker that may run it,
/// `None` for each that may not. The permission never changes; tickets expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    answers: SortedTable<WorkerName, Option<PlacementTicket>>,
}

impl StepAdvice {
    /// Records the answer about a worker.
    pub(crate) fn record(&mut self, worker: &WorkerName, ticket: Option<PlacementTicket>) {
        self.answers.insert(worker.clone(), ticket);
    }

    /// Drops the answer about a worker.
    pub(crate) fn forget(&mut self, worker: &WorkerName) {
        self.answers.remove(worker);
    }

    /// Valid ticket for starts in this incarnation of the worker.
    pub(crate) fn ticket(
        &self,
        worker: &WorkerName,
        incarnation: WorkerIncarnation,
        now: MonoTime,
    ) -> Option<&PlacementTicket> {
        let ticket = self.answers.get(worker)?.as_ref()?;
        ticket.is_valid(incarnation, now).then_some(ticket)
    }

    /// Whether a request about the worker could yield a ticket that is missing now.
    pub(crate) fn may_gain_ticket(
        &self,
        worker: &WorkerName,
        incarnation: WorkerIncarnation,
        now: MonoTime,
    ) -> bool {
        match self.answers.get(worker) {
            None => true,
            Some(None) => false,
            Some(Some(ticket)) => !ticket.is_valid(incarnation, now),
        }
    }
}
