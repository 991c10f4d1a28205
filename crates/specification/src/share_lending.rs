//! Shares of one quota, lent by one cell to others.
//!
//! The [`LenderCell`] begins with the whole quota, and each [`BorrowerCell`] with
//! nothing. For each cell the state has what its owner has decided and what is committed
//! to its journal; when an owner is killed, the next owner continues from the journal.
//! The cells send each other the total that was lent or returned so far.
//!
//! Totals only grow. The model has no network: any total up to the largest that was sent
//! can be received at any time, which covers lost, duplicated and reordered messages.
//! [`crate::OwnershipModel`] checks that a former owner commits nothing, so this model
//! does not.
//!
//! [`ShareModel`] is the model, [`ShareState`] its state and [`ShareAction`] a step. A
//! [`ShareMutation`] is a rule that the model can leave out.

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
