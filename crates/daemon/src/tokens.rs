//! The tokens of runners that this daemon holds.
//!
//! A token stands for one slot of a runner, see [`sapphirestile_slots`]. A
//! [`TokenActor`] is the thread that owns the daemon's
//! [`sapphirestile_slots::TokenHolder`]. It handles [`TokenEvent`]s from peers'
//! datagrams and calls, follows the [`LedgerRow`] that the shared watch reads, and adds
//! tokens to the gauges of the request path through the [`GaugeTable`].
//!
//! A [`RebalancePlan`] decides which tokens are handed over to peers, from the
//! [`MemberReport`] of each member and the [`RunnerFacts`] of each runner; the latest
//! reports are in [`PeerReports`]. A [`LedgerWriter`] writes every change of the ledger.
//! [`AbsenceProofs`] determine which members are proven gone, so that their tokens can be
//! reclaimed.

mod absence_proofs;
mod gauge_table;
mod ledger_row;
mod ledger_writer;
mod member_report;
mod peer_reports;
mod rebalance_plan;
mod runner_facts;
mod token_actor;
mod token_event;

pub use absence_proofs::AbsenceProofs;
pub use gauge_table::GaugeTable;
pub use ledger_row::LedgerRow;
pub use ledger_writer::LedgerWriter;
pub use member_report::MemberReport;
pub use peer_reports::PeerReports;
pub use rebalance_plan::RebalancePlan;
pub use runner_facts::RunnerFacts;
pub use token_actor::TokenActor;
pub use token_event::TokenEvent;

pub(crate) use ledger_writer::publish_ledger;
