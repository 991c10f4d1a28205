//! A test double of a worker.
//!
//! It implements the calls of [`sapphirestile_wire::worker`]. `POST /faults` sets
//! [`WorkerFaults`], and `GET /history` returns a [`HistoryRow`] for each attempt that was
//! started.
//!
//! [`WorkerState`] implements the rules. A [`SessionTable`] checks the epoch of a call and
//! returns a [`FencedCall`]; checking its permit turns that into a [`PermittedCall`], without
//! which no attempt can be started. Tasks do no work: an attempt is a timer, an
//! [`AttemptCycle`]. A [`ReportTracker`] determines which attempts have changed since an
//! earlier report, and [`SessionCounts`] counts full and incremental reports.
//! [`WorkerService`] handles the requests and [`WorkerStandin`] serves it on an address.

mod attempt_cycle;
mod cell_session;
mod fenced_call;
mod forgotten_row;
mod history_entry;
mod history_row;
mod lagged_usage;
mod permitted_call;
mod report_tracker;
mod reported_row;
mod session_counts;
mod session_table;
mod worker_faults;
mod worker_inner;
mod worker_service;
mod worker_settings;
mod worker_standin;
mod worker_state;

pub use attempt_cycle::AttemptCycle;
pub use attempt_cycle::AttemptState;
pub use attempt_cycle::EndedPhase;
pub use attempt_cycle::RunningPhase;
pub use fenced_call::FencedCall;
pub use fenced_call::PERMIT_AGE_MAX_MS;
pub use history_entry::HistoryEntry;
pub use history_row::HistoryRow;
pub use lagged_usage::LaggedUsage;
pub use permitted_call::PermittedCall;
pub use report_tracker::ReportTracker;
pub use session_counts::SessionCounts;
pub use session_table::SessionTable;
pub use worker_faults::WorkerFaults;
pub use worker_service::WorkerService;
pub use worker_settings::WorkerSettings;
pub use worker_standin::WorkerStandin;
pub use worker_state::WorkerState;
