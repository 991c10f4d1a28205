//! Takes what callers want.
//!
//! A [`JobDesk`] has jobs and cancellations stored and reads how jobs stand, without
//! the owner: what it says is as lasting as the store. Its answers are an
//! [`AcceptOutcome`], a [`CancelOutcome`], a [`StateOutcome`] and a
//! [`WaitingOutcome`].

mod accept_outcome;
mod cancel_outcome;
mod job_desk;
mod state_outcome;
mod waiting_outcome;

pub use accept_outcome::AcceptOutcome;
pub use cancel_outcome::CancelOutcome;
pub use job_desk::JobDesk;
pub use state_outcome::StateOutcome;
pub use waiting_outcome::WaitingOutcome;
