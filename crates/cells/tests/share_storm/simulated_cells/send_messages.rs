//! Delivery of reports and answers.

use rand::Rng;

use sapphirestile_cells::LenderReport;
use sapphirestile_cells::ShareAnswer;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;

use crate::pending_answer::PendingAnswer;
use crate::share_event::ShareEvent;
use crate::simulated_cells::SimulatedCells;

const DELAY_MAX_MS: u64 = 30;
const LATE_DELAY_MAX_MS: u64 = 9_000;
const TIMEOUT_MS: u64 = 2_000;

impl SimulatedCells {
    pub(super) fn send_reports(&mut self, cell: CellNumber) {
        let now = MonoTime::from_millis(self.now);
        let Some(owner) = &mut self.cell_mut(cell).owner else {
            return;
        };
        for due in owner.due_share_reports(now) {
            let timed_out = ShareEvent::TimedOut(cell, due.lender);
            self.queue.push(self.now + TIMEOUT_MS, timed_out);
            self.send(&|| ShareEvent::Reported(due.clone()));
        }
    }

    /// Sends a message, which may be lost, delayed or repeated.
    fn send(&mut self, message: &dyn Fn() -> ShareEvent) {
        if !self.injects_faults {
            self.push_within(DELAY_MAX_MS, message());
            return;
        }
        if self.rng.random_bool(0.8) {
            let millis = if self.rng.random_bool(0.2) {
                LATE_DELAY_MAX_MS
            } else {
                DELAY_MAX_MS
            };
            self.push_within(millis, message());
        }
        if self.rng.random_bool(0.15) {
            self.repeats += 1;
            self.push_within(LATE_DELAY_MAX_MS, message());
        }
    }

    pub(super) fn report(&mut self, due: &LenderReport) {
        let now = MonoTime::from_millis(self.now);
        let simulated = self.cell_mut(due.lender);
        let Some(owner) = &mut simulated.owner else {
            return;
        };
        let answers = owner.lend_shares(&due.report, now);
        simulated.pending_answers.push(PendingAnswer {
            sequence: owner.last_proposed(),
            borrower: due.report.borrower,
            answers,
        });
        self.send_answers(due.lender);
    }

    /// Sends the answers whose entries are in the lender's journal.
    pub(super) fn send_answers(&mut self, lender: CellNumber) {
        let simulated = self.cell_mut(lender);
        let Some(owner) = &simulated.owner else {
            return;
        };
        let (reached, last) = (owner.sequence(), owner.last_proposed());
        let pending_answers = std::mem::take(&mut simulated.pending_answers);
        let due = |answer: &PendingAnswer| answer.sequence.min(last) <= reached;
        let (due, rest): (Vec<_>, Vec<_>) = pending_answers.into_iter().partition(due);
        simulated.pending_answers = rest;
        for PendingAnswer {
            borrower, answers, ..
        } in due
        {
            self.send(&|| ShareEvent::Answered(borrower, lender, answers.clone()));
        }
    }

    pub(super) fn answer(&mut self, cell: CellNumber, lender: CellNumber, answers: &[ShareAnswer]) {
        let now = MonoTime::from_millis(self.now);
        if let Some(owner) = &mut self.cell_mut(cell).owner {
            owner.apply_share_answers(lender, answers, now);
        }
    }
}
