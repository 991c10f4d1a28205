//! The stand-in of a worker.
//!
//! It answers the calls of [`sapphirestile_wire::worker`], and besides
//! `POST /faults` with [`WorkerFaults`] and `GET /history` with [`HistoryRow`]s.
//! [`WorkerState`] decides: a [`SessionTable`] fences a call by its epoch, and
//! the [`FencedCall`] becomes a [`PermittedCall`] by its permit; only that
//! starts a task. Tasks are timers, each a [`TaskCycle`]; a [`ReportBook`]
//! tells what has changed of them since a report, and [`SessionCounts`] how
//! often all of them were told. [`WorkerService`] answers calls and [`WorkerStandin`]
//! serves.

mod cell_session;
mod fenced_call;
mod forgotten_row;
mod history_entry;
mod history_row;
mod permitted_call;
mod report_book;
mod reported_row;
mod served_worker;
mod session_counts;
mod session_table;
mod task_cycle;
mod usage_gauge;
mod worker_faults;
mod worker_service;
mod worker_settings;
mod worker_standin;
mod worker_state;

pub use fenced_call::FencedCall;
pub use fenced_call::PERMIT_AGE_MAX_MS;
pub use history_entry::HistoryEntry;
pub use history_row::HistoryRow;
pub use permitted_call::PermittedCall;
pub use report_book::ReportBook;
pub use session_counts::SessionCounts;
pub use session_table::SessionTable;
pub use task_cycle::EndedPhase;
pub use task_cycle::RunningPhase;
pub use task_cycle::TaskCycle;
pub use task_cycle::TaskEntry;
pub use usage_gauge::UsageGauge;
pub use worker_faults::WorkerFaults;
pub use worker_service::WorkerService;
pub use worker_settings::WorkerSettings;
pub use worker_standin::WorkerStandin;
pub use worker_state::WorkerState;
