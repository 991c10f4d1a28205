//! JSON bodies of the HTTP calls to a daemon's operator port.
//!
//! | call | request body | response body |
//! | --- | --- | --- |
//! | `GET /v1/status` | | [`DaemonStatus`] |
//! | `GET /v1/vms` | | [`VmListing`] |
//! | `GET /v1/document` | | [`DocumentView`] |
//! | `PUT /v1/document` | [`DocumentChange`] | [`DocumentAccepted`] |
//! | `POST /v1/zones/{zone}` | [`ZoneChange`] | [`DocumentAccepted`] |
//! | `POST /v1/jobs` | [`JobSubmission`] | [`JobView`] |
//! | `GET /v1/jobs` | | list of [`JobSummary`] |
//! | `GET /v1/jobs/{job}` | | [`JobView`] |
//! | `POST /v1/jobs/{job}/cancel` | | [`JobView`] |
//! | `GET /v1/explain/{job}`, `GET /v1/explain/{job}/{index}` | | [`Explanation`] |
//! | `GET /v1/dump` | | the daemon's full state, JSON without a fixed schema |
//! | `GET /metrics`, `GET /health`, `GET /ready` | | text |
//!
//! Status 200 means that the call succeeded. A change of the document can fail with
//! 409 and a [`DocumentConflict`] or 422 and a [`DocumentRefused`]; a submission
//! under the name of a different job fails with 409 and a [`JobConflict`]. None of
//! these changes any state. Every other status has a [`CallRefusal`] as its body,
//! which states whether the call was not run (400, 401, 404, 405, 408, 413,
//! 429, 503) or its outcome is unknown (504).
//!
//! [`DaemonStatus`] lists a [`WorkerPressure`] for each worker that shares its
//! machine with a service whose requests were measured.
//!
//! Calls that change state (`PUT` and `POST`) send the [`OperatorToken`] as
//! `Authorization: Bearer TOKEN`; without it they fail with 401.
//! [`StoredDocument`] is the document's row in the store. It lists the latest
//! [`RecordedChange`]s, from which the [`WriteStatus`] of a write whose response was
//! lost is determined.

mod author_name;
mod call_refusal;
mod daemon_phase;
mod daemon_status;
mod document_accepted;
mod document_change;
mod document_conflict;
mod document_refused;
mod document_view;
mod entry_fault;
mod explanation;
mod job_conflict;
mod job_state;
mod job_submission;
mod job_summary;
mod job_view;
mod member_status;
mod operator_token;
mod owned_cell;
mod queue_status;
mod recorded_change;
mod service_status;
mod stored_document;
mod task_state;
mod task_view;
mod unix_time;
mod vm_listing;
mod worker_pressure;
mod write_status;
mod zone_change;
mod zone_status;

pub use author_name::AUTHOR_BYTES_MAX;
pub use author_name::AuthorName;
pub use call_refusal::CallRefusal;
pub use daemon_phase::DaemonPhase;
pub use daemon_status::DaemonStatus;
pub use document_accepted::DocumentAccepted;
pub use document_change::DocumentChange;
pub use document_conflict::DocumentConflict;
pub use document_refused::DocumentRefused;
pub use document_view::DocumentView;
pub use entry_fault::EntryFault;
pub use explanation::Explanation;
pub use job_conflict::JobConflict;
pub use job_state::JobState;
pub use job_submission::JobSubmission;
pub use job_summary::JobSummary;
pub use job_view::JobView;
pub use member_status::MemberStatus;
pub use operator_token::OperatorToken;
pub use operator_token::TOKEN_BYTES_MIN;
pub use owned_cell::OwnedCell;
pub use queue_status::QueueStatus;
pub use recorded_change::RecordedChange;
pub use service_status::ServiceStatus;
pub use stored_document::RECENT_CHANGES_MAX;
pub use stored_document::StoredDocument;
pub use task_state::TaskState;
pub use task_view::TaskView;
pub use unix_time::UnixTime;
pub use vm_listing::VmListing;
pub use worker_pressure::WorkerPressure;
pub use write_status::WriteStatus;
pub use zone_change::ZoneChange;
pub use zone_status::ZoneStatus;
