//! Discrete-time simulation that compares scheduling policies with baselines.
//!
//! The simulation calls the real algorithms of `sapphirestile-placement` and
//! `sapphirestile-routing`; machines, tasks and requests are simulated in
//! virtual time. An [`ExperimentOptions`] selects the deployments, policies and
//! seeds; [`run_experiment`] makes one run for each combination and collects
//! the [`RunOutcome`]s in one [`OutcomeTable`] per deployment.
//!
//! A run simulates a [`DeploymentPlan`] under a [`PolicyVariant`] in steps of
//! one second: batch jobs arrive, a scheduler places their tasks, simulated
//! workers run them, and simulated runners answer requests, more slowly while
//! tasks on the same machine interfere with them. Only what the algorithms
//! observe is modelled. The same seed gives the same table, byte for byte.

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
pub use plan::PolicyVariant;
pub use plan::RoutingMode;
pub use plan::TableKind;
pub use report::OutcomeTable;
pub use report::RunOutcome;
pub use single_run::run_once;
