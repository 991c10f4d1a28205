//! Ownership of the jobs.
//!
//! An [`OwnershipKeeper`] follows the head row with a [`HeadFollower`], which says
//! by a [`HeadStep`] when to claim it; by a [`ClaimDelay`] the largest daemon is first.
//! A claim is an [`OwnedHead`]. An [`OwnerRun`] then drives the jobs: it takes
//! [`OwnerEvent`]s, plans starts at a [`PlanPace`], has a [`CommitWriter`] store
//! batches, and has what it wants done carried out by an [`EffectCarrier`]: by
//! [`WorkerCalls`] on the threads of [`ElasticPool`]s, and by an [`AdviceLink`]. A
//! [`DecisionLog`] tells what it decided.

mod advice_link;
mod claim_delay;
mod commit_writer;
mod decision_log;
mod effect_carrier;
mod elastic_pool;
mod head_follower;
mod head_step;
mod owned_head;
mod owner_event;
mod owner_run;
mod ownership_keeper;
mod plan_pace;
mod run_sources;
mod worker_calls;
mod worker_order;
mod write_outcome;

pub use claim_delay::ClaimDelay;
pub use elastic_pool::ElasticPool;
pub use head_follower::HeadFollower;
pub use head_step::HeadStep;
pub use ownership_keeper::OwnershipKeeper;
pub use plan_pace::PlanPace;
pub use run_sources::RunSources;

pub(crate) use advice_link::AdviceLink;
pub(crate) use commit_writer::CommitWriter;
pub(crate) use decision_log::DecisionLog;
pub(crate) use effect_carrier::EffectCarrier;
pub(crate) use owned_head::OwnedHead;
pub(crate) use owner_event::OwnerEvent;
pub(crate) use owner_run::OwnerRun;
pub(crate) use worker_calls::WorkerCalls;
pub(crate) use worker_order::WorkerOrder;
pub(crate) use write_outcome::WriteOutcome;
