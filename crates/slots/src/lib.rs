//! Distribution of runner slots among daemons, and their transfer between peers.
//!
//! Nothing here does I/O, reads a clock or draws a random number.
//!
//! A token stands for one slot of a runner: a daemon may send a request to a runner
//! only while it holds a free token of it. The store holds a [`TokenLedger`]: the
//! member daemons and, for each runner, the number of tokens granted to each of
//! them. It is changed through a [`LedgerDraft`] and written by compare-and-swap.
//!
//! Each daemon has one [`TokenHolder`]. Tokens move between two members by
//! [`HandoverCounters`], which only grow and are sent in a [`HandoverMessage`];
//! messages may be lost, duplicated and reordered.
//! [`TokenHolder::recent_changes_to`] returns the counters that grew recently.
//! [`TokenHolder::message_to`] returns all of them; a [`PageCursor`] resends them
//! page by page. The holder adds its free tokens to the [`TokenGauges`] that
//! requests take them from, and removes them from there before it hands them over.
//!
//! When a member is proven gone, every other member closes its counters with it and
//! sends a [`ClosedReport`]. A [`ReclaimPlan`] of all reports creates the next
//! ledger. Tokens granted by it stay unused until the longest possible request of
//! the removed member has ended.
//!
//! A [`HandoverPlan`] decides which member hands tokens to which, from the
//! [`TokenDemand`] of all members. That is derived, by region, in a
//! [`ServiceDemand`] from the [`MemberDemand`] of each member, measured by a
//! [`DemandMeter`], and the [`RunnerSupply`] of each runner. When operators lower
//! the number of slots of a runner, each member retires free tokens that it holds.
//! A daemon that shuts down hands over all its tokens first.

mod apply_outcome;
mod closed_report;
mod closed_total;
mod deferred_tokens;
mod demand_meter;
mod handover_counters;
mod handover_message;
mod handover_order;
mod handover_plan;
mod handover_total;
mod held_tokens;
mod ledger_draft;
mod ledger_error;
mod ledger_generation;
mod member_demand;
mod member_grant;
mod mul_div;
mod packed_grant;
mod packed_ledger;
mod page_cursor;
mod reclaim_error;
mod reclaim_plan;
mod region_balance;
mod region_demand;
mod runner_grant;
mod runner_supply;
mod service_demand;
mod token_demand;
mod token_gauges;
mod token_holder;
mod token_ledger;
mod token_split;

pub use apply_outcome::ApplyOutcome;
pub use closed_report::ClosedReport;
pub use closed_total::ClosedTotal;
pub use demand_meter::DemandMeter;
pub use handover_counters::HandoverCounters;
pub use handover_message::HandoverMessage;
pub use handover_order::HandoverOrder;
pub use handover_plan::HandoverPlan;
pub use handover_total::HandoverTotal;
pub use held_tokens::HeldTokens;
pub use ledger_draft::LedgerDraft;
pub use ledger_error::LedgerError;
pub use ledger_generation::LedgerGeneration;
pub use member_demand::MemberDemand;
pub use member_grant::MemberGrant;
pub use page_cursor::PageCursor;
pub use reclaim_error::ReclaimError;
pub use reclaim_plan::ReclaimPlan;
pub use runner_grant::RunnerGrant;
pub use runner_supply::RunnerSupply;
pub use service_demand::ServiceDemand;
pub use token_demand::TokenDemand;
pub use token_gauges::TokenGauges;
pub use token_holder::TokenHolder;
pub use token_ledger::TokenLedger;
