//! How the tokens of a gone member come back.

use crate::token_handover::closed_count::ClosedCount;
use crate::token_handover::token_mutation::TokenMutation;
use crate::token_handover::token_state::MEMBERS;
use crate::token_handover::token_state::TokenState;

impl TokenState {
    /// A member writes its last counts with `gone` to the ledger.
    pub(crate) fn report_counts(&mut self, member: u8, gone: u8) {
        let reporter = self.member(member);
        let place = usize::from(gone);
        let count = ClosedCount {
            sent: reporter.sent[place],
            received: reporter.received[place],
        };
        self.ledger.closed[usize::from(member)][place] = Some(count);
    }

    /// Whether every listed member outside `group` has reported its counts with
    /// all in it.
    pub(crate) fn may_reclaim(&self, group: &[u8]) -> bool {
        let mut others = (0..).take(MEMBERS).filter(|other| !group.contains(other));
        others.all(|other| {
            let reports = &self.ledger.closed[usize::from(other)];
            let reported = group
                .iter()
                .all(|gone| reports[usize::from(*gone)].is_some());
            !self.is_listed(other) || reported
        })
    }

    /// Removes `group` from the ledger and grants what is left to `member`.
    ///
    /// Counts between two of the group cancel out, so nobody has to know them.
    pub(crate) fn reclaim(
        &mut self,
        member: u8,
        group: &[u8],
        wait: u8,
        mutation: Option<TokenMutation>,
    ) {
        for gone in group {
            self.ledger.members[usize::from(*gone)] = false;
        }
        let left: i8 = group
            .iter()
            .map(|gone| self.settle_member(*gone, mutation))
            .sum();
        let left = left.max(0);
        self.ledger.granted[usize::from(member)] += left;
        let receiver = self.member_mut(member);
        let granted = left.unsigned_abs();
        receiver.granted += granted;
        if mutation != Some(TokenMutation::NoWait) && granted > 0 {
            receiver.frozen += granted;
            receiver.frozen_ticks = wait;
        }
    }

    /// What `gone` held, as far as the members that stay had to do with it.
    fn settle_member(&mut self, gone: u8, mutation: Option<TokenMutation>) -> i8 {
        let place = usize::from(gone);
        let mut left = self.ledger.granted[place];
        for other in 0..MEMBERS {
            let count = self.ledger.closed[other][place].take();
            let Some(count) = count.filter(|_| self.ledger.members[other]) else {
                continue;
            };
            let balance = signed(count.sent) - signed(count.received);
            left += balance;
            if mutation != Some(TokenMutation::CountsDropped) {
                self.ledger.granted[other] -= balance;
            }
        }
        self.ledger.granted[place] = 0;
        self.ledger.closed[place] = [None; MEMBERS];
        left
    }
}

fn signed(count: u8) -> i8 {
    i8::try_from(count).expect("counts are small")
}
