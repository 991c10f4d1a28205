//! The operations behind the commands, without parsing and output.
//!
//! [`read_view`] reads one view, such as a job. [`change_document`], [`set_zone_state`],
//! [`submit_job`] and [`cancel_job`] change something; when the outcome of the request
//! is unknown, for example because the response was lost, they read the state back to
//! find out whether the change was made. [`watch_job`] polls a job until it ends.
//! The error of every operation is an [`OperationError`].

mod cancel_job;
mod change_document;
mod interpret_response;
mod operation_error;
mod poll_settings;
mod read_view;
mod set_zone_state;
mod submit_job;
mod watch_job;

pub use cancel_job::cancel_job;
pub use change_document::change_document;
pub use operation_error::OperationError;
pub use poll_settings::PollSettings;
pub use read_view::read_view;
pub use set_zone_state::set_zone_state;
pub use submit_job::submit_job;
pub use watch_job::watch_job;
