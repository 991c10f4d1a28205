//! Capacity of workers.
//!
//! A [`CandidateWorker`] holds the size of a worker, the resources allocated to
//! task attempts on it, and its last [`UsageSample`]. A [`PlacementPolicy`] limits
//! how much may be allocated. A [`SizeDimension`] names the resource that a task
//! exceeds.

mod candidate_worker;
mod placement_policy;
mod size_dimension;
mod usage_sample;

pub use candidate_worker::CandidateWorker;
pub use placement_policy::PlacementPolicy;
pub(crate) use placement_policy::WHOLE_PERMILLE;
pub use size_dimension::SizeDimension;
pub use usage_sample::UsageSample;
