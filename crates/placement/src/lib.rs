//! Choice of a worker for each batch task.
//!
//! Pure decisions: time and random numbers are passed in. The flow of one
//! placement begins with a [`PlacementRequest`], a borrowed view of a waiting
//! task, and the [`WorkerRoom`] of each worker of the cell. [`choose_worker`]
//! checks the hard dimensions under a [`RoomPolicy`], ranks the workers that
//! have room, and answers with a [`PlacementChoice`] or a
//! [`PlacementRefusal`]. Both explain themselves. The caller then calls
//! [`WorkerRoom::give`], which asserts that the room is there.
//!
//! Around that one choice: a [`QueuePass`] over the [`TaskQueue`] says which
//! task is next; a [`SizeBook`] turns declared sizes into estimates; a
//! [`NoiseBook`] and a [`PressureState`] for each worker deal with tasks that
//! disturb each other; a [`FailureBook`] and a [`WorkerStanding`] tell bad
//! workers from bad jobs; [`choose_victims`] makes room for urgent work; and
//! [`drain_order`] and [`LinkPacer`] empty a zone that leaves.

mod choice;
mod colocation;
mod drain;
mod estimate;
mod preemption;
mod queue;
mod room;
mod standing;

pub use choice::ChoiceReason;
pub use choice::CustomerRoom;
pub use choice::PlacedTasks;
pub use choice::PlacementChoice;
pub use choice::PlacementRefusal;
pub use choice::PlacementRequest;
pub use choice::choose_worker;
pub use colocation::CalmPhase;
pub use colocation::NoiseBook;
pub use colocation::PressureAction;
pub use colocation::PressureCycle;
pub use colocation::PressurePolicy;
pub use colocation::PressureState;
pub use colocation::PressureTask;
pub use colocation::SlowdownSample;
pub use colocation::ThrottledPhase;
pub use colocation::choose_pressed;
pub use colocation::throttle_steps;
pub use drain::DrainStep;
pub use drain::DrainTask;
pub use drain::LinkPacer;
pub use drain::drain_order;
pub use estimate::EstimatePolicy;
pub use estimate::RatioHistogram;
pub use estimate::SizeBasis;
pub use estimate::SizeBook;
pub use estimate::SizeEstimate;
pub use preemption::RunningTask;
pub use preemption::VictimChoice;
pub use preemption::choose_victims;
pub use queue::HOLD_AFTER_MS;
pub use queue::OrderKey;
pub use queue::QueuePass;
pub use queue::TaskQueue;
pub use queue::WaitingJob;
pub use queue::choose_held_worker;
pub use room::RoomPolicy;
pub use room::SizeDimension;
pub use room::UsageMeasure;
pub use room::WorkerRoom;
pub use standing::FailureBook;
pub use standing::FailureNote;
pub use standing::FailureVerdict;
pub use standing::ProbationPhase;
pub use standing::SetAsidePhase;
pub use standing::StandingCycle;
pub use standing::TrustedPhase;
pub use standing::WorkerStanding;
pub use standing::retry_delay_ms;
