//! Queue of waiting jobs.

use crate::QueueKey;
use crate::WaitingJob;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskIndex;

/// The jobs of a cell that have waiting tasks, in placement order.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::JobName;
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_core::TaskIndex;
/// use sapphirestile_placement::TaskQueue;
/// use sapphirestile_placement::WaitingJob;
///
/// let name = JobName::try_from("patterns").unwrap();
/// let mut queue = TaskQueue::default();
/// queue.add(WaitingJob {
///     name: name.clone(),
///     customer: CustomerName::try_from("tailors").unwrap(),
///     urgent: false,
///     declared: ResourceSize::default(),
///     zones: Vec::new(),
///     submitted: MonoTime::from_millis(0),
///     not_before: MonoTime::from_millis(0),
///     tasks: vec![TaskIndex::new(1), TaskIndex::new(0)],
/// });
/// assert_eq!(queue.take_task(&name), Some(TaskIndex::new(0)));
/// assert_eq!(queue.cancel(&[name]), 1);
/// assert!(queue.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct TaskQueue {
    jobs: SortedTable<QueueKey, WaitingJob>,
    keys: SortedTable<JobName, QueueKey>,
}

impl TaskQueue {
    /// Adds `job`, or appends its tasks if a job of that name is already waiting.
    pub fn add(&mut self, job: WaitingJob) {
        if let Some(known) = self.get_mut(&job.name) {
            known.tasks.extend(job.tasks);
            return;
        }
        let key = QueueKey::of(&job);
        self.keys.insert(job.name.clone(), key.clone());
        self.jobs.insert(key, job);
    }

    /// Takes the next waiting task of job `name`, and removes the job with its last
    /// task. Returns `None` if the job is not waiting.
    pub fn take_task(&mut self, name: &JobName) -> Option<TaskIndex> {
        let job = self.get_mut(name)?;
        let index = job.tasks.pop();
        if job.tasks.is_empty() {
            self.remove(name);
        }
        index
    }

    /// Delays the tasks of job `name` until `time`, unless they are delayed longer.
    pub fn delay(&mut self, name: &JobName, time: MonoTime) {
        if let Some(job) = self.get_mut(name) {
            job.not_before = job.not_before.max(time);
        }
    }

    /// Removes job `name` with all its waiting tasks.
    pub fn remove(&mut self, name: &JobName) -> Option<WaitingJob> {
        let key = self.keys.remove(name)?;
        self.jobs.remove(&key)
    }

    /// Removes all jobs of `names` in one pass and returns how many were waiting.
    ///
    /// `names` must be sorted.
    pub fn cancel(&mut self, names: &[JobName]) -> usize {
        let before = self.jobs.len();
        self.jobs
            .retain(|key, _| names.binary_search(&key.name).is_err());
        self.keys
            .retain(|name, _| names.binary_search(name).is_err());
        before - self.jobs.len()
    }

    /// The waiting job of that name, if any.
    #[must_use]
    pub fn get(&self, name: &JobName) -> Option<&WaitingJob> {
        self.jobs.get(self.keys.get(name)?)
    }

    /// The waiting jobs: urgent ones first, then by customer and submission time.
    #[must_use]
    pub fn jobs(&self) -> impl ExactSizeIterator<Item = &WaitingJob> {
        self.jobs.values()
    }

    /// The number of waiting jobs, not of tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn get_mut(&mut self, name: &JobName) -> Option<&mut WaitingJob> {
        self.jobs.get_mut(self.keys.get(name)?)
    }
}
