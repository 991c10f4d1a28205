//! Reclaiming the tokens of gone members.

use crate::token_handover::closed_total::ClosedTotal;
use crate::token_handover::token_mutation::TokenMutation;
use crate::token_handover::token_state::MEMBERS;
use crate::token_handover::token_state::TokenState;

impl TokenState {
    /// Writes the final totals of `member` with `gone` to the ledger.
    pub(crate) fn report_totals(&mut self, member: u8, gone: u8) {
        let reporter = self.member(member);
        let index = usize::from(gone);
        let total = ClosedTotal {
            sent: reporter.sent[index],
            received: reporter.received[index],
        };
        self.ledger.closed_totals[usize::from(member)][index] = Some(total);
    }

    /// Whether every listed member outside `group` has reported its totals with all members
    /// of `group`.
    pub(crate) fn may_reclaim(&self, group: &[u8]) -> bool {
        let mut others = (0..).take(MEMBERS).filter(|other| !group.contains(other));
        others.all(|other| {
            let reports = &self.ledger.closed_totals[usize::from(other)];
            let reported = group
                .iter()
                .all(|gone| reports[usize::from(*gone)].is_some());
            !self.is_listed(other) || reported
        })
    }

    /// Removes the members of `group` from the ledger and grants their tokens to `member`,
    /// which may use them after `deferral_ticks`.
    ///
    /// Totals between two members of the group cancel out, so they need not be reported.
    pub(crate) fn reclaim(
        &mut self,
        member: u8,
        group: &[u8],
        deferral_ticks: u8,
        mutation: Option<TokenMutation>,
    ) {
        for gone in group {
            self.ledger.members[usize::from(*gone)] = false;
        }
        let reclaimed: i8 = group
            .iter()
            .map(|gone| self.settle_removed_member(*gone, mutation))
            .sum();
        let reclaimed = reclaimed.max(0);
        self.ledger.granted[usize::from(member)] += reclaimed;
        let receiver = self.member_mut(member);
        let granted = reclaimed.unsigned_abs();
        receiver.granted += granted;
        if mutation != Some(TokenMutation::NoWait) && granted > 0 {
            receiver.deferred += granted;
            receiver.deferred_ticks = deferral_ticks;
        }
    }

    /// Clears `gone` in the ledger and returns the tokens that it held: its grant, plus what
    /// the remaining members sent to it, minus what they received from it. The result can be
    /// negative, if it passed on tokens that it received from another member of the group.
    fn settle_removed_member(&mut self, gone: u8, mutation: Option<TokenMutation>) -> i8 {
        let index = usize::from(gone);
        let mut reclaimed = self.ledger.granted[index];
        for other in 0..MEMBERS {
            let total = self.ledger.closed_totals[other][index].take();
            let Some(total) = total.filter(|_| self.ledger.members[other]) else {
                continue;
            };
            let balance = signed(total.sent) - signed(total.received);
            reclaimed += balance;
            if mutation != Some(TokenMutation::CountsDropped) {
                self.ledger.granted[other] -= balance;
            }
        }
        self.ledger.granted[index] = 0;
        self.ledger.closed_totals[index] = [None; MEMBERS];
        reclaimed
    }
}

fn signed(total: u8) -> i8 {
    i8::try_from(total).expect("totals stay far below 128")
}
