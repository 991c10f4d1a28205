//! Reports and answers on their way.

use rand::Rng;

use sapphirestile_cells::ShareAnswer;
use sapphirestile_cells::ShareOrder;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;

use crate::share_event::ShareEvent;
use crate::share_world::ShareWorld;
use crate::waiting_answer::WaitingAnswer;

const MESSAGE_MS: u64 = 30;
const LATE_MS: u64 = 9_000;
const TIMEOUT_MS: u64 = 2_000;

impl ShareWorld {
    pub(super) fn send_reports(&mut self, cell: CellNumber) {
        let now = MonoTime::from_millis(self.now);
        let Some(owner) = &mut self.seat(cell).owner else {
            return;
        };
        for order in owner.due_shares(now) {
            let given_up = ShareEvent::GivenUp(cell, order.lender);
            self.queue.push(self.now + TIMEOUT_MS, given_up);
            self.pass(&|| ShareEvent::Reported(order.clone()));
        }
    }

    /// A message may be lost, late or come twice.
    fn pass(&mut self, message: &dyn Fn() -> ShareEvent) {
        if !self.faulty {
            self.push_within(MESSAGE_MS, message());
            return;
        }
        if self.rng.random_bool(0.8) {
            let millis = if self.rng.random_bool(0.2) {
                LATE_MS
            } else {
                MESSAGE_MS
            };
            self.push_within(millis, message());
        }
        if self.rng.random_bool(0.15) {
            self.repeats += 1;
            self.push_within(LATE_MS, message());
        }
    }

    pub(super) fn report(&mut self, order: &ShareOrder) {
        let now = MonoTime::from_millis(self.now);
        let seat = self.seat(order.lender);
        let Some(owner) = &mut seat.owner else { return };
        let answers = owner.lend_shares(&order.report, now);
        seat.waiting.push(WaitingAnswer {
            sequence: owner.last_proposed(),
            borrower: order.report.borrower,
            answers,
        });
        self.give_answers(order.lender);
    }

    /// Sends the answers whose entries are in the lender's journal.
    pub(super) fn give_answers(&mut self, lender: CellNumber) {
        let seat = self.seat(lender);
        let Some(owner) = &seat.owner else { return };
        let (reached, last) = (owner.sequence(), owner.last_proposed());
        let waiting = std::mem::take(&mut seat.waiting);
        let due = |answer: &WaitingAnswer| answer.sequence.min(last) <= reached;
        let (due, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(due);
        seat.waiting = rest;
        for WaitingAnswer {
            borrower, answers, ..
        } in due
        {
            self.pass(&|| ShareEvent::Answered(borrower, lender, answers.clone()));
        }
    }

    pub(super) fn answer(&mut self, cell: CellNumber, lender: CellNumber, answers: &[ShareAnswer]) {
        let now = MonoTime::from_millis(self.now);
        if let Some(owner) = &mut self.seat(cell).owner {
            owner.take_shares(lender, answers, now);
        }
    }
}
