//! Non-blocking logging.
//!
//! Lines go through a bounded [`LogQueue`] to a writer thread. A [`LogLimiter`] bounds
//! the lines per second; dropped lines are counted and reported.

mod log_entry;
mod log_limiter;
mod log_line;
mod log_queue;

pub use log_limiter::LogLimiter;
pub use log_queue::LogQueue;

pub(crate) use log_line::LogLine;
