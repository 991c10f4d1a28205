//! Tokens of one runner, handed over among daemons.
//!
//! Each [`TokenMember`] is one life of a daemon. It counts the tokens that it
//! sent to each other member and takes the largest count that it heard from
//! each. The ledger in the store ([`TokenLedger`]) says who began with how many.
//! When a member is proven gone, the others close their counts with it, and one
//! compare-and-swap grants what is left, usable after the longest request.
//! A [`TokenState`] is all of it, a [`TokenAction`] one step, a
//! [`TokenMutation`] a rule left out, and the whole a [`TokenModel`].
//!
//! Counts only grow, so any count up to the sender's may be under way: messages
//! are lost, repeated and reordered without a network being modelled.

mod closed_count;
mod member_life;
mod token_action;
mod token_ledger;
mod token_member;
mod token_model;
mod token_mutation;
mod token_reclaim;
mod token_state;
mod token_steps;

pub use closed_count::ClosedCount;
pub use member_life::MemberLife;
pub use token_action::TokenAction;
pub use token_ledger::TokenLedger;
pub use token_member::TokenMember;
pub use token_model::TokenModel;
pub use token_mutation::TokenMutation;
pub use token_state::TokenState;
