//! The order in which waiting jobs are tried.
//!
//! A [`TaskQueue`] holds [`WaitingJob`]s by [`OrderKey`]. Each round a
//! [`QueuePass`] walks it: urgent jobs first, then the customer with the
//! smallest weighted dominant share, and within a customer the oldest job. A
//! job without room is passed over, so that it does not block the others; when
//! it has waited long, [`choose_held_worker`] keeps a worker for it.

mod customer_cursor;
mod held_worker;
mod order_key;
mod queue_pass;
mod refused_sizes;
mod task_queue;
mod waiting_job;

pub use held_worker::HOLD_AFTER_MS;
pub use held_worker::choose_held_worker;
pub use order_key::OrderKey;
pub use queue_pass::QueuePass;
pub use task_queue::TaskQueue;
pub use waiting_job::WaitingJob;
