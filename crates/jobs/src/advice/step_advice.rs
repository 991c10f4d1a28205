//! What the advisor said of one step.

use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;

use crate::advice::PlacementTicket;

/// What the advisor said of one step: a ticket for each worker that may run it, none
/// for one that may not. Which may does not change; tickets end.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    said: SortedTable<WorkerName, Option<PlacementTicket>>,
}

impl StepAdvice {
    /// Takes note of what was said of a worker.
    pub(crate) fn note(&mut self, worker: &WorkerName, ticket: Option<PlacementTicket>) {
        self.said.insert(worker.clone(), ticket);
    }

    /// Forgets what was said of a worker.
    pub(crate) fn forget(&mut self, worker: &WorkerName) {
        self.said.remove(worker);
    }

    /// The ticket with which a start in a worker's life is taken.
    pub(crate) fn ticket(
        &self,
        worker: &WorkerName,
        life_unix_ms: u64,
        now: MonoTime,
    ) -> Option<&PlacementTicket> {
        let ticket = self.said.get(worker)?.as_ref()?;
        ticket.is_good(life_unix_ms, now).then_some(ticket)
    }

    /// Whether asking about a worker may give a ticket that is not there.
    pub(crate) fn is_open(&self, worker: &WorkerName, life_unix_ms: u64, now: MonoTime) -> bool {
        match self.said.get(worker) {
            None => true,
            Some(None) => false,
            Some(Some(ticket)) => !ticket.is_good(life_unix_ms, now),
        }
    }
}
