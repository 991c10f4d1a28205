//! Bad workers told from bad jobs.
//!
//! A [`FailureBook`] takes the outcome of each attempt. Several different jobs
//! that fail on one worker, without a success between, speak against the
//! worker; a job that fails on several workers speaks against the job. Its
//! answer is a [`FailureVerdict`]. A worker's [`WorkerStanding`] goes through
//! a [`StandingCycle`]: trusted, set aside, on probation with one task at a
//! time, and trusted again. Jobs come back after [`retry_delay_ms`].

mod failure_book;
mod failure_note;
mod failure_verdict;
mod probation_phase;
mod retry_delay;
mod set_aside_phase;
mod standing_cycle;
mod trusted_phase;
mod worker_standing;

pub use failure_book::FailureBook;
pub use failure_note::FailureNote;
pub use failure_verdict::FailureVerdict;
pub use probation_phase::ProbationPhase;
pub use retry_delay::retry_delay_ms;
pub use set_aside_phase::SetAsidePhase;
pub use standing_cycle::StandingCycle;
pub use trusted_phase::TrustedPhase;
pub use worker_standing::WorkerStanding;
