//! The tokens' protocol as a model.

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::token_handover::member_life::MemberLife;
use crate::token_handover::token_action::TokenAction;
use crate::token_handover::token_member::TokenMember;
use crate::token_handover::token_mutation::TokenMutation;
use crate::token_handover::token_state::MEMBERS;
use crate::token_handover::token_state::TokenState;
use crate::token_handover::token_steps::may_tick;

/// The slots of the runner.
const SLOTS: u8 = 2;
const COUNT_MAX: u8 = 4;

/// One runner with two slots and up to three daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenModel {
    /// Daemons at the beginning.
    pub daemons: u8,
    /// Tokens handed over.
    pub transfers: u8,
    /// Kills.
    pub kills: u8,
    /// New incarnations.
    pub joins: u8,
    /// Requests to the runner.
    pub requests: u8,
    /// The rule that is left out, if any.
    pub mutation: Option<TokenMutation>,
}

impl TokenModel {
    /// A model for every run of the tests.
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

    /// A model with a next incarnation, for every run of the tests.
    #[must_use]
    pub const fn incarnations(mutation: Option<TokenMutation>) -> Self {
        Self {
            daemons: 2,
            joins: 1,
            ..Self::small(mutation)
        }
    }

    /// A model for a deeper search.
    #[must_use]
    pub const fn large(mutation: Option<TokenMutation>) -> Self {
        Self {
            joins: 1,
            ..Self::small(mutation)
        }
    }

    fn member_actions(self, state: &TokenState, member: u8, actions: &mut Vec<TokenAction>) {
        let it = state.member(member);
        if it.in_flight > 0 {
            actions.push(TokenAction::EndRequest { member });
        }
        match it.life {
            MemberLife::Absent => {
                if state.joins > 0 && member >= self.daemons {
                    actions.push(TokenAction::Join { member });
                }
                return;
            }
            MemberLife::Dead => {
                actions.push(TokenAction::LearnDeath { member });
                return;
            }
            MemberLife::KnownDead => return,
            MemberLife::Alive => {}
        }
        if state.kills > 0 {
            actions.push(TokenAction::Kill { member });
        }
        if it.has_free() && state.requests > 0 {
            actions.push(TokenAction::BeginRequest { member });
        }
        if it.uncounted.is_some() {
            actions.push(TokenAction::CountSent { from: member });
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
        let it = state.member(member);
        let peer = state.member(other);
        let place = usize::from(other);
        let open = !it.closed[place] && state.is_listed(other);
        if open && it.has_free() && state.transfers > 0 && it.uncounted.is_none() {
            actions.push(TokenAction::SendToken {
                from: member,
                to: other,
            });
        }
        if !it.closed[place] {
            let counts = self.counts_under_way(state, other, member);
            actions.extend(counts.map(|count| TokenAction::ReceiveCount {
                from: other,
                to: member,
                count,
            }));
        }
        let suspected = self.mutation == Some(TokenMutation::TimeoutAsProof);
        let gone = peer.life == MemberLife::KnownDead || suspected && peer.is_alive();
        if !gone || !state.is_listed(other) || !state.is_listed(member) {
            return;
        }
        if !it.closed[place] {
            let closing = TokenAction::CloseCounts {
                member,
                gone: other,
            };
            actions.push(closing);
        } else if state.ledger.closed[usize::from(member)][place].is_none() {
            actions.push(TokenAction::ReportCounts {
                member,
                gone: other,
            });
        }
        if state.may_reclaim(&self.gone_group(state, other)) {
            actions.push(TokenAction::Reclaim {
                member,
                gone: other,
            });
        }
    }

    /// The members that are removed together with `gone`.
    pub(super) fn gone_group(self, state: &TokenState, gone: u8) -> Vec<u8> {
        let together = self.mutation != Some(TokenMutation::RemovedOneByOne);
        let members = (0..).take(MEMBERS);
        let group = members.filter(|member| {
            let known = state.member(*member).life == MemberLife::KnownDead;
            *member == gone || together && known && state.is_listed(*member)
        });
        group.collect()
    }

    /// Counts from `from` that may still change what `to` holds.
    fn counts_under_way(
        self,
        state: &TokenState,
        from: u8,
        to: u8,
    ) -> impl Iterator<Item = u8> + use<> {
        let sender = state.member(from);
        let heard = state.member(to).received[usize::from(from)];
        let sent = sender.sent[usize::from(to)] + u8::from(sender.uncounted == Some(to));
        let first = if self.mutation == Some(TokenMutation::ReceiverAdds) && heard < COUNT_MAX {
            1
        } else {
            heard + 1
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
        for place in 0..usize::from(self.daemons) {
            state.members[place].life = MemberLife::Alive;
            state.ledger.members[place] = true;
        }
        for place in 0..usize::from(SLOTS) {
            state.members[place].granted = 1;
            state.ledger.granted[place] = 1;
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
        // A mutation has to break the outcome itself, so it is not held to this.
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
        let usable = alive.map(|member| member.held() - member.frozen);
        usable.sum::<u8>() == SLOTS
    }
}
