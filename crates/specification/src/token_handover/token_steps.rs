//! What each step does to the tokens.

use crate::token_handover::member_life::MemberLife;
use crate::token_handover::token_action::TokenAction;
use crate::token_handover::token_member::TokenMember;
use crate::token_handover::token_model::TokenModel;
use crate::token_handover::token_mutation::TokenMutation;
use crate::token_handover::token_state::TokenState;

/// The longest request, in ticks.
const REQUEST_TICKS: u8 = 1;
/// How long reclaimed tokens rest, in ticks; a begun tick counts as none.
const WAIT_TICKS: u8 = REQUEST_TICKS + 1;

impl TokenModel {
    /// Carries one step out.
    pub(super) fn apply_action(self, state: &mut TokenState, action: TokenAction) {
        match action {
            TokenAction::SendToken { from, to } => {
                state.transfers -= 1;
                let sender = state.member_mut(from);
                if self.mutation == Some(TokenMutation::CountAfterSending) {
                    sender.uncounted = Some(to);
                } else {
                    sender.sent[usize::from(to)] += 1;
                }
            }
            TokenAction::CountSent { from } => {
                let sender = state.member_mut(from);
                if let Some(to) = sender.uncounted.take()
                    && sender.held() > 0
                {
                    sender.sent[usize::from(to)] += 1;
                }
            }
            TokenAction::ReceiveCount { from, to, count } => {
                let heard = &mut state.member_mut(to).received[usize::from(from)];
                if self.mutation == Some(TokenMutation::ReceiverAdds) {
                    *heard += 1;
                } else {
                    *heard = count.max(*heard);
                }
            }
            TokenAction::BeginRequest { member } => {
                state.requests -= 1;
                state.member_mut(member).in_flight += 1;
            }
            TokenAction::EndRequest { member } => state.member_mut(member).in_flight -= 1,
            TokenAction::CloseCounts { member, gone } => {
                let closer = state.member_mut(member);
                closer.closed[usize::from(gone)] = self.mutation != Some(TokenMutation::NoClosing);
                if self.mutation == Some(TokenMutation::NoClosing) {
                    state.report_counts(member, gone);
                }
            }
            TokenAction::ReportCounts { member, gone } => state.report_counts(member, gone),
            TokenAction::Reclaim { member, gone } => {
                let group = self.gone_group(state, gone);
                state.reclaim(member, &group, WAIT_TICKS, self.mutation);
            }
            TokenAction::Kill { .. }
            | TokenAction::LearnDeath { .. }
            | TokenAction::Join { .. }
            | TokenAction::Tick => apply_event(state, action),
        }
    }
}

/// Time stands still while a dead member's request is at its longest.
pub(super) fn may_tick(state: &TokenState) -> bool {
    let is_overdue = |dead_ticks| dead_ticks >= REQUEST_TICKS;
    let mut members = state.members.iter();
    let waits =
        members.any(|member| member.frozen > 0 || !member.is_alive() && member.in_flight > 0);
    let mut orphans = state.members.iter().filter(|member| !member.is_alive());
    waits && !orphans.any(|member| member.in_flight > 0 && is_overdue(member.dead_ticks))
}

fn apply_event(state: &mut TokenState, action: TokenAction) {
    match action {
        TokenAction::Kill { member } => {
            state.kills -= 1;
            state.member_mut(member).life = MemberLife::Dead;
        }
        TokenAction::LearnDeath { member } => state.member_mut(member).life = MemberLife::KnownDead,
        TokenAction::Join { member } => {
            state.joins -= 1;
            state.member_mut(member).life = MemberLife::Alive;
            state.ledger.members[usize::from(member)] = true;
        }
        TokenAction::Tick => state.members.iter_mut().for_each(pass_tick),
        _ => unreachable!("{action:?} is no event"),
    }
}

fn pass_tick(member: &mut TokenMember) {
    if !member.is_alive() && member.in_flight > 0 {
        member.dead_ticks += 1;
    }
    if member.frozen > 0 {
        member.frozen_ticks -= 1;
        if member.frozen_ticks == 0 {
            member.frozen = 0;
        }
    }
}
