//! Estimates of the resources that tasks need.
//!
//! Declared sizes are often far from the actual usage. A [`SizeEstimator`] keeps a
//! [`RatioHistogram`] of used to declared resources for each job and customer,
//! fed by usage reports, and returns a [`SizeEstimate`] with its
//! [`EstimateBasis`]. An [`EstimatePolicy`] sets percentiles and safety margins.

mod estimate_basis;
mod estimate_policy;
mod ratio_histogram;
mod size_estimate;
mod size_estimator;
mod usage_history;

pub use estimate_basis::EstimateBasis;
pub use estimate_policy::EstimatePolicy;
pub use ratio_histogram::RatioHistogram;
pub use size_estimate::SizeEstimate;
pub use size_estimator::SizeEstimator;
