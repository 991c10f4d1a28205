//! What operators can ask, apart from how it is parsed and shown.
//!
//! [`read_view`] reads one view. [`change_document`], [`set_zone`],
//! [`submit_job`] and [`cancel_job`] change something, and settle a lost answer
//! by reading back. [`watch_job`] follows a job to its end. What was not done is
//! an [`OperationFault`].

mod cancel_job;
mod change_document;
mod judge_answer;
mod operation_fault;
mod read_view;
mod set_zone;
mod submit_job;
mod watch_job;
mod watch_pace;

pub use cancel_job::cancel_job;
pub use change_document::change_document;
pub use operation_fault::OperationFault;
pub use read_view::read_view;
pub use set_zone::set_zone;
pub use submit_job::submit_job;
pub use watch_job::watch_job;
pub use watch_pace::WatchPace;
