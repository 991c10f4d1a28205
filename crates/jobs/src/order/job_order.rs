//! A job as its caller ordered it.

use serde::Deserialize;
use serde::Serialize;

use crate::order::OrderFault;
use crate::order::QueueTerms;
use crate::order::RepeatRule;
use crate::order::StepOrder;

/// The longest text for tasks, in bytes.
const TEXT_MAX_BYTES: usize = 4_000;

/// The most steps of a job.
const STEPS_MAX: usize = 64;

/// The most tasks of a job.
const TASKS_MAX: u64 = 10_000;

/// A job as its caller ordered it. It never changes once it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOrder {
    /// The queue that took it.
    pub queue: Box<str>,
    /// What the queue promised.
    pub terms: QueueTerms,
    /// The text that every task is given.
    pub text: Box<str>,
    /// The steps.
    pub steps: Vec<StepOrder>,
    /// When the steps run, if more than once or not at once.
    pub repeat: Option<RepeatRule>,
    /// When it was taken, in milliseconds of the Unix epoch; for ordering only.
    pub accepted_unix_ms: u64,
}

impl JobOrder {
    /// Checks what the types of the fields do not.
    ///
    /// # Errors
    ///
    /// [`OrderFault`] names the first rule that the order breaks.
    pub fn check(&self) -> Result<(), OrderFault> {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if self.text.len() > TEXT_MAX_BYTES {
            return Err(OrderFault::Text);
        }
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(OrderFault::Size);
        }
        if tasks > TASKS_MAX || self.steps.iter().any(|step| step.tasks == 0) {
            return Err(OrderFault::Size);
        }
        let waits_for_later = |(place, step): (usize, &StepOrder)| {
            step.after.iter().any(|&before| before as usize >= place)
        };
        if self.steps.iter().enumerate().any(waits_for_later) {
            return Err(OrderFault::Dependency);
        }
        match self.repeat {
            Some(rule) if rule.interval_ms == 0 && rule.occurrences > 1 => {
                Err(OrderFault::Interval)
            }
            _ => Ok(()),
        }
    }

    /// Whether any task runs until the job is cancelled.
    #[must_use]
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.is_lasting)
    }

    /// How many occurrences the job has.
    #[must_use]
    pub const fn occurrences(&self) -> u32 {
        match self.repeat {
            Some(rule) => rule.occurrences,
            None => 1,
        }
    }
}
