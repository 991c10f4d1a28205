//! Election of the owners of the cells, and what an owner does.
//!
//! An [`OwnerElection`] reads the [`OwnershipRow`](crate::store::OwnershipRow)s of all
//! cells. [`CellClaims`] choose a [`FreeCell`] to claim, by an [`OwnerMonitor`] for each cell whose
//! [`ClaimDecision`] tells when its owner has failed; a [`ClaimDelay`] lets daemons with
//! more processor time claim first. A successful claim is an [`OwnershipClaim`]. An
//! [`OwnershipTerm`] then drives the cell: it handles [`OwnerEvent`]s, plans starts by a
//! [`PlanSchedule`], stores batches and each [`LayoutChange`] by [`WriteRequest`]s to a
//! [`CommitWriter`], which reports each [`RemovedJob`] to the [`IntakeGate`], and passes
//! effects to an [`EffectDispatcher`], which uses [`WorkerCalls`] on the threads of
//! [`ElasticPool`]s and an [`AdvisorThread`]. The [`WorkerLanes`] of a worker, a [`CallLane`] for
//! each kind of order, limit how many orders it gets at the same time. A
//! [`LearntReader`] reads what the owners of other cells have learnt, and a
//! [`DecisionLogger`] logs the decisions.

mod advisor_thread;
mod call_lane;
mod cell_claims;
mod claim_decision;
mod claim_delay;
mod commit_writer;
mod decision_logger;
mod effect_dispatcher;
mod elastic_pool;
mod free_cell;
mod intake_gate;
mod layout_change;
mod learnt_reader;
mod owner_adapters;
mod owner_election;
mod owner_event;
mod owner_monitor;
mod ownership_claim;
mod ownership_term;
mod plan_schedule;
mod removed_job;
mod run_control;
mod start_window;
mod worker_calls;
mod worker_lanes;
mod write_outcome;
mod write_request;

pub use call_lane::CallLane;
pub use cell_claims::CellClaims;
pub use claim_decision::ClaimDecision;
pub use claim_delay::ClaimDelay;
pub use commit_writer::BatchRows;
pub use elastic_pool::ElasticPool;
pub use free_cell::FreeCell;
pub use intake_gate::IntakeGate;
pub use owner_adapters::OwnerAdapters;
pub use owner_election::OwnerElection;
pub use owner_monitor::OwnerMonitor;
pub use ownership_term::StoredCell;
pub use plan_schedule::PlanSchedule;
pub use removed_job::RemovedJob;
pub use start_window::StartWindow;
pub use worker_lanes::ORDERS_PER_WORKER_MAX;

pub(crate) use advisor_thread::AdvisorThread;
pub(crate) use commit_writer::CommitWriter;
pub(crate) use decision_logger::DecisionLogger;
pub(crate) use effect_dispatcher::EffectDispatcher;
pub(crate) use layout_change::LayoutChange;
pub(crate) use learnt_reader::LearntReader;
pub(crate) use owner_event::OwnerEvent;
pub(crate) use ownership_claim::OwnershipClaim;
pub(crate) use ownership_term::OwnershipTerm;
pub(crate) use run_control::RunControl;
pub(crate) use worker_calls::WorkerCalls;
pub(crate) use worker_lanes::WorkerLanes;
pub(crate) use write_outcome::WriteOutcome;
pub(crate) use write_request::WriteRequest;
