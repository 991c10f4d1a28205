//! Moving tasks out of a zone that is being drained.
//!
//! [`drain_order`] sorts the [`DrainTask`]s of the zone by the work saved for each
//! byte sent. A [`LinkPacer`] limits the bandwidth used for their checkpoints.

mod drain_order;
mod drain_step;
mod drain_task;
mod link_pacer;

pub use drain_order::drain_order;
pub use drain_step::DrainStep;
pub use drain_task::DrainTask;
pub use link_pacer::LinkPacer;
