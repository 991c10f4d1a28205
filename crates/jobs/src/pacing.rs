//! Throttling of best-effort tasks that share workers with latency-sensitive tasks.
//!
//! Tasks of one image have the same load profile, so an [`ImageTable`] gives each image an
//! [`ImageNumber`]. An [`InterferenceModel`] learns from the measurements of all workers
//! how much load one image adds to another; a [`ServingRun`] and a [`BestEffortRun`] are
//! its views of runs that share a worker. A [`PacePlan`] computes which of them are slowed
//! down, sped up or moved to another worker.

mod best_effort_run;
mod image_number;
mod image_table;
mod interference_model;
mod pace_action;
mod pace_plan;
mod pair_estimate;
mod serving_run;

pub use best_effort_run::BestEffortRun;
pub use image_number::ImageNumber;
pub use image_table::ImageTable;
pub use interference_model::InterferenceModel;
pub use pace_action::PaceAction;
pub use pace_plan::PacePlan;
pub use pair_estimate::PairEstimate;
pub use serving_run::ServingRun;
