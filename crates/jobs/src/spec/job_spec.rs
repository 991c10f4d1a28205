//! Specification of a job.

use serde::Deserialize;
use serde::Serialize;

use crate::spec::JobSpecError;
use crate::spec::QueueTerms;
use crate::spec::RepeatRule;
use crate::spec::StepSpec;

/// Maximum length of the task text, in bytes.
const TEXT_MAX_BYTES: usize = 4_000;

/// Maximum number of steps in a job.
const STEPS_MAX: usize = 64;

/// Maximum number of tasks in a job, over all steps.
const TASKS_MAX: u64 = 10_000;

/// Maximum of each amount and duration in a step, so that sums over all tasks of all
/// jobs do not overflow.
const AMOUNT_MAX: u64 = 1 << 40;

/// A job as its caller specified it. It is immutable once stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the queue that accepted the job.
    pub queue: Box<str>,
    /// Terms of the queue when it accepted the job.
    pub terms: QueueTerms,
    /// Opaque text that is passed to every task.
    pub text: Box<str>,
    /// Steps of the job. A step can depend only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Schedule of the occurrences; `None` if the steps run once, as soon as possible.
    pub repeat: Option<RepeatRule>,
    /// Time of acceptance, in milliseconds of the Unix epoch; used for ordering only.
    pub accepted_unix_ms: u64,
}

impl JobSpec {
    /// The specification of a job of which only its cancellation is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::JobSpec;
    ///
    /// assert!(JobSpec::without_steps().steps.is_empty());
    /// ```
    #[must_use]
    pub fn without_steps() -> Self {
        Self {
            queue: Box::default(),
            terms: QueueTerms {
                service: Box::default(),
                priority: 0,
                attempts: 0,
            },
            text: Box::default(),
            steps: Vec::new(),
            repeat: None,
            accepted_unix_ms: 0,
        }
    }

    /// Checks the rules that the types of the fields do not enforce.
    ///
    /// # Errors
    ///
    /// The first rule that the specification violates, as a [`JobSpecError`].
    pub fn check(&self) -> Result<(), JobSpecError> {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if self.text.len() > TEXT_MAX_BYTES {
            return Err(JobSpecError::Text);
        }
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(JobSpecError::Size);
        }
        if tasks > TASKS_MAX || self.steps.iter().any(|step| step.tasks == 0) {
            return Err(JobSpecError::Size);
        }
        if self.steps.iter().any(has_excessive_amount) {
            return Err(JobSpecError::Amount);
        }
        let depends_on_later = |(index, step): (usize, &StepSpec)| {
            step.after
                .iter()
                .any(|&dependency| dependency as usize >= index)
        };
        if self.steps.iter().enumerate().any(depends_on_later) {
            return Err(JobSpecError::Dependency);
        }
        match self.repeat {
            Some(rule) if rule.interval_ms == 0 && rule.occurrences > 1 => {
                Err(JobSpecError::Interval)
            }
            _ => Ok(()),
        }
    }

    /// Whether any task of the job runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Total number of occurrences; 1 without a repeat rule.
    #[must_use]
    pub const fn occurrences(&self) -> u32 {
        match self.repeat {
            Some(rule) => rule.occurrences,
            None => 1,
        }
    }
}

fn has_excessive_amount(step: &StepSpec) -> bool {
    let amounts = [
        step.size.cpu_milli,
        step.size.memory_mib,
        step.size.accelerators,
        step.estimate_ms,
        step.latency_target_ms.unwrap_or(0),
    ];
    amounts.iter().any(|&amount| amount > AMOUNT_MAX)
}
