//! Bodies of the HTTP calls to workers.
//!
//! `POST /v1/session` takes a [`SessionRequest`] and answers a
//! [`SessionReport`]; `POST /v1/start` takes a [`TaskStart`]; `POST /v1/stop`
//! takes a [`TaskStop`]; `POST /v1/throttle` takes a [`TaskThrottle`]. Status
//! 200 means done, status 409 comes with a [`WorkerRefusal`] and means that
//! nothing was done. A renewed session voids every permit given before it.

mod session_report;
mod session_request;
mod task_phase;
mod task_report;
mod task_settled;
mod task_start;
mod task_stop;
mod task_throttle;
mod worker_refusal;

pub use session_report::SessionReport;
pub use session_request::SessionRequest;
pub use task_phase::TaskPhase;
pub use task_report::TaskReport;
pub use task_settled::TaskSettled;
pub use task_start::TaskStart;
pub use task_stop::TaskStop;
pub use task_throttle::TaskThrottle;
pub use worker_refusal::WorkerRefusal;
