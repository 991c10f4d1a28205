//! Handles the requests of callers.
//!
//! A [`JobFrontend`] stores submitted jobs and cancellations, and reads the state of
//! jobs, directly in the store and without the owners: each positive answer is as
//! durable as the store. It chooses a cell for each new job; a row says which cell has a
//! job, and a [`HomeCache`] saves reading it again. The [`CancellationRows`] of a job reach all
//! cells that have tasks of it. Its results are a [`SubmitOutcome`], a [`CancelOutcome`], a
//! [`StateOutcome`] and a [`WaitingOutcome`].

mod cancel_outcome;
mod cancellation_rows;
mod home_cache;
mod job_frontend;
mod state_outcome;
mod submit_outcome;
mod waiting_outcome;

pub use cancel_outcome::CancelOutcome;
pub use cancellation_rows::CancellationRows;
pub use home_cache::HomeCache;
pub use job_frontend::JobFrontend;
pub use state_outcome::StateOutcome;
pub use submit_outcome::SubmitOutcome;
pub use waiting_outcome::WaitingOutcome;
