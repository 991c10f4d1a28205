//! One step of a job.

use serde::Deserialize;
use serde::Serialize;

use crate::order::TaskSize;

/// A step: equal tasks that may start once the steps before it are done.
#[expect(
    clippy::struct_excessive_bools,
    reason = "callers set each of them by itself"
)]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepOrder {
    /// How many tasks the step has.
    pub tasks: u32,
    /// What each task needs.
    pub size: TaskSize,
    /// How long a task runs by its caller's estimate, in milliseconds.
    pub estimate_ms: u64,
    /// The steps that must be done first, by their numbers from 0.
    pub after: Vec<u32>,
    /// Whether tasks save their progress and can go on from there.
    pub saves_progress: bool,
    /// Whether the tasks work only while all of them run.
    pub is_gang: bool,
    /// Whether the tasks are much slower on several racks than on one.
    pub prefers_one_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<Box<str>>,
    /// The rack where the step's data lies.
    pub data_rack: Option<Box<str>>,
    /// The most tasks of the step on one worker.
    pub per_worker_max: Option<u32>,
    /// Whether two copies of a task may run at once.
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Box<str>>,
    /// The latency that the tasks' own callers must see, in milliseconds.
    pub latency_target_ms: Option<u64>,
    /// Whether the tasks use what processor time others leave, instead of their own.
    pub uses_leftover: bool,
    /// How many tasks may be away because of what the scheduler does.
    pub absent_max: Option<u32>,
}
