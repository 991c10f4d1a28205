//! Model of the token protocol.

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::token_handover::member_status::MemberStatus;
use crate::token_handover::token_action::TokenAction;
use crate::token_handover::token_member::TokenMember;
use crate::token_handover::token_mutation::TokenMutation;
use crate::token_handover::token_state::MEMBERS;
use crate::token_handover::token_state::TokenState;
use crate::token_handover::token_steps::may_tick;

/// Number of slots of the runner, and so of tokens.
const SLOTS: u8 = 2;
/// Limit of a received total with [`TokenMutation::ReceiverAdds`], which would grow forever.
const RECEIVED_MAX: u8 = 4;

/// Model with one runner of two slots and up to three daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenModel {
    /// Number of members at the beginning.
    pub daemons: u8,
    /// Maximum number of tokens that are handed over.
    pub transfers: u8,
    /// Maximum number of members whose process dies.
    pub kills: u8,
    /// Maximum number of new incarnations that join.
    pub joins: u8,
    /// Maximum number of requests to the runner.
    pub requests: u8,
    /// The rule that is left out; `None` for the complete protocol.
    pub mutation: Option<TokenMutation>,
}

impl TokenModel {
    /// Bounds that every run of the tests covers.
    #[must_use]
    pub const fn small(mutation: Option<TokenMutation>) -> Self {
        Self {
            daemons: 3,
            transfers: 2,
            kills: 2,
            joins: 0,
            requests: 3,
            mutation,
        }
    }

    /// Bounds with a new incarnation, which every run of the tests covers.
    #[must_use]
    pub const fn incarnations(mutation: Option<TokenMutation>) -> Self {
        Self {
            daemons: 2,
            joins: 1,
            ..Self::small(mutation)
        }
    }

    /// Larger bounds, for a longer search.
    #[must_use]
    pub const fn large(mutation: Option<TokenMutation>) -> Self {
        Self {
            joins: 1,
            ..Self::small(mutation)
        }
    }

    fn member_actions(self, state: &TokenState, member: u8, actions: &mut Vec<TokenAction>) {
        let own = state.member(member);
        if own.in_flight > 0 {
            actions.push(TokenAction::EndRequest { member });
        }
        match own.status {
            MemberStatus::Absent => {
                if state.joins > 0 && member >= self.daemons {
                    actions.push(TokenAction::Join { member });
                }
                return;
            }
            MemberStatus::Dead => {
                actions.push(TokenAction::ProveGone { member });
                return;
            }
            MemberStatus::Gone => return,
            MemberStatus::Alive => {}
        }
        if state.kills > 0 {
            actions.push(TokenAction::Kill { member });
        }
        if own.has_free_token() && state.requests > 0 {
            actions.push(TokenAction::BeginRequest { member });
        }
        if own.uncounted_receiver.is_some() {
            actions.push(TokenAction::CountSentToken { from: member });
        }
        for other in (0..).take(MEMBERS).filter(|other| *other != member) {
            self.pair_actions(state, member, other, actions);
        }
    }

    fn pair_actions(
        self,
        state: &TokenState,
        member: u8,
        other: u8,
        actions: &mut Vec<TokenAction>,
    ) {
        let own = state.member(member);
        let peer = state.member(other);
        let index = usize::from(other);
        let may_send = !own.closed[index] && state.is_listed(other);
        if may_send
            && own.has_free_token()
            && state.transfers > 0
            && own.uncounted_receiver.is_none()
        {
            actions.push(TokenAction::SendToken {
                from: member,
                to: other,
            });
        }
        if !own.closed[index] {
            let totals = self.totals_in_flight(state, other, member);
            actions.extend(totals.map(|total| TokenAction::ReceiveTotal {
                from: other,
                to: member,
                total,
            }));
        }
        let trusts_timeout = self.mutation == Some(TokenMutation::TimeoutAsProof);
        let gone = peer.status == MemberStatus::Gone || trusts_timeout && peer.is_alive();
        if !gone || !state.is_listed(other) || !state.is_listed(member) {
            return;
        }
        if !own.closed[index] {
            let close = TokenAction::CloseTotals {
                member,
                gone: other,
            };
            actions.push(close);
        } else if state.ledger.closed_totals[usize::from(member)][index].is_none() {
            actions.push(TokenAction::ReportTotals {
                member,
                gone: other,
            });
        }
        if state.may_reclaim(&self.removal_group(state, other)) {
            actions.push(TokenAction::Reclaim {
                member,
                gone: other,
            });
        }
    }

    /// The members that are removed together with `gone`.
    pub(super) fn removal_group(self, state: &TokenState, gone: u8) -> Vec<u8> {
        let joint_removal = self.mutation != Some(TokenMutation::RemovedOneByOne);
        let members = (0..).take(MEMBERS);
        let group = members.filter(|member| {
            let known = state.member(*member).status == MemberStatus::Gone;
            *member == gone || joint_removal && known && state.is_listed(*member)
        });
        group.collect()
    }

    /// Totals from `from` that `to` may still receive and that change what it holds.
    fn totals_in_flight(
        self,
        state: &TokenState,
        from: u8,
        to: u8,
    ) -> impl Iterator<Item = u8> + use<> {
        let sender = state.member(from);
        let known_total = state.member(to).received[usize::from(from)];
        let sent = sender.sent[usize::from(to)] + u8::from(sender.uncounted_receiver == Some(to));
        let first =
            if self.mutation == Some(TokenMutation::ReceiverAdds) && known_total < RECEIVED_MAX {
                1
            } else {
                known_total + 1
            };
        first..=sent
    }
}

impl ProtocolModel for TokenModel {
    type State = TokenState;
    type Action = TokenAction;

    fn initial_state(&self) -> TokenState {
        let mut state = TokenState {
            transfers: self.transfers,
            kills: self.kills,
            joins: self.joins,
            requests: self.requests,
            ..TokenState::default()
        };
        for index in 0..usize::from(self.daemons) {
            state.members[index].status = MemberStatus::Alive;
            state.ledger.members[index] = true;
        }
        for index in 0..usize::from(SLOTS) {
            state.members[index].granted = 1;
            state.ledger.granted[index] = 1;
        }
        state
    }

    fn next_steps(&self, state: &TokenState) -> Vec<ModelStep<TokenState, TokenAction>> {
        let mut actions = Vec::new();
        for member in (0..).take(MEMBERS) {
            self.member_actions(state, member, &mut actions);
        }
        if may_tick(state) {
            actions.push(TokenAction::Tick);
        }
        ModelStep::from_actions(state, actions, |next, action| {
            self.apply_action(next, action);
        })
    }

    fn broken_property(&self, state: &TokenState) -> Option<&'static str> {
        if state.requests_at_runner() > SLOTS {
            return Some("requests at the runner fit its slots");
        }
        // Not checked with a mutation, which has to break the property above instead.
        let alive = state.members.iter().filter(|member| member.is_alive());
        let held = alive.map(TokenMember::held).sum::<u8>();
        (held > SLOTS && self.mutation.is_none()).then_some("tokens are never multiplied")
    }

    fn is_fault(&self, action: &TokenAction) -> bool {
        matches!(
            action,
            TokenAction::Kill { .. } | TokenAction::BeginRequest { .. }
        )
    }

    fn must_heal(&self, state: &TokenState) -> bool {
        state.members.iter().any(TokenMember::is_alive)
    }

    fn is_healed(&self, state: &TokenState) -> bool {
        let alive = state.members.iter().filter(|member| member.is_alive());
        let usable = alive.map(|member| member.held() - member.deferred);
        usable.sum::<u8>() == SLOTS
    }
}
