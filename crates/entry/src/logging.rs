//! Logs that never hold the daemon up.
//!
//! Lines go through a bounded [`LogQueue`] to a thread that writes them. A
//! [`LogBudget`] bounds how many a second; what was held back is counted and told.

mod log_budget;
mod log_line;
mod log_queue;

pub use log_budget::LogBudget;
pub use log_queue::LogQueue;

pub(crate) use log_line::LogLine;
