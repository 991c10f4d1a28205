//! Jobs of several steps: their state, their owner, and where their tasks start.
//!
//! A caller hands a [`JobOrder`] in: steps of many equal tasks, which wait for
//! each other. Its queue has a [`QueuePolicy`] in the [`DeployedConfig`]. What
//! lasts of a job is its [`JobRecord`]; everything else is found again by looking
//! at the workers.
//!
//! One daemon owns all jobs and workers of a cell at a time. Its [`JobOwner`]
//! takes orders, cancellations, changes of the list of workers and the answers of
//! workers, and decides which task starts where. It gives the records that
//! changed as a [`CommitBatch`], and lets an [`OwnerEffect`] out only after the
//! batch that it rests on was stored.
//!
//! A worker is fenced by the owner's epoch and runs tasks under a lease that ends
//! on its own clock, which a [`WorkerClock`] follows. An assigned task is given to
//! another worker only when its run was seen to end, when the worker has promised
//! never to start it, or when its lease has surely ended.
//!
//! Nothing here does I/O, reads a clock or draws a random number.

mod advice;
mod order;
mod owner;
mod pacing;
mod planner;
mod policy;
mod state;
mod worker;

pub use advice::AdviceBook;
pub use advice::AdviceOrder;
pub use advice::AdviceOutcome;
pub use advice::AdviceTerms;
pub use advice::PlacementTicket;
pub use advice::StepAddress;
pub use order::JobIdentity;
pub use order::JobOrder;
pub use order::OrderFault;
pub use order::QueueTerms;
pub use order::RepeatRule;
pub use order::StepOrder;
pub use order::TaskAddress;
pub use order::TaskSize;
pub use owner::CommitBatch;
pub use owner::DecisionNote;
pub use owner::JobOwner;
pub use owner::LearntTables;
pub use owner::LookOrder;
pub use owner::OwnerEffect;
pub use owner::OwnerLimits;
pub use owner::PaceOrder;
pub use owner::QueueCount;
pub use owner::RunCause;
pub use owner::StartOrder;
pub use owner::StopOrder;
pub use owner::StoredJob;
pub use pacing::DisturbanceBook;
pub use pacing::FillingRun;
pub use pacing::ImageNumber;
pub use pacing::ImageTable;
pub use pacing::PacePlan;
pub use pacing::PaceStep;
pub use pacing::ServingRun;
pub use planner::DurationBook;
pub use planner::JobUrgency;
pub use planner::TaskDemand;
pub use planner::UnplacedDemands;
pub use planner::UrgencyClass;
pub use planner::WorkerChoice;
pub use policy::CallerLimits;
pub use policy::DeployedConfig;
pub use policy::OperatorEvent;
pub use policy::QueuePolicy;
pub use policy::RouteMatch;
pub use policy::ServicePolicy;
pub use state::Assignment;
pub use state::JobRecord;
pub use state::JobStanding;
pub use state::OccurrenceRecord;
pub use state::StepRecord;
pub use state::TaskPhase;
pub use state::TaskRecord;
pub use worker::EndKind;
pub use worker::EndedRun;
pub use worker::LookAnswer;
pub use worker::LookOutcome;
pub use worker::RunEntry;
pub use worker::RunStanding;
pub use worker::RunningRun;
pub use worker::StartOutcome;
pub use worker::StopOutcome;
pub use worker::WorkerClock;
pub use worker::WorkerEntry;
pub use worker::WorkerEvent;
pub use worker::WorkerTrust;
pub use worker::WorkerView;
