//! Selection of the next task to start, and of its worker.
//!
//! A [`DurationEstimator`] learns how long tasks run. From that, the [`JobUrgency`] of a
//! job is computed: whether it can still meet its completion objective, as an
//! [`UrgencyClass`], and by how much. A [`TaskDemand`] is a borrowed view of a task that
//! can start. A [`WorkerScorer`] scores workers for it, of which [`SpareWorkers`] says how
//! many are left for which tasks; [`UnplacedDemands`] tells which tasks need not be tried, by
//! an [`UnplacedSize`] for each that was.

mod duration_estimator;
mod job_urgency;
mod placement_census;
mod room_refusal;
mod run_history;
mod spare_workers;
mod task_demand;
mod unplaced_demands;
mod unplaced_size;
mod urgency_class;
mod worker_scorer;

pub use duration_estimator::DurationEstimator;
pub use job_urgency::JobUrgency;
pub use placement_census::PlacementCensus;
pub use room_refusal::RoomRefusal;
pub use run_history::RunHistory;
pub use spare_workers::SpareWorkers;
pub use task_demand::TaskDemand;
pub use unplaced_demands::UnplacedDemands;
pub use urgency_class::UrgencyClass;
pub use worker_scorer::WorkerScorer;

pub(crate) use unplaced_size::UnplacedSize;
