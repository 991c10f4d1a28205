//! Free capacity of one worker.

use serde::Deserialize;
use serde::Serialize;

use crate::spec::ResourceVector;
use crate::spec::StepSpec;

/// Free capacity of one worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerVacancy {
    /// Service of the worker.
    pub service: Box<str>,
    /// Capacity that no run reserves.
    pub free: ResourceVector,
    /// Labels of the worker other than its rack.
    pub labels: Vec<Box<str>>,
}

impl WorkerVacancy {
    /// Whether a task of the step fits.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::ResourceVector;
    /// use sapphirestile_jobs::StepSpec;
    /// use sapphirestile_jobs::WorkerVacancy;
    ///
    /// let size = |cpu_milli| ResourceVector { cpu_milli, ..ResourceVector::default() };
    /// let vacancy = WorkerVacancy {
    ///     service: "sizing".into(),
    ///     free: size(4_000),
    ///     labels: Vec::new(),
    /// };
    /// let step = |cpu_milli| StepSpec { size: size(cpu_milli), ..StepSpec::default() };
    /// assert!(vacancy.fits(&step(4_000), "sizing"));
    /// assert!(!vacancy.fits(&step(4_001), "sizing"));
    /// assert!(!vacancy.fits(&step(4_000), "pressing"));
    /// ```
    #[must_use]
    pub fn fits(&self, step: &StepSpec, service: &str) -> bool {
        let label = step.required_label.as_ref();
        *self.service == *service
            && step.size.fits(&self.free)
            && label.is_none_or(|label| self.labels.contains(label))
    }
}
