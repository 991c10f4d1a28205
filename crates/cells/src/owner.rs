//! The owner of a cell.
//!
//! A [`CellOwner`] in [`ClaimingPhase`] has a claim to commit. In [`OwningPhase`]
//! it merges [`WorkerFacts`] and [`ReportView`]s, proposes transitions, and
//! hands out one batch at a time. An [`AnswerView`] with [`ReportChanges`] is
//! merged into a [`FullReport`] before it is evaluated, or rejected with a
//! [`MergeError`]. A [`ReportMark`] identifies the report that the changes lead to, a
//! [`GoneAttempt`] an attempt that the worker has forgotten. [`CommitOutcome`] tells
//! the owner whether the batch is in the journal. Requests to workers come out as
//! [`CellEffect`]s: an [`AttemptStart`] only after its assignment is in the journal, a
//! [`ThrottleRequest`] without a commit.

mod answer_view;
mod assignment_index;
mod attempt_report;
mod attempt_start;
mod attempt_stop;
mod cell_effect;
mod cell_owner;
mod cell_worker;
mod claiming_phase;
mod commit_outcome;
mod decision_log;
mod decision_record;
mod full_report;
mod gone_attempt;
mod memory_peaks;
mod merge_error;
mod owning_phase;
mod report_changes;
mod report_mark;
mod report_view;
mod reported_phase;
mod session_renewal;
mod settling_attempt;
mod throttle_request;
mod worker_facts;

use assignment_index::AssignmentIndex;
use memory_peaks::MemoryPeaks;
use settling_attempt::SettlingAttempt;

pub use cell_worker::CellWorker;

pub use answer_view::AnswerView;
pub use cell_effect::CellEffect;
pub use cell_owner::CellOwner;
pub use cell_owner::LIST_LAG_MAX_MS;
pub use claiming_phase::ClaimingPhase;
pub use commit_outcome::CommitOutcome;
pub use decision_log::DecisionLog;
pub use decision_record::DecisionRecord;
pub use gone_attempt::GoneAttempt;
pub use merge_error::MergeError;
pub use owning_phase::OwningPhase;
pub use report_changes::ReportChanges;
pub use report_mark::ReportMark;
pub use report_view::ReportView;

pub use attempt_report::AttemptReport;
pub use attempt_start::AttemptStart;
pub use attempt_stop::AttemptStop;
pub use full_report::FullReport;
pub use reported_phase::ReportedPhase;
pub use session_renewal::SessionRenewal;
pub use throttle_request::ThrottleRequest;
pub use worker_facts::WorkerFacts;
