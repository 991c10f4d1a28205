//! Shares of quotas, lent between cells.
//!
//! Each customer's whole quota belongs to one cell, its *lender*
//! ([`crate::CellMap::lender_of`]). Every other cell borrows from it. For each pair of
//! lender and borrower, [`ShareTotals`] holds two monotonic [`ShareCounter`]s: the
//! total lent and the total returned. Each cell commits its own side to its journal
//! before it sends it, in a [`ShareRequest`] or a [`ShareAnswer`], and accepts the
//! other side's counter only when it is larger. So a lost, repeated or late message
//! moves no share twice.
//!
//! The state that is not durable is in the [`ShareTracker`]: the lender's
//! [`DemandQueue`] of waiting borrowers, an [`UnmetDemand`] each, and the borrower's
//! [`BorrowerView`]s. A [`ShareDemand`] is what the borrower's waiting tasks lack. Its
//! message to a lender is a [`ShareReport`], addressed by a [`LenderReport`].

mod borrower_view;
mod demand_queue;
mod lender_report;
mod share_answer;
mod share_counter;
mod share_demand;
mod share_report;
mod share_request;
mod share_totals;
mod share_tracker;
mod unmet_demand;

pub use borrower_view::BorrowerView;
pub use demand_queue::DemandQueue;
pub use lender_report::LenderReport;
pub use share_answer::ShareAnswer;
pub use share_counter::ShareCounter;
pub use share_demand::ShareDemand;
pub use share_report::ShareReport;
pub use share_request::ShareRequest;
pub use share_totals::ShareTotals;
pub use share_tracker::ShareTracker;
pub use unmet_demand::UnmetDemand;
