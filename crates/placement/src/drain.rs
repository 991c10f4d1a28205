//! A zone that leaves and returns.
//!
//! [`drain_order`] ranks the [`DrainTask`]s of a leaving zone: cheapest to
//! move and dearest to lose first. A [`LinkPacer`] spends a bounded part of
//! the link on their checkpoints.

mod drain_order;
mod drain_step;
mod drain_task;
mod link_pacer;

pub use drain_order::drain_order;
pub use drain_step::DrainStep;
pub use drain_task::DrainTask;
pub use link_pacer::LinkPacer;
