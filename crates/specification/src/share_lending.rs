//! Shares of one quota, lent by one cell to others.
//!
//! A [`LenderCell`] begins with the whole quota; each [`BorrowerCell`] with
//! nothing. Both have what their owner decided and what their journal holds; a
//! killed owner's successor goes on from the journal. A [`ShareState`] is all of
//! it, a [`ShareAction`] one step, a [`ShareMutation`] a rule left out, and the
//! whole a [`ShareModel`].
//!
//! Totals only grow, so any total up to the largest that was told may be under
//! way: messages are lost, repeated and reordered without a network being
//! modelled. That an owner who was replaced commits nothing is the matter of
//! [`crate::OwnershipModel`].

mod borrower_cell;
mod borrower_totals;
mod lender_cell;
mod lender_totals;
mod share_action;
mod share_model;
mod share_mutation;
mod share_state;
mod share_steps;

pub use borrower_cell::BorrowerCell;
pub use borrower_totals::BorrowerTotals;
pub use lender_cell::LenderCell;
pub use lender_totals::LenderTotals;
pub use share_action::ShareAction;
pub use share_model::ShareModel;
pub use share_mutation::ShareMutation;
pub use share_state::ShareState;
