//! The tokens of runners that this daemon holds.
//!
//! A [`TokenKeeper`] is the thread that owns the daemon's
//! [`sapphirestile_slots::TokenHolder`]. It takes [`TokenEvent`]s from the port
//! for datagrams and from peers, follows the [`LedgerRow`] that the shared
//! watch reads, and puts tokens into the gauges of the request's path through
//! [`GaugeTable`]. Whatever changes the ledger goes through a [`LedgerWriter`].
//! [`MemberProofs`] says which members are proven gone. A [`TradePlan`] says
//! what is handed over, from the [`MemberReport`] of each member and each
//! [`RunnerPlace`].

mod gauge_table;
mod ledger_row;
mod ledger_writer;
mod member_proofs;
mod member_report;
mod peer_reports;
mod runner_place;
mod token_event;
mod token_keeper;
mod trade_plan;

pub use gauge_table::GaugeTable;
pub use ledger_row::LedgerRow;
pub use ledger_writer::LedgerWriter;
pub use member_proofs::MemberProofs;
pub use member_report::MemberReport;
pub use peer_reports::PeerReports;
pub use runner_place::RunnerPlace;
pub use token_event::TokenEvent;
pub use token_keeper::TokenKeeper;
pub use trade_plan::TradePlan;

pub(crate) use ledger_writer::take_ledger;
