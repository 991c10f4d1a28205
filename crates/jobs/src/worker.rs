//! The owner's view of a worker.
//!
//! The list of workers has a [`WorkerEntry`] for each, and changes by [`WorkerEvent`]s. A
//! [`TrackedWorker`] is what the owner knows about one: its [`RunEntry`]s, each in a
//! [`RunState`], its [`WorkerBreaker`], its [`WorkerSilence`] while it does not respond, its
//! [`LeaseGrant`], and its [`KnownIncarnation`], which has the [`WorkerClock`] and the
//! [`EndPosition`] of the [`WorkerIncarnation`] that responded last. Polling a worker gives a
//! [`PollOutcome`]; the [`PollResponse`] in it lists [`RunningRun`]s and, in an
//! [`EndList`], [`EndedRun`]s with an [`EndKind`]. Requests to start and stop runs give a
//! [`StartOutcome`] or a [`StopOutcome`].

mod end_kind;
mod end_list;
mod end_position;
mod ended_run;
mod known_incarnation;
mod lease_grant;
mod poll_outcome;
mod poll_response;
mod run_entry;
mod run_state;
mod running_run;
mod start_outcome;
mod stop_outcome;
mod tracked_worker;
mod worker_breaker;
mod worker_clock;
mod worker_entry;
mod worker_event;
mod worker_incarnation;
mod worker_silence;

pub use end_kind::EndKind;
pub use end_list::EndList;
pub use end_position::EndPosition;
pub use ended_run::EndedRun;
pub use known_incarnation::KnownIncarnation;
pub use lease_grant::LeaseGrant;
pub use poll_outcome::PollOutcome;
pub use poll_response::PollResponse;
pub use run_entry::RunEntry;
pub use run_state::RunState;
pub use running_run::RunningRun;
pub use start_outcome::StartOutcome;
pub use stop_outcome::StopOutcome;
pub use tracked_worker::TrackedWorker;
pub use worker_breaker::WorkerBreaker;
pub use worker_clock::WorkerClock;
pub use worker_entry::WorkerEntry;
pub use worker_event::WorkerEvent;
pub use worker_incarnation::WorkerIncarnation;
pub use worker_silence::WorkerSilence;
