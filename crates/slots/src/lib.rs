//! Slots of runners split among daemons and handed from peer to peer.
//!
//! Nothing here does I/O, reads a clock or draws a random number.
//!
//! A slot of a runner is a token. The store holds a [`TokenLedger`]: the member
//! daemons and, for each runner, how many tokens each of them began with. It is
//! changed through a [`LedgerDraft`] and written by compare-and-swap.
//!
//! Each daemon keeps one [`TokenHolder`]. Tokens move between two members by
//! [`HandoverCounters`] that only grow and that a [`HandoverMessage`] carries;
//! messages may be lost, repeated and reordered. [`TokenHolder::news_to`] gives
//! the counters that grew, [`TokenHolder::message_to`] all of them, which a
//! [`PageCursor`] repeats page by page. The holder puts its free tokens into
//! the [`TokenGauges`] of the request's path, and takes them out of there
//! before it hands them over.
//!
//! A member that is proven gone is closed by every other member with a
//! [`ClosedReport`]; a [`ReclaimPlan`] of all reports makes the next ledger.
//! Tokens granted by it stay unused until the longest request has passed. Which
//! member gives tokens to which is decided by a [`HandoverPlan`] from the
//! [`TokenDemand`] of all, measured by a [`DemandMeter`] and weighed by region
//! in a [`ServiceDemand`], from the [`MemberDemand`] of each member and the
//! [`RunnerSupply`] of each runner. When operators lower a runner's slots, each
//! member retires free tokens of its own; a daemon that stops on plan hands
//! everything over first.

mod apply_outcome;
mod closed_report;
mod closed_total;
mod demand_meter;
mod embargoed_tokens;
mod handover_counters;
mod handover_message;
mod handover_order;
mod handover_plan;
mod handover_total;
mod held_tokens;
mod ledger_draft;
mod ledger_fault;
mod ledger_generation;
mod member_demand;
mod member_grant;
mod packed_grant;
mod packed_ledger;
mod page_cursor;
mod reclaim_fault;
mod reclaim_plan;
mod region_balance;
mod region_demand;
mod runner_grant;
mod runner_supply;
mod scaled_part;
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
pub use ledger_fault::LedgerFault;
pub use ledger_generation::LedgerGeneration;
pub use member_demand::MemberDemand;
pub use member_grant::MemberGrant;
pub use page_cursor::PageCursor;
pub use reclaim_fault::ReclaimFault;
pub use reclaim_plan::ReclaimPlan;
pub use runner_grant::RunnerGrant;
pub use runner_supply::RunnerSupply;
pub use service_demand::ServiceDemand;
pub use token_demand::TokenDemand;
pub use token_gauges::TokenGauges;
pub use token_holder::TokenHolder;
pub use token_ledger::TokenLedger;
