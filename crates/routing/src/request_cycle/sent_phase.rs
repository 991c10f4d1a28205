//! The phase of a request whose first byte has left.

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
/// A cycle dropped in this phase, as by a panic, never gives its slot back: the
/// runner may still be working.
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

    /// How far away that runner is.
    #[must_use]
    pub const fn reach(&self) -> RouteReach {
        self.phase.reach
    }

    /// The time after sending at which a second attempt may be worth it, in
    /// microseconds.
    #[must_use]
    pub fn hedge_after_us(&self) -> u64 {
        let latency = self.row().gauge.latency_us();
        (latency * HEDGE_LATENCY_FACTOR).max(HEDGE_AFTER_US_MIN)
    }

    /// A second attempt of an idempotent request, within `budget`, to run beside
    /// this one; nothing when the request may run only once.
    #[must_use]
    pub fn hedge(&self, budget: &RetryBudget) -> Option<RequestCycle<ReceivedPhase>> {
        let hedged = self.facts.idempotent && budget.spend();
        hedged.then(|| RequestCycle {
            facts: self.facts.clone(),
            record: None,
            attempts: self.attempts,
            phase: ReceivedPhase,
        })
    }

    /// The whole answer has arrived after `latency_us` microseconds; the slot
    /// is given back.
    #[must_use]
    pub fn answer(self, latency_us: u64) -> RequestCycle<AnsweredPhase> {
        self.row().gauge.record_answer(latency_us);
        self.enter(|phase| {
            drop(ManuallyDrop::into_inner(phase.slot));
            AnsweredPhase
        })
    }

    /// The runner said itself that it did not run the request; the slot is given
    /// back.
    #[must_use]
    pub fn decline(self) -> RequestCycle<NotRunPhase> {
        self.enter(|phase| {
            drop(ManuallyDrop::into_inner(phase.slot));
            NotRunPhase {
                refusal: RouteRefusal::RunnerDeclined,
            }
        })
    }

    /// No whole answer came. The slot stays taken, since the runner may still be
    /// working.
    #[must_use]
    pub fn lose(self) -> RequestCycle<UnknownPhase> {
        self.row().gauge.record_failure();
        self.enter(|phase| UnknownPhase { slot: phase.slot })
    }
}
