//! The phase of a request that was sent to a runner.

use std::mem::ManuallyDrop;

use crate::NotRunPhase;
use crate::ReceivedPhase;
use crate::RequestCycle;
use crate::RetryBudget;
use crate::RouteReach;
use crate::RouteRefusal;
use crate::RunnerRow;
use crate::SlotGuard;
use crate::request_cycle::AnsweredPhase;
use crate::request_cycle::UnknownPhase;

const HEDGE_LATENCY_FACTOR: u64 = 3;
const HEDGE_AFTER_US_MIN: u64 = 2_000;

/// A request that the runner may be working on.
///
/// Dropping a cycle in this phase, for example on a panic, does not release its slot,
/// because the runner may still be working on the request.
#[derive(Debug)]
pub struct SentPhase {
    pub(super) slot: ManuallyDrop<SlotGuard>,
    pub(super) reach: RouteReach,
}

impl RequestCycle<SentPhase> {
    /// The runner that the request was sent to.
    #[must_use]
    pub fn row(&self) -> &RunnerRow {
        self.phase.slot.row()
    }

    /// The distance to that runner.
    #[must_use]
    pub const fn reach(&self) -> RouteReach {
        self.phase.reach
    }

    /// The time after sending at which a hedged attempt is worthwhile, in microseconds:
    /// three times the runner's latency, at least 2 ms.
    #[must_use]
    pub fn hedge_after_us(&self) -> u64 {
        let latency = self.row().gauge.latency_us();
        (latency * HEDGE_LATENCY_FACTOR).max(HEDGE_AFTER_US_MIN)
    }

    /// A second, concurrent attempt of this request, within `budget`. Returns `None` if the
    /// request is not idempotent or the budget is exhausted.
    #[must_use]
    pub fn hedge(&self, budget: &RetryBudget) -> Option<RequestCycle<ReceivedPhase>> {
        let hedged = self.attributes.idempotent && budget.spend();
        hedged.then(|| RequestCycle {
            attributes: self.attributes.clone(),
            record: None,
            attempts: self.attempts,
            phase: ReceivedPhase,
        })
    }

    /// Ends the request with its complete answer, which arrived after `latency_us`
    /// microseconds, and releases its slot.
    #[must_use]
    pub fn answer(self, latency_us: u64) -> RequestCycle<AnsweredPhase> {
        self.row().gauge.record_answer(latency_us);
        self.transition(|phase| {
            drop(ManuallyDrop::into_inner(phase.slot));
            AnsweredPhase
        })
    }

    /// Ends the request because the runner reported that it did not run it, and releases
    /// its slot.
    #[must_use]
    pub fn mark_declined(self) -> RequestCycle<NotRunPhase> {
        self.transition(|phase| {
            drop(ManuallyDrop::into_inner(phase.slot));
            NotRunPhase {
                refusal: RouteRefusal::RunnerDeclined,
            }
        })
    }

    /// Ends the request with an unknown outcome, because no complete answer arrived. The
    /// slot stays in use, because the runner may still be working on the request.
    #[must_use]
    pub fn mark_unknown(self) -> RequestCycle<UnknownPhase> {
        self.row().gauge.record_failure();
        self.transition(|phase| UnknownPhase { slot: phase.slot })
    }
}
