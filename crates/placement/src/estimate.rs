//! Room that tasks really need.
//!
//! Declared sizes are far from the truth. A [`SizeBook`] learns from usage
//! reports what the tasks of each job and customer use of what they declared,
//! as a [`RatioHistogram`] for each dimension, and answers with a
//! [`SizeEstimate`] that tells its [`SizeBasis`]. Margins come from an
//! [`EstimatePolicy`].

mod estimate_policy;
mod ratio_histogram;
mod size_basis;
mod size_book;
mod size_estimate;
mod usage_history;

pub use estimate_policy::EstimatePolicy;
pub use ratio_histogram::RatioHistogram;
pub use size_basis::SizeBasis;
pub use size_book::SizeBook;
pub use size_estimate::SizeEstimate;
