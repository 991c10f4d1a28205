//! Bodies of the HTTP calls to workers.
//!
//! `POST /v1/session` takes a [`SessionRequest`] and answers a
//! [`SessionReport`]; `POST /v1/start` takes a [`TaskStart`]; `POST /v1/stop`
//! takes a [`TaskStop`]; `POST /v1/throttle` takes a [`TaskThrottle`]. Status
//! 200 means done, status 409 comes with a [`WorkerRefusal`] and means that
//! nothing was done. A renewed session voids every permit given before it, and
//! no permit is given twice, also not by a later life of the worker's program.
//!
//! A request names the report that the owner has whole, by the permit that came
//! with it, as a [`KnownReport`]. The worker then answers with the attempts
//! that are new or have changed since and with those that it has forgotten, an
//! [`AttemptName`] each, and how many there are in all. It answers with all of
//! them when the named report was of another life, was given under another
//! epoch, or is too old. An attempt has changed when its phase has, when its
//! checkpoint is [`CHECKPOINT_STEP_MS`] later than the one reported last, or
//! when its usage moved by a twentieth of what it was.
//!
//! What the owner of a cell decides becomes a body by `of`, and what a worker
//! answers becomes what the owner takes in by `From`; the owner knows no body.

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
