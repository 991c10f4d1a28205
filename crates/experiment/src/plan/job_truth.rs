//! A job, as declared and as it is.

use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;

use crate::DeploymentPlan;
use crate::plan::TaskTruth;

/// A job of the workload.
#[derive(Clone, Debug)]
pub(crate) struct JobTruth {
    pub(crate) name: JobName,
    pub(crate) customer: CustomerName,
    pub(crate) arrival_s: u64,
    pub(crate) urgent: bool,
    pub(crate) declared: ResourceSize,
    pub(crate) tasks: Vec<TaskTruth>,
    /// Disturbance for each core used, relative to the whole machine.
    pub(crate) noise: f64,
    /// Length of a wave of disturbance, in seconds.
    pub(crate) wave_s: f64,
    /// Where in its wave the job begins, from 0 to 1.
    pub(crate) wave_phase: f64,
    /// A job that fails wherever it runs does so after this much work.
    pub(crate) fails_after_ms: Option<f64>,
}

impl JobTruth {
    /// Whether the job declares more than any worker has.
    pub(crate) const fn is_huge(&self, plan: &DeploymentPlan) -> bool {
        !self.declared.fits_in(&plan.batch_size())
    }

    /// How strongly the job disturbs at `now_s`, from 0 to 1.
    pub(crate) fn activity(&self, now_s: f64) -> f64 {
        let place = (now_s / self.wave_s + self.wave_phase).fract();
        if place < 0.6 { 1.0 } else { 0.1 }
    }
}
