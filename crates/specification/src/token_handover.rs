//! Transfer of the tokens of one runner between daemons.
//!
//! A token stands for one slot of the runner, and a daemon sends a request only while it
//! holds a free token. Each [`TokenMember`] is one incarnation of a daemon. It keeps the
//! total number of tokens that it sent to each other member, and the largest total that
//! it received from each. The [`TokenLedger`] in the store holds the number of tokens
//! granted to each member. When a member is proven gone, the others close their totals
//! with it and report them. Then one compare-and-swap of the ledger grants its tokens to
//! another member, which may use them once the longest possible request has ended.
//!
//! Totals only grow, and a message carries a total. The model has no network: any total
//! up to the sender's current one can be received at any time, which covers lost,
//! duplicated and reordered messages.
//!
//! [`TokenModel`] is the model, [`TokenState`] its state and [`TokenAction`] a step. A
//! [`TokenMutation`] is a rule that the model can leave out.

mod closed_total;
mod member_status;
mod token_action;
mod token_ledger;
mod token_member;
mod token_model;
mod token_mutation;
mod token_reclaim;
mod token_state;
mod token_steps;

pub use closed_total::ClosedTotal;
pub use member_status::MemberStatus;
pub use token_action::TokenAction;
pub use token_ledger::TokenLedger;
pub use token_member::TokenMember;
pub use token_model::TokenModel;
pub use token_mutation::TokenMutation;
pub use token_state::TokenState;
