//! What callers hand in.
//!
//! A [`JobOrder`] is named by a [`JobIdentity`] and made of [`StepOrder`]s, each of
//! equal tasks of one [`TaskSize`]. A [`RepeatRule`] has the steps run several
//! times. A [`TaskAddress`] names one task. [`QueueTerms`] are what the queue
//! promised when the order was taken.

mod job_identity;
mod job_order;
mod order_fault;
mod queue_terms;
mod repeat_rule;
mod step_order;
mod task_address;
mod task_size;

pub use job_identity::JobIdentity;
pub use job_order::JobOrder;
pub use order_fault::OrderFault;
pub use queue_terms::QueueTerms;
pub use repeat_rule::RepeatRule;
pub use step_order::StepOrder;
pub use task_address::TaskAddress;
pub use task_size::TaskSize;
