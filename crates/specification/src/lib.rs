//! Small specification of the core protocol, searched exhaustively.
//!
//! Six protocols are written as a [`ProtocolModel`]: cells and their workers
//! ([`OwnershipModel`]), an owner beside workers that know leases only
//! ([`JobModel`]), a zone that is taken out ([`ZoneOutModel`]), tokens of a
//! runner ([`TokenModel`]), requests that run at most once ([`RecordModel`]) and
//! shares of a quota ([`ShareModel`]).
//! [`explore_model`] visits every state within the bounds and gives a
//! [`SearchReport`]. Each protocol has mutations, rules that are left out, for
//! which the search has to find a trace. [`list_cases`] names every search, and
//! [`run_check`] is the command that prints them.

mod cell_ownership;
mod check_run;
mod command;
mod job_ownership;
mod model_step;
mod protocol_model;
mod request_record;
mod search;
mod share_lending;
mod small_bag;
mod token_handover;
mod zone_out;

pub use cell_ownership::DaemonState;
pub use cell_ownership::FaultBudget;
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
pub use cell_ownership::RecordPhase;
pub use cell_ownership::TaskRecord;
pub use cell_ownership::TaskSlot;
pub use cell_ownership::WorkerMessage;
pub use cell_ownership::WorkerState;
pub use check_run::BoundsName;
pub use check_run::CheckCase;
pub use check_run::list_cases;
pub use command::CheckOptions;
pub use command::run_check;
pub use job_ownership::JobAction;
pub use job_ownership::JobBounds;
pub use job_ownership::JobModel;
pub use job_ownership::JobMutation;
pub use job_ownership::JobState;
pub use model_step::ModelStep;
pub use protocol_model::ProtocolModel;
pub use request_record::EntryTry;
pub use request_record::RecordAction;
pub use request_record::RecordModel;
pub use request_record::RecordMutation;
pub use request_record::RecordOwner;
pub use request_record::RecordState;
pub use request_record::RecordWrite;
pub use request_record::RunnerCall;
pub use request_record::TryPhase;
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
pub use token_handover::ClosedCount;
pub use token_handover::MemberLife;
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
