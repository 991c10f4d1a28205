//! Runs the owners of cells through seeded failures in virtual time.
//!
//! A [`SoakWorld`] holds a [`FakeStore`], a few [`SoakDaemon`]s that drive real
//! [`sapphirestile_cells::CellOwner`]s, and [`SoakWorker`]s around the real state
//! of the worker's stand-in. Everything that takes time is a [`SoakEvent`] in an
//! [`EventQueue`]; a [`FaultPlan`] says which [`FaultKind`]s a seed injects. The
//! [`RunLedger`] notes what was promised and what ran. The first broken
//! invariant ends the run; a [`SoakVerdict`] tells of it.

mod daemon;
mod faults;
mod store;
mod verdict;
mod worker;
mod world;

pub use daemon::CellSeat;
pub use daemon::OpenSeat;
pub use daemon::ProcessMark;
pub use daemon::SeatPhase;
pub use daemon::SoakDaemon;
pub use daemon::SubmitReply;
pub use faults::FaultCounts;
pub use faults::FaultKind;
pub use faults::FaultPlan;
pub use store::CellRows;
pub use store::CommitTry;
pub use store::FakeStore;
pub use store::StoreAnswer;
pub use verdict::SoakVerdict;
pub use worker::CallNews;
pub use worker::SoakWorker;
pub use worker::WorkerCall;
pub use world::EventQueue;
pub use world::JobTries;
pub use world::RunLedger;
pub use world::SoakEvent;
pub use world::SoakWorld;
pub use world::TryFate;
pub use world::run_seed;
