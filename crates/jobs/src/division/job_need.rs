//! Processor time that a job needs at its start.

use crate::spec::JobSpec;

/// Processor time that the first steps of a job need at once, in thousandths of a processor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobNeed {
    /// Processor time that tasks reserve.
    pub reserved_milli: u64,
    /// Processor time that best-effort tasks use at full pace.
    pub best_effort_milli: u64,
}

impl JobNeed {
    /// Sum of the needs, saturating.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            reserved_milli: self.reserved_milli.saturating_add(other.reserved_milli),
            best_effort_milli: self
                .best_effort_milli
                .saturating_add(other.best_effort_milli),
        }
    }
}

impl From<&JobSpec> for JobNeed {
    fn from(spec: &JobSpec) -> Self {
        let mut need = Self::default();
        for step in spec.steps.iter().filter(|step| step.after.is_empty()) {
            let milli = step.size.cpu_milli.saturating_mul(u64::from(step.tasks));
            if step.is_best_effort {
                need.best_effort_milli = need.best_effort_milli.saturating_add(milli);
            } else {
                need.reserved_milli = need.reserved_milli.saturating_add(milli);
            }
        }
        need
    }
}
