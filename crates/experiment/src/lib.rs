//! Load and experiment tool: decisions in virtual time against baselines.
//!
//! It drives the real decisions of `sapphirestile-placement` and
//! `sapphirestile-routing` with small fakes. An [`ExperimentOptions`] names the
//! deployments, policies and seeds; [`run_experiment`] makes one run for each
//! and puts the [`RunOutcome`]s into an [`OutcomeTable`].
//!
//! A run steps second by second through a [`DeploymentPlan`] under a
//! [`PolicySet`]: jobs of a workload arrive, an owner places them, fake
//! workers run them, and fake runners answer requests more slowly while tasks
//! on the same machine disturb them. It models only what the decisions see.
//! The same seed gives the same table, byte for byte.

mod batch;
mod experiment_options;
mod experiment_run;
mod plan;
mod report;
mod service;
mod single_run;

pub use experiment_options::ExperimentOptions;
pub use experiment_run::run_experiment;
pub use plan::DeploymentPlan;
pub use plan::PlacementMode;
pub use plan::PolicyFeature;
pub use plan::PolicySet;
pub use plan::RoutingMode;
pub use plan::TableKind;
pub use report::OutcomeTable;
pub use report::RunOutcome;
pub use single_run::run_once;
