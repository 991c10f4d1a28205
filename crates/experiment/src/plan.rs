//! What is run: a deployment, a policy, a workload and its events.
//!
//! A [`DeploymentPlan`] gives the machines, a [`PolicySet`] the decisions,
//! [`JobTruth`]s the workload that [`make_jobs`] draws from a seed, and an
//! [`EventPlan`] when things happen.

mod deployment_plan;
mod event_plan;
mod job_maker;
mod job_truth;
mod placement_mode;
mod policy_feature;
mod policy_set;
mod routing_mode;
mod table_kind;
mod task_truth;

pub use deployment_plan::DeploymentPlan;
pub use placement_mode::PlacementMode;
pub use policy_feature::PolicyFeature;
pub use policy_set::PolicySet;
pub use routing_mode::RoutingMode;
pub use table_kind::TableKind;

pub(crate) use deployment_plan::SLOTS_PER_RUNNER;
pub(crate) use deployment_plan::WORKER_COUNT;
pub(crate) use deployment_plan::WORKERS_PER_RACK;
pub(crate) use event_plan::EventPlan;
pub(crate) use event_plan::ZONE_NOTICE_S;
pub(crate) use job_maker::CHECKPOINT_BYTES_PER_MB;
pub(crate) use job_maker::CUSTOMERS;
pub(crate) use job_maker::lognormal;
pub(crate) use job_maker::make_jobs;
pub(crate) use job_maker::to_f64;
pub(crate) use job_maker::to_u64;
pub(crate) use job_truth::JobTruth;
pub(crate) use task_truth::TaskTruth;
