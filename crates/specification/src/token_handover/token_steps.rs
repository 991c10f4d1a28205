//! Effects of the steps of the token protocol.

use crate::token_handover::member_status::MemberStatus;
use crate::token_handover::token_action::TokenAction;
use crate::token_handover::token_member::TokenMember;
use crate::token_handover::token_model::TokenModel;
use crate::token_handover::token_mutation::TokenMutation;
use crate::token_handover::token_state::TokenState;

/// Maximum duration of a request after its sender's death, in ticks.
const REQUEST_MAX_TICKS: u8 = 1;
/// Time before reclaimed tokens may be used, in ticks: one more than the longest request,
/// since the current tick has already begun.
const DEFERRAL_TICKS: u8 = REQUEST_MAX_TICKS + 1;

impl TokenModel {
    /// Applies `action` to `state`.
    pub(super) fn apply_action(self, state: &mut TokenState, action: TokenAction) {
        match action {
            TokenAction::SendToken { from, to } => {
                state.transfers -= 1;
                let sender = state.member_mut(from);
                if self.mutation == Some(TokenMutation::CountAfterSending) {
                    sender.uncounted_receiver = Some(to);
                } else {
                    sender.sent[usize::from(to)] += 1;
                }
            }
            TokenAction::CountSentToken { from } => {
                let sender = state.member_mut(from);
                if let Some(to) = sender.uncounted_receiver.take()
                    && sender.held() > 0
                {
                    sender.sent[usize::from(to)] += 1;
                }
            }
            TokenAction::ReceiveTotal { from, to, total } => {
                let known_total = &mut state.member_mut(to).received[usize::from(from)];
                if self.mutation == Some(TokenMutation::ReceiverAdds) {
                    *known_total += 1;
                } else {
                    *known_total = total.max(*known_total);
                }
            }
            TokenAction::BeginRequest { member } => {
                state.requests -= 1;
                state.member_mut(member).in_flight += 1;
            }
            TokenAction::EndRequest { member } => state.member_mut(member).in_flight -= 1,
            TokenAction::CloseTotals { member, gone } => {
                let closer = state.member_mut(member);
                closer.closed[usize::from(gone)] = self.mutation != Some(TokenMutation::NoClosing);
                if self.mutation == Some(TokenMutation::NoClosing) {
                    state.report_totals(member, gone);
                }
            }
            TokenAction::ReportTotals { member, gone } => state.report_totals(member, gone),
            TokenAction::Reclaim { member, gone } => {
                let group = self.removal_group(state, gone);
                state.reclaim(member, &group, DEFERRAL_TICKS, self.mutation);
            }
            TokenAction::Kill { .. }
            | TokenAction::ProveGone { .. }
            | TokenAction::Join { .. }
            | TokenAction::Tick => apply_environment_action(state, action),
        }
    }
}

/// Whether a tick may pass. Not while a request of a dead member has its maximum duration:
/// it has to end first. Nor while nothing waits, which keeps the search small.
pub(super) fn may_tick(state: &TokenState) -> bool {
    let is_overdue = |dead_ticks| dead_ticks >= REQUEST_MAX_TICKS;
    let mut members = state.members.iter();
    let waits =
        members.any(|member| member.deferred > 0 || !member.is_alive() && member.in_flight > 0);
    let mut orphans = state.members.iter().filter(|member| !member.is_alive());
    waits && !orphans.any(|member| member.in_flight > 0 && is_overdue(member.dead_ticks))
}

fn apply_environment_action(state: &mut TokenState, action: TokenAction) {
    match action {
        TokenAction::Kill { member } => {
            state.kills -= 1;
            state.member_mut(member).status = MemberStatus::Dead;
        }
        TokenAction::ProveGone { member } => state.member_mut(member).status = MemberStatus::Gone,
        TokenAction::Join { member } => {
            state.joins -= 1;
            state.member_mut(member).status = MemberStatus::Alive;
            state.ledger.members[usize::from(member)] = true;
        }
        TokenAction::Tick => state.members.iter_mut().for_each(pass_tick),
        _ => unreachable!("{action:?} is not an action of the environment"),
    }
}

fn pass_tick(member: &mut TokenMember) {
    if !member.is_alive() && member.in_flight > 0 {
        member.dead_ticks += 1;
    }
    if member.deferred > 0 {
        member.deferred_ticks -= 1;
        if member.deferred_ticks == 0 {
            member.deferred = 0;
        }
    }
}
