//! Validated names, resource sizes, tables and the operators' configuration document.
//!
//! This crate holds plain data and does no I/O, reads no clock and draws no random
//! numbers. `TryFrom` converts raw text into validated types: names such as
//! [`ZoneName`], and the whole [`OperatorDocument`], whose life cycle is a
//! [`DocumentCycle`]. Maps are [`SortedTable`]s. Callers pass the time as [`MonoTime`].
//! Errors carry a [`StepError`] for each step that failed.

mod attempt_number;
mod cell_epoch;
mod cell_number;
mod checked_name;
mod config_revision;
mod customer_name;
mod daemon_identity;
mod daemon_name;
mod document;
mod incarnation_number;
mod ini_text;
mod job_name;
mod journal_sequence;
mod mono_time;
mod name_error;
mod rack_name;
mod region_name;
mod request_key;
mod resource_size;
mod runner_name;
mod sequence_number;
mod service_name;
mod sorted_table;
mod step_error;
mod task_index;
mod task_name;
mod worker_name;
mod zone_name;

pub use attempt_number::AttemptNumber;
pub use cell_epoch::CellEpoch;
pub use cell_number::CellNumber;
pub use config_revision::ConfigRevision;
pub use customer_name::CustomerName;
pub use daemon_identity::DaemonIdentity;
pub use daemon_name::DaemonName;
pub use document::ActivePhase;
pub use document::CellsEntry;
pub use document::CheckedPhase;
pub use document::ColocationEntry;
pub use document::CustomerEntry;
pub use document::DocumentCycle;
pub use document::DocumentDifference;
pub use document::DocumentEdit;
pub use document::DocumentError;
pub use document::DraftPhase;
pub use document::OperatorDocument;
pub use document::RegionEntry;
pub use document::ServiceEntry;
pub use document::ValueChange;
pub use document::ZoneEntry;
pub use document::ZoneState;
pub use incarnation_number::IncarnationNumber;
pub use ini_text::INI_BYTES_MAX;
pub use ini_text::IniFault;
pub use ini_text::ParsedIni;
pub use ini_text::SectionReader;
pub use job_name::JobName;
pub use journal_sequence::JournalSequence;
pub use mono_time::MonoTime;
pub use name_error::NAME_LENGTH_MAX;
pub use name_error::NameError;
pub use rack_name::RackName;
pub use region_name::RegionName;
pub use request_key::KeyError;
pub use request_key::RequestKey;
pub use resource_size::ResourceSize;
pub use runner_name::RunnerName;
pub use service_name::ServiceName;
pub use sorted_table::SortedTable;
pub use step_error::StepError;
pub use task_index::TaskIndex;
pub use task_name::TaskName;
pub use worker_name::WorkerName;
pub use zone_name::ZoneName;
