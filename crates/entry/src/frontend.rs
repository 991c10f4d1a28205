//! Handles the requests of callers.
//!
//! A [`JobFrontend`] stores submitted jobs and cancellations, and reads the state of
//! jobs, directly in the store and without the owners: each positive answer is as
//! durable as the store. It chooses a cell for each new job; a row says which cell has a
//! job, and a [`HomeCache`] saves reading it again. The [`CancellationRows`] of a job reach all
//! cells that have tasks of it. That of a job that is not stored is stored too, at the pace of
//! [`WritePace`], since the store may carry a submission out late. Its results are a
//! [`SubmitOutcome`], a [`CancelOutcome`], a [`StateOutcome`] and a [`WaitingOutcome`].

mod cancel_outcome;
mod cancellation_rows;
mod home_cache;
mod job_frontend;
mod state_outcome;
mod submit_outcome;
mod waiting_outcome;
mod write_pace;

pub use cancel_outcome::CancelOutcome;
pub use cancellation_rows::CancellationRows;
pub use home_cache::HomeCache;
pub use job_frontend::JobFrontend;
pub use state_outcome::StateOutcome;
pub use submit_outcome::SubmitOutcome;
pub use waiting_outcome::WaitingOutcome;
pub use write_pace::WritePace;
