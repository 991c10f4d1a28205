//! The inputs of a run: deployment, policy, workload and events.
//!
//! A [`DeploymentPlan`] describes the machines, a [`PolicyVariant`] selects the
//! algorithms, [`generate_jobs`] draws the workload of [`JobProfile`]s from a
//! seed, and an [`EventSchedule`] says when zones, workers and customers cause
//! disruptions.
//!
//! Jobs, tasks, workers and zones are identified by their index in the lists of
//! the run. The runner beside a worker has the same index as the worker.

mod deployment_plan;
mod event_schedule;
mod job_generator;
mod job_profile;
mod placement_mode;
mod policy_feature;
mod policy_variant;
mod routing_mode;
mod table_kind;
mod task_profile;

pub use deployment_plan::DeploymentPlan;
pub use placement_mode::PlacementMode;
pub use policy_feature::PolicyFeature;
pub use policy_variant::PolicyVariant;
pub use routing_mode::RoutingMode;
pub use table_kind::TableKind;

pub(crate) use deployment_plan::SLOTS_PER_RUNNER;
pub(crate) use deployment_plan::WORKER_COUNT;
pub(crate) use deployment_plan::WORKERS_PER_RACK;
pub(crate) use event_schedule::EventSchedule;
pub(crate) use event_schedule::ZONE_NOTICE_S;
pub(crate) use job_generator::CHECKPOINT_BYTES_PER_MB;
pub(crate) use job_generator::CUSTOMERS;
pub(crate) use job_generator::generate_jobs;
pub(crate) use job_generator::lognormal;
pub(crate) use job_generator::to_f64;
pub(crate) use job_generator::to_u64;
pub(crate) use job_profile::JobProfile;
pub(crate) use task_profile::TaskProfile;
