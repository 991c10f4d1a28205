//! Shares of quotas, lent among cells.
//!
//! Each customer's whole quota begins at one cell, its *lender*
//! ([`crate::CellMap::lender_of`]). Every other cell borrows. For each pair of
//! lender and borrower, [`ShareTotals`] holds two [`ShareCounter`]s that only
//! grow: what was lent, and what came back. Each cell commits its own side to its
//! journal before it tells of it, in a [`ShareAsk`] or a [`ShareAnswer`], and
//! takes the other side's counter only when it is larger. So a lost, repeated or
//! late message moves no share twice.
//!
//! What does not last of it is in the [`ShareBook`]: the lender's
//! [`LenderBook`] of borrowers that wait, an [`UnmetWant`] each, and the
//! borrower's [`BorrowerView`]s. A [`ShareWant`] is what the borrower's waiting
//! tasks lack; what it tells a lender is a [`ShareReport`], sent by a
//! [`ShareOrder`].

mod borrower_view;
mod lender_book;
mod share_answer;
mod share_ask;
mod share_book;
mod share_counter;
mod share_order;
mod share_report;
mod share_totals;
mod share_want;
mod unmet_want;

pub use borrower_view::BorrowerView;
pub use lender_book::LenderBook;
pub use share_answer::ShareAnswer;
pub use share_ask::ShareAsk;
pub use share_book::ShareBook;
pub use share_counter::ShareCounter;
pub use share_order::ShareOrder;
pub use share_report::ShareReport;
pub use share_totals::ShareTotals;
pub use share_want::ShareWant;
pub use unmet_want::UnmetWant;
