//! Executable models of the core protocols, checked by exhaustive state-space search.
//!
//! Each of the seven protocols implements [`ProtocolModel`]:
//!
//! - [`OwnershipModel`]: daemons own a cell through its journal and start a task on
//!   workers that check epochs and permits.
//! - [`JobModel`]: one owner of all jobs and workers that check epochs and leases, but
//!   have no permits.
//! - [`ZoneOutModel`]: operators take an availability zone out of service while a task
//!   is started there.
//! - [`TokenModel`]: daemons hand the tokens of a runner's slots to each other.
//! - [`RecordModel`]: a request runs at most once.
//! - [`ShareModel`]: cells lend each other shares of a quota.
//! - [`TransferModel`]: a task goes from one cell to another and back.
//!
//! [`explore_model`] visits every state that is reachable within the bounds of a model
//! and returns a [`SearchReport`]. Each protocol also has mutations: a mutation leaves
//! one rule of the protocol out, and the search has to find a trace to a violation.
//! [`list_cases`] lists all searches by name, and [`run_check`] is the command that runs
//! them and prints their verdicts.

mod bounded_set;
mod cell_ownership;
mod check_run;
mod command;
mod job_ownership;
mod model_step;
mod protocol_model;
mod request_record;
mod search;
mod share_lending;
mod task_transfer;
mod token_handover;
mod zone_out;

pub use cell_ownership::ActionBudget;
pub use cell_ownership::DaemonState;
pub use cell_ownership::JournalEntry;
pub use cell_ownership::JournalState;
pub use cell_ownership::JournalWrite;
pub use cell_ownership::OwnershipAction;
pub use cell_ownership::OwnershipBounds;
pub use cell_ownership::OwnershipModel;
pub use cell_ownership::OwnershipMutation;
pub use cell_ownership::OwnershipScenario;
pub use cell_ownership::OwnershipState;
pub use cell_ownership::ProcessId;
pub use cell_ownership::TaskPhase;
pub use cell_ownership::TaskRecord;
pub use cell_ownership::WorkerMessage;
pub use cell_ownership::WorkerState;
pub use cell_ownership::WorkerTask;
pub use check_run::CaseSet;
pub use check_run::CheckCase;
pub use check_run::list_cases;
pub use command::CheckOptions;
pub use command::run_check;
pub use job_ownership::JobAction;
pub use job_ownership::JobBounds;
pub use job_ownership::JobModel;
pub use job_ownership::JobMutation;
pub use job_ownership::JobState;
pub use job_ownership::ReachableWorkers;
pub use model_step::ModelStep;
pub use protocol_model::ProtocolModel;
pub use request_record::AttemptPhase;
pub use request_record::CallState;
pub use request_record::CallerAttempt;
pub use request_record::RecordAction;
pub use request_record::RecordModel;
pub use request_record::RecordMutation;
pub use request_record::RecordOwner;
pub use request_record::RecordState;
pub use request_record::RecordWrite;
pub use search::SearchReport;
pub use search::SearchVerdict;
pub use search::explore_model;
pub use share_lending::BorrowerCell;
pub use share_lending::BorrowerTotals;
pub use share_lending::LenderCell;
pub use share_lending::LenderTotals;
pub use share_lending::ShareAction;
pub use share_lending::ShareModel;
pub use share_lending::ShareMutation;
pub use share_lending::ShareState;
pub use task_transfer::LateCommit;
pub use task_transfer::TaskView;
pub use task_transfer::TransferAction;
pub use task_transfer::TransferCell;
pub use task_transfer::TransferCommit;
pub use task_transfer::TransferModel;
pub use task_transfer::TransferMutation;
pub use task_transfer::TransferOwner;
pub use task_transfer::TransferState;
pub use task_transfer::TransferStore;
pub use token_handover::ClosedTotal;
pub use token_handover::MemberStatus;
pub use token_handover::TokenAction;
pub use token_handover::TokenLedger;
pub use token_handover::TokenMember;
pub use token_handover::TokenModel;
pub use token_handover::TokenMutation;
pub use token_handover::TokenState;
pub use zone_out::BatchCommit;
pub use zone_out::HeldPermit;
pub use zone_out::ZoneOutAction;
pub use zone_out::ZoneOutModel;
pub use zone_out::ZoneOutMutation;
pub use zone_out::ZoneOutState;
