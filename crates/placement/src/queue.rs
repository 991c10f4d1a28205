//! The order in which waiting jobs are placed.
//!
//! A [`TaskQueue`] holds [`WaitingJob`]s sorted by [`QueueKey`]. In each planning
//! round a [`QueuePass`] iterates over it: urgent jobs first, then the customer
//! with the smallest weighted dominant share, and within a customer the oldest
//! job. A job that cannot be placed is skipped, so that it does not block the
//! others. After [`RESERVE_AFTER_MS`] a worker is reserved for it, selected by
//! [`choose_reserved_worker`], so that smaller jobs do not starve it.

mod customer_cursor;
mod queue_key;
mod queue_pass;
mod refused_sizes;
mod reserved_worker;
mod task_queue;
mod waiting_job;

pub use queue_key::QueueKey;
pub use queue_pass::QueuePass;
pub use reserved_worker::RESERVE_AFTER_MS;
pub use reserved_worker::choose_reserved_worker;
pub use task_queue::TaskQueue;
pub use waiting_job::WaitingJob;
