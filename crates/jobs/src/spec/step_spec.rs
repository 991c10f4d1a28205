//! Specification of a step.

use serde::Deserialize;
use serde::Serialize;

use crate::spec::ResourceVector;

/// A step of a job: identical tasks that may start once the steps it depends on are done.
#[expect(
    clippy::struct_excessive_bools,
    reason = "callers set each flag independently"
)]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources that each task needs.
    pub size: ResourceVector,
    /// The caller's estimate of the duration of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Indexes, from 0, of the steps that must be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints, from which another run can resume.
    pub has_checkpoints: bool,
    /// Whether the tasks make progress only while all of them run.
    pub is_gang: bool,
    /// Whether the tasks are much slower when spread over several racks.
    pub prefers_one_rack: bool,
    /// Label that a worker must have to run the tasks; `None` if any worker can.
    pub required_label: Option<Box<str>>,
    /// Label of the rack that holds the input data of the step; `None` if any rack will do.
    pub data_rack: Option<Box<str>>,
    /// Maximum number of tasks of the step on one worker; `None` if not limited.
    pub per_worker_max: Option<u32>,
    /// Whether a second run of a slow task may be started beside the first.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled, and are restarted when they end.
    pub is_long_running: bool,
    /// Program that the tasks run; `None` if the caller names none. Tasks of one image have
    /// the same load profile.
    pub image: Option<Box<str>>,
    /// Upper limit for the latency that callers of the tasks see, in milliseconds; `None`
    /// if the tasks serve no callers.
    pub latency_target_ms: Option<u64>,
    /// Whether the tasks use processor time that other tasks leave idle, instead of
    /// reserving their own.
    pub is_best_effort: bool,
    /// Maximum number of tasks that may be down at once through actions of the scheduler;
    /// `None` if not limited.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Whether each task runs until the job is cancelled, and needs no other task of its step:
    /// members of a gang need each other, and a copy may run beside a task.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::StepSpec;
    ///
    /// let step = StepSpec { is_long_running: true, ..StepSpec::default() };
    /// assert!(step.may_run_alone());
    /// assert!(!StepSpec { is_gang: true, ..step }.may_run_alone());
    /// ```
    #[must_use]
    pub const fn may_run_alone(&self) -> bool {
        self.is_long_running && !self.is_gang && !self.is_speculative
    }
}
