//! Bodies of the HTTP calls to a daemon's operator port, JSON.
//!
//! | call | body | answer |
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
//! | `GET /v1/dump` | | the daemon's whole state, a free form JSON value |
//! | `GET /metrics`, `GET /health`, `GET /ready` | | text |
//!
//! Status 200 means done. A change of the document answers 409 with a
//! [`DocumentConflict`] or 422 with a [`DocumentRefused`]; a submission under a
//! name that is taken answers 409 with a [`JobConflict`]. In each of these
//! nothing was done. Every other status comes with a [`CallRefusal`], which says
//! whether the call was not run (400, 401, 404, 413, 503) or its outcome is
//! unknown (504).
//!
//! The status names each worker beside which requests were measured, a
//! [`WorkerPressure`] each.
//!
//! Calls that change state (`PUT` and `POST`) carry the [`OperatorToken`] as
//! `Authorization: Bearer TOKEN`; without it they are answered 401.
//! [`StoredDocument`] is what the store holds of the document, with the latest
//! [`RecordedChange`]s, which tell the [`WriteFate`] of a write whose answer was
//! lost.

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
mod write_fate;
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
pub use write_fate::WriteFate;
pub use zone_change::ZoneChange;
pub use zone_status::ZoneStatus;
