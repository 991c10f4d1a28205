//! JSON bodies of the HTTP calls to workers.
//!
//! | call | request body | response body |
//! | --- | --- | --- |
//! | `POST /v1/session` | [`SessionRequest`] | [`SessionReport`] |
//! | `POST /v1/start` | [`TaskStart`] | |
//! | `POST /v1/stop` | [`TaskStop`] | |
//! | `POST /v1/throttle` | [`TaskThrottle`] | |
//!
//! Status 200 means that the call succeeded. Status 409 means that nothing was done;
//! its body is a [`WorkerRefusal`].
//!
//! Renewing a session issues a new permit and invalidates all earlier ones. A permit
//! is never issued twice, not even after a restart of the worker's process.
//!
//! Reports are incremental. A request names the last report that the owner has
//! applied completely, a [`KnownReport`], identified by the permit that came with it.
//! The worker responds with the attempts that are new or have changed since, with an
//! [`AttemptName`] for each attempt that it has forgotten, and with the total number
//! of attempts. It reports all attempts when the named report was given by another
//! incarnation or under another epoch, or is too old. An attempt has changed when its
//! phase has changed, when its checkpoint is at least [`CHECKPOINT_STEP_MS`] later
//! than the one last reported, or when its usage has changed by more than a twentieth.
//!
//! The owner of a cell does not depend on these types: its decisions are converted to
//! bodies by the `of` functions, and reports are converted to its input types by
//! `From`.

mod attempt_name;
mod known_report;
mod session_report;
mod session_request;
mod task_phase;
mod task_report;
mod task_settled;
mod task_start;
mod task_stop;
mod task_throttle;
mod worker_refusal;

pub use attempt_name::AttemptName;
pub use known_report::KnownReport;
pub use session_report::SessionReport;
pub use session_request::SessionRequest;
pub use task_phase::TaskPhase;
pub use task_report::CHECKPOINT_STEP_MS;
pub use task_report::TaskReport;
pub use task_settled::TaskSettled;
pub use task_start::TaskStart;
pub use task_stop::TaskStop;
pub use task_throttle::TaskThrottle;
pub use worker_refusal::WorkerRefusal;
