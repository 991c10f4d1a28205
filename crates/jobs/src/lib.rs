//! Scheduler for jobs of several steps: their state, their owner, and the placement of
//! their tasks on workers.
//!
//! A caller submits a [`JobSpec`]: steps of identical tasks, with dependencies between
//! the steps. Its queue has a [`QueuePolicy`] in the [`DeployedConfig`]. The durable
//! state of a job is its [`JobProgress`]; everything else is recovered by polling the
//! workers.
//!
//! Workers are divided into cells of whole racks by a [`CellLayout`]. At any time one daemon
//! owns all jobs and workers of a cell. Its [`JobOwner`] receives
//! jobs, cancellations, changes to the list of workers and the responses of workers, and
//! decides which task starts where. It emits changed state as a [`CommitBatch`], and
//! releases an [`OwnerEffect`] only after the batch that the effect depends on is stored.
//! A long-running task that finds no worker in its cell is run by another cell's owner, by a
//! [`TaskTransfer`].
//!
//! The owner's epoch is the fencing token at workers. Runs hold a lease that ends on the
//! worker's clock, which a [`WorkerClock`] estimates. An assigned task is given to another
//! worker only when its run is known to have ended, when the worker has confirmed that it
//! will never start it, or when its lease has certainly expired.
//!
//! This crate does no I/O, reads no clock and draws no random numbers.

mod advice;
mod division;
mod owner;
mod pacing;
mod planner;
mod policy;
mod progress;
mod spec;
mod worker;

pub use advice::AdviceCache;
pub use advice::AdviceOutcome;
pub use advice::AdviceRequest;
pub use advice::AdvisorTiming;
pub use advice::PlacementTicket;
pub use advice::StepIdentity;
pub use division::CellChoice;
pub use division::CellLayout;
pub use division::CellLoad;
pub use division::CellReport;
pub use division::FleetDivision;
pub use division::JobNeed;
pub use division::RackSize;
pub use division::RestartNeed;
pub use division::ServiceRoom;
pub use division::VacancyCensus;
pub use division::VacancyTable;
pub use division::WorkerVacancy;
pub use owner::CommitBatch;
pub use owner::DecisionEvent;
pub use owner::DelegatedTask;
pub use owner::GuestRemoval;
pub use owner::IdleTask;
pub use owner::JobMove;
pub use owner::JobOwner;
pub use owner::JobPlace;
pub use owner::JobTransfer;
pub use owner::LearntCoefficient;
pub use owner::LearntTables;
pub use owner::LeaseBounds;
pub use owner::OwnerEffect;
pub use owner::OwnerLimits;
pub use owner::PaceRequest;
pub use owner::PollRequest;
pub use owner::QueueCount;
pub use owner::ReturnedTask;
pub use owner::RunCause;
pub use owner::StartRequest;
pub use owner::StopCause;
pub use owner::StopRequest;
pub use owner::StoredJob;
pub use owner::TaskTransfer;
pub use owner::UnappliedEnd;
pub use owner::WaitCauses;
pub use pacing::BestEffortRun;
pub use pacing::ImageNumber;
pub use pacing::ImageTable;
pub use pacing::InterferenceModel;
pub use pacing::PaceAction;
pub use pacing::PacePlan;
pub use pacing::PairEstimate;
pub use pacing::ServingRun;
pub use planner::DurationEstimator;
pub use planner::JobUrgency;
pub use planner::PlacementCensus;
pub use planner::RoomRefusal;
pub use planner::RunHistory;
pub use planner::SpareWorkers;
pub use planner::TaskDemand;
pub use planner::UnplacedDemands;
pub use planner::UrgencyClass;
pub use planner::WorkerScorer;
pub use policy::CallerLimits;
pub use policy::DeployedConfig;
pub use policy::OperatorEvent;
pub use policy::QueuePolicy;
pub use policy::RouteMatch;
pub use policy::ServicePolicy;
pub use progress::Assignment;
pub use progress::JobProgress;
pub use progress::JobStanding;
pub use progress::OccurrenceProgress;
pub use progress::StepProgress;
pub use progress::TaskProgress;
pub use progress::TaskStage;
pub use spec::JobIdentity;
pub use spec::JobSpec;
pub use spec::JobSpecError;
pub use spec::QueueTerms;
pub use spec::RepeatRule;
pub use spec::ResourceVector;
pub use spec::StepSpec;
pub use spec::TaskIdentity;
pub use worker::EndKind;
pub use worker::EndList;
pub use worker::EndPosition;
pub use worker::EndedRun;
pub use worker::KnownIncarnation;
pub use worker::LeaseGrant;
pub use worker::PollOutcome;
pub use worker::PollResponse;
pub use worker::RunEntry;
pub use worker::RunState;
pub use worker::RunningRun;
pub use worker::StartOutcome;
pub use worker::StopOutcome;
pub use worker::TrackedWorker;
pub use worker::WorkerBreaker;
pub use worker::WorkerClock;
pub use worker::WorkerEntry;
pub use worker::WorkerEvent;
pub use worker::WorkerIncarnation;
pub use worker::WorkerSilence;
