//! The declared and the actual properties of a job.

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;

use crate::DeploymentPlan;
use crate::plan::TaskProfile;

/// A job of the workload: what its customer declares, and how its tasks behave.
#[derive(Clone, Debug)]
pub(crate) struct JobProfile {
    pub(crate) name: JobName,
    pub(crate) customer: CustomerName,
    /// When the job is submitted, in seconds since the start of the run.
    pub(crate) arrival_s: u64,
    pub(crate) urgent: bool,
    /// The size of one task as declared by the customer.
    pub(crate) declared: ResourceSize,
    pub(crate) tasks: Vec<TaskProfile>,
    /// The interference with the runner if the job used all CPU of the machine;
    /// scales with the share of the machine's CPU that is used.
    pub(crate) interference: f64,
    /// The period with which the interference varies, in seconds.
    pub(crate) wave_period_s: f64,
    /// The position in that period at the start of the run, from 0 to 1.
    pub(crate) wave_phase: f64,
    /// The progress, in milliseconds of run time, after which each task fails on any
    /// worker; `None` if the job does not fail by itself.
    pub(crate) fails_after_ms: Option<f64>,
}

impl JobProfile {
    /// Whether the job declares more than any worker has, so that it cannot be placed.
    pub(crate) const fn is_oversized(&self, plan: &DeploymentPlan) -> bool {
        !self.declared.fits_in(&plan.batch_capacity())
    }

    /// The factor of the job's interference at `now_s`: 1 for 60 % of the period, 0.1
    /// for the rest.
    pub(crate) fn activity(&self, now_s: f64) -> f64 {
        let position = (now_s / self.wave_period_s + self.wave_phase).fract();
        if position < 0.6 { 1.0 } else { 0.1 }
    }
}
