//! Election of the owner of the jobs, and what the owner does.
//!
//! An [`OwnerElection`] reads the [`OwnershipRow`](crate::store::OwnershipRow). An
//! [`OwnerMonitor`] tells from it by a [`ClaimDecision`] when to claim the ownership; a
//! [`ClaimDelay`] lets daemons with more processor time claim first. A successful claim
//! is an [`OwnershipClaim`]. An [`OwnershipTerm`] then drives the jobs: it handles
//! [`OwnerEvent`]s, plans starts by a [`PlanSchedule`], stores batches through a
//! [`CommitWriter`], and passes effects to an [`EffectDispatcher`], which uses
//! [`WorkerCalls`] on the threads of [`ElasticPool`]s and an [`AdvisorThread`]. A
//! [`DecisionLogger`] logs the decisions.

mod advisor_thread;
mod claim_decision;
mod claim_delay;
mod commit_writer;
mod decision_logger;
mod effect_dispatcher;
mod elastic_pool;
mod owner_adapters;
mod owner_election;
mod owner_event;
mod owner_monitor;
mod ownership_claim;
mod ownership_term;
mod plan_schedule;
mod run_control;
mod worker_calls;
mod write_outcome;

pub use claim_decision::ClaimDecision;
pub use claim_delay::ClaimDelay;
pub use elastic_pool::ElasticPool;
pub use owner_adapters::OwnerAdapters;
pub use owner_election::OwnerElection;
pub use owner_monitor::OwnerMonitor;
pub use plan_schedule::PlanSchedule;

pub(crate) use advisor_thread::AdvisorThread;
pub(crate) use commit_writer::CommitWriter;
pub(crate) use decision_logger::DecisionLogger;
pub(crate) use effect_dispatcher::EffectDispatcher;
pub(crate) use owner_event::OwnerEvent;
pub(crate) use ownership_claim::OwnershipClaim;
pub(crate) use ownership_term::OwnershipTerm;
pub(crate) use run_control::RunControl;
pub(crate) use worker_calls::WorkerCalls;
pub(crate) use write_outcome::WriteOutcome;
