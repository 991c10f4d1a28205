//! A deterministic simulation of cell owners with injected faults, in virtual time.
//!
//! A [`SoakSimulation`] holds a [`FakeStore`], two or three [`SoakDaemon`]s that drive the
//! production [`sapphirestile_cells::CellOwner`], and [`SoakWorker`]s that wrap the state of
//! the worker stand-in. Everything that takes time is a [`SoakEvent`] in an [`EventQueue`]. A
//! [`FaultPlan`] selects the [`FaultKind`]s that a seed injects. The [`InvariantTracker`]
//! records what callers were told and which attempts ran. The first violated invariant ends
//! the run and is returned in the [`SoakResult`].

mod daemon;
mod faults;
mod simulation;
mod soak_result;
mod store;
mod worker;

pub use daemon::CellOwnership;
pub use daemon::DaemonInstance;
pub use daemon::OwnedCell;
pub use daemon::OwnershipPhase;
pub use daemon::PendingReply;
pub use daemon::SoakDaemon;
pub use faults::FaultCounts;
pub use faults::FaultKind;
pub use faults::FaultPlan;
pub use simulation::EventQueue;
pub use simulation::InvariantTracker;
pub use simulation::JobSubmissions;
pub use simulation::SoakEvent;
pub use simulation::SoakSimulation;
pub use simulation::SubmissionOutcome;
pub use simulation::run_seed;
pub use soak_result::SoakResult;
pub use store::CellRows;
pub use store::CommitResponse;
pub use store::FakeStore;
pub use store::JournalCommit;
pub use worker::CallOutcome;
pub use worker::SoakWorker;
pub use worker::WorkerCall;
