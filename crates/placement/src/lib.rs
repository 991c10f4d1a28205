//! Choice of a worker for each batch task.
//!
//! All functions are deterministic and do no I/O: the caller passes in the time.
//! [`choose_worker`] takes a [`PlacementRequest`], a borrowed view of a waiting
//! task, and a [`CandidateWorker`] for each worker of the cell. It filters the
//! workers by the limits of a [`PlacementPolicy`], picks the one with the lowest
//! cost, and returns a [`PlacementChoice`] or a [`PlacementRefusal`], both of
//! which can be shown to the user. The caller then reserves the capacity with
//! [`CandidateWorker::allocate`], which panics if it is not free.
//!
//! The other modules support this choice. A [`QueuePass`] over the [`TaskQueue`]
//! determines which task to place next. A [`SizeEstimator`] estimates the
//! resources that a task needs. A [`SlowdownModel`] and a [`PressureState`]
//! for each worker handle tasks that slow each other down. A [`FailureHistory`]
//! and a [`WorkerHealth`] distinguish faulty workers from faulty jobs.
//! [`choose_victims`] preempts tasks in favour of urgent ones. [`drain_order`]
//! and [`LinkPacer`] move the tasks out of a zone that is being drained.

mod capacity;
mod choice;
mod colocation;
mod drain;
mod estimate;
mod health;
mod preemption;
mod queue;

pub use capacity::CandidateWorker;
pub use capacity::PlacementPolicy;
pub use capacity::SizeDimension;
pub use capacity::UsageSample;
pub use choice::ChoiceReason;
pub use choice::CustomerQuota;
pub use choice::PlacedTasks;
pub use choice::PlacementChoice;
pub use choice::PlacementRefusal;
pub use choice::PlacementRequest;
pub use choice::choose_worker;
pub use colocation::PressureAction;
pub use colocation::PressureCycle;
pub use colocation::PressurePolicy;
pub use colocation::PressureState;
pub use colocation::PressureTask;
pub use colocation::SlowdownModel;
pub use colocation::SlowdownSample;
pub use colocation::ThrottledPhase;
pub use colocation::UnthrottledPhase;
pub use colocation::choose_pressure_target;
pub use colocation::release_steps;
pub use drain::DrainStep;
pub use drain::DrainTask;
pub use drain::LinkPacer;
pub use drain::drain_order;
pub use estimate::EstimateBasis;
pub use estimate::EstimatePolicy;
pub use estimate::RatioHistogram;
pub use estimate::SizeEstimate;
pub use estimate::SizeEstimator;
pub use health::FailureHistory;
pub use health::FailureRecord;
pub use health::FailureVerdict;
pub use health::HealthCycle;
pub use health::HealthyPhase;
pub use health::ProbationPhase;
pub use health::QuarantinedPhase;
pub use health::WorkerHealth;
pub use health::retry_delay_ms;
pub use preemption::RunningTask;
pub use preemption::VictimChoice;
pub use preemption::choose_victims;
pub use queue::QueueKey;
pub use queue::QueuePass;
pub use queue::RESERVE_AFTER_MS;
pub use queue::TaskQueue;
pub use queue::WaitingJob;
pub use queue::choose_reserved_worker;
