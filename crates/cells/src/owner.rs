//! The owner of a cell.
//!
//! A [`CellOwner`] in [`ClaimingPhase`] has a claim to commit; in [`OpenPhase`]
//! it takes [`WorkerFacts`] and [`ReportView`]s in, proposes transitions, and
//! hands out one batch at a time. An [`AnswerView`] with [`ReportChanges`] is
//! merged into a [`WholeReport`] before it is taken in, or refused with a
//! [`MergeFault`]; a [`ReportMark`] names the report that the changes lead to,
//! a [`GoneAttempt`] what the worker has forgotten. [`CommitOutcome`] says what
//! became of the batch. What the workers are asked to do comes out as
//! [`CellEffect`]s: a [`StartOrder`] only after its assignment is in the
//! journal, a [`ThrottleOrder`] without a commit.

mod answer_view;
mod assigned_book;
mod cell_effect;
mod cell_owner;
mod claiming_phase;
mod commit_outcome;
mod decision_log;
mod decision_note;
mod gone_attempt;
mod memory_book;
mod merge_fault;
mod open_phase;
mod report_changes;
mod report_mark;
mod report_view;
mod session_order;
mod settling_attempt;
mod sighted_phase;
mod start_order;
mod stop_order;
mod task_sighting;
mod throttle_order;
mod whole_report;
mod worker_facts;
mod worker_view;

use assigned_book::AssignedBook;
use memory_book::MemoryBook;
use settling_attempt::SettlingAttempt;

pub use worker_view::WorkerView;

pub use answer_view::AnswerView;
pub use cell_effect::CellEffect;
pub use cell_owner::CellOwner;
pub use cell_owner::LIST_LAG_MAX_MS;
pub use claiming_phase::ClaimingPhase;
pub use commit_outcome::CommitOutcome;
pub use decision_log::DecisionLog;
pub use decision_note::DecisionNote;
pub use gone_attempt::GoneAttempt;
pub use merge_fault::MergeFault;
pub use open_phase::OpenPhase;
pub use report_changes::ReportChanges;
pub use report_mark::ReportMark;
pub use report_view::ReportView;

pub use session_order::SessionOrder;
pub use sighted_phase::SightedPhase;
pub use start_order::StartOrder;
pub use stop_order::StopOrder;
pub use task_sighting::TaskSighting;
pub use throttle_order::ThrottleOrder;
pub use whole_report::WholeReport;
pub use worker_facts::WorkerFacts;
