//! What the owner knows of a worker.
//!
//! The list of workers gives a [`WorkerEntry`] for each, and changes as
//! [`WorkerEvent`]s. A [`WorkerView`] is what the owner has learnt of one: its
//! [`RunEntry`]s, each in a [`RunStanding`], its [`WorkerClock`] and its
//! [`WorkerTrust`]. A look at a worker comes back as a [`LookOutcome`] with a
//! [`LookAnswer`] of [`RunningRun`]s and [`EndedRun`]s, which ended in an
//! [`EndKind`]. Orders come back as a [`StartOutcome`] or a [`StopOutcome`].

mod end_kind;
mod ended_run;
mod look_answer;
mod look_outcome;
mod run_entry;
mod run_standing;
mod running_run;
mod start_outcome;
mod stop_outcome;
mod worker_clock;
mod worker_entry;
mod worker_event;
mod worker_trust;
mod worker_view;

pub use end_kind::EndKind;
pub use ended_run::EndedRun;
pub use look_answer::LookAnswer;
pub use look_outcome::LookOutcome;
pub use run_entry::RunEntry;
pub use run_standing::RunStanding;
pub use running_run::RunningRun;
pub use start_outcome::StartOutcome;
pub use stop_outcome::StopOutcome;
pub use worker_clock::WorkerClock;
pub use worker_entry::WorkerEntry;
pub use worker_event::WorkerEvent;
pub use worker_trust::WorkerTrust;
pub use worker_view::WorkerView;
