//! Slowdown next to a cell's workers, and the throttles requested.

mod target_choice;

use crate::pressure::CombinedSlowdown;
use crate::pressure::PressureDecision;
use crate::pressure::PressureRecord;
use crate::pressure::ReportedThrottle;
use crate::pressure::RequestedThrottle;
use crate::pressure::SlowdownView;
use crate::pressure::ThrottleCandidate;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::PressurePolicy;
use sapphirestile_placement::SlowdownModel;
use sapphirestile_placement::release_steps;

/// A decision needs at least this many measured requests.
const REQUESTS_MIN: u64 = 20;
/// A throttle is lifted when nothing was measured next to its worker for this long.
const UNMEASURED_MAX_MS: u64 = 300_000;
const WHOLE_PERMILLE: u64 = 1_000;

/// The slowdown next to a cell's workers, and the throttles requested. Not durable: a
/// new owner learns the throttles from the workers' reports.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::PressureTracker;
///
/// let tracker = PressureTracker::default();
/// assert_eq!(tracker.throttles().len(), 0);
/// ```
#[derive(Debug, Default)]
pub struct PressureTracker {
    policy: Option<PressurePolicy>,
    slowdown_model: SlowdownModel,
    workers: SortedTable<WorkerName, PressureRecord>,
    throttles: SortedTable<TaskName, RequestedThrottle>,
}

impl PressureTracker {
    /// Sets the bounds of the tolerated slowdown. With `None`, nothing is throttled and
    /// every throttle is lifted.
    pub fn set_policy(&mut self, policy: Option<PressurePolicy>) {
        if policy.is_none() {
            self.lift_where("operators switched throttling off", |_| true);
        }
        self.policy = policy;
    }

    /// Records a measurement. The caller drops those about unknown workers.
    pub fn record_slowdown(&mut self, worker: &WorkerName, view: &SlowdownView<'_>) {
        let fresh = || PressureRecord::new(view.received);
        let record = self.workers.get_or_insert_with(worker.clone(), fresh);
        if record.samples.record(view) {
            record.has_new_sample = true;
            record.last_heard = view.received;
        }
    }

    /// The workers with new measurements whose last decision is long enough ago; none while
    /// no policy is set.
    #[must_use]
    pub fn due_workers(&self, now: MonoTime) -> Vec<WorkerName> {
        if self.policy.is_none() {
            return Vec::new();
        }
        let due = self.workers.iter().filter(|(_, record)| record.is_due(now));
        due.map(|(worker, _)| worker.clone()).collect()
    }

    /// Decides about the tasks on a worker. Returns `None` while an earlier change is not
    /// confirmed to be in effect, or while a task is being stopped there (`leaving`).
    pub fn decide(
        &mut self,
        worker: &WorkerName,
        tasks: &[ThrottleCandidate],
        leaving: bool,
        now: MonoTime,
    ) -> Option<PressureDecision> {
        let policy = self.policy?;
        let unconfirmed = self
            .throttles_on(worker)
            .any(|throttle| !throttle.confirmed);
        let steps = self
            .throttles_on(worker)
            .map(|throttle| release_steps(throttle.permille));
        let steps = steps.sum();
        let record = self.workers.get_mut(worker.as_str())?;
        record.has_new_sample = false;
        if unconfirmed || leaving {
            record.changed = now;
            return None;
        }
        let combined = record.samples.combine(record.changed, now);
        let combined = combined.filter(|combined| combined.requests >= REQUESTS_MIN)?;
        record.decided = Some(now);
        record.state.set_throttles(steps, record.changed);
        let (slowdown, measured) = (combined.slowdown_permille, combined.measured);
        let action = record.state.decide(slowdown, measured, now, &policy);
        self.learn(tasks, &combined);
        self.choose(tasks, action, &combined)
    }

    /// Records the throttle that was decided.
    pub fn throttle(
        &mut self,
        task: &ThrottleCandidate,
        worker: &WorkerName,
        permille: u64,
        cause: &str,
    ) {
        let throttle = RequestedThrottle {
            worker: worker.clone(),
            attempt: task.attempt,
            permille,
            confirmed: false,
            cause: cause.to_owned(),
        };
        self.throttles.insert(task.task.clone(), throttle);
    }

    /// Compares a report with the requested throttle. Returns the processor time to request
    /// again when they differ, in thousandths of a core. A reported throttle that this
    /// owner did not request comes from a previous owner, and is adopted.
    pub fn observe(
        &mut self,
        task: &ThrottleCandidate,
        worker: &WorkerName,
        reported: &ReportedThrottle,
    ) -> Option<u64> {
        let known = self.throttles.get(&task.task);
        let current = known.is_some_and(|throttle| throttle.attempt == task.attempt);
        if !current {
            self.throttles.remove(&task.task);
            self.adopt(task, worker, reported);
        }
        let throttle = self.throttles.get_mut(&task.task)?;
        let limit = throttle.limit(task.cpu_milli);
        let in_effect = limit == reported.limit_cpu_milli;
        let newly_in_effect = in_effect && !throttle.confirmed;
        throttle.confirmed = in_effect;
        if (newly_in_effect || !in_effect)
            && let Some(record) = self.workers.get_mut(worker.as_str())
        {
            record.changed = reported.asked;
        }
        if in_effect && limit.is_none() {
            self.throttles.remove(&task.task);
        }
        (!in_effect).then(|| limit.unwrap_or(task.cpu_milli))
    }

    /// Lifts the throttles on workers next to which nothing was measured for long.
    pub fn lift_unmeasured(&mut self, now: MonoTime) {
        let silent =
            |record: &PressureRecord| now.millis_since(record.last_heard) >= UNMEASURED_MAX_MS;
        let workers: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, record)| silent(record))
            .map(|(worker, _)| worker.clone())
            .collect();
        self.lift_where("nothing was measured next to its worker", |throttle| {
            workers.binary_search(&throttle.worker).is_ok()
        });
    }

    /// Removes the throttle of a task that no longer runs.
    pub fn forget_task(&mut self, task: &TaskName) {
        self.throttles.remove(task);
    }

    /// Removes what was learned about a job.
    pub fn forget_job(&mut self, job: &JobName) {
        self.slowdown_model.forget_job(job);
    }

    /// Removes a worker that is gone.
    pub fn forget_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// The throttle requested for a task, including one that is being lifted.
    #[must_use]
    pub fn throttle_of(&self, task: &TaskName) -> Option<&RequestedThrottle> {
        self.throttles.get(task)
    }

    /// The throttles requested, by task, including those that are being lifted.
    #[must_use]
    pub fn throttles(&self) -> impl ExactSizeIterator<Item = (&TaskName, &RequestedThrottle)> {
        self.throttles.iter()
    }

    /// The latest measurements next to each worker, including those older than the latest
    /// change, which no decision uses.
    pub fn slowdowns(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&WorkerName, CombinedSlowdown)> {
        let earliest = MonoTime::default();
        self.workers.iter().filter_map(move |(worker, record)| {
            let combined = record.samples.combine(earliest, now)?;
            Some((worker, combined))
        })
    }

    fn throttles_on<'b>(
        &'b self,
        worker: &'b WorkerName,
    ) -> impl Iterator<Item = &'b RequestedThrottle> {
        let throttles = self.throttles.values();
        throttles.filter(move |throttle| throttle.worker == *worker)
    }

    fn adopt(
        &mut self,
        task: &ThrottleCandidate,
        worker: &WorkerName,
        reported: &ReportedThrottle,
    ) {
        let Some(limit) = reported.limit_cpu_milli.filter(|_| task.cpu_milli > 0) else {
            return;
        };
        let permille = (limit * WHOLE_PERMILLE).div_ceil(task.cpu_milli);
        let mut throttle = RequestedThrottle {
            worker: worker.clone(),
            attempt: task.attempt,
            permille: permille.min(WHOLE_PERMILLE - 1),
            confirmed: true,
            cause: "throttled by a previous owner".to_owned(),
        };
        if self.policy.is_none() {
            throttle.lift("operators switched throttling off");
        }
        self.throttles.insert(task.task.clone(), throttle);
        let fresh = || PressureRecord::new(reported.asked);
        self.workers.get_or_insert_with(worker.clone(), fresh);
    }

    fn lift_where(&mut self, cause: &str, wanted: impl Fn(&RequestedThrottle) -> bool) {
        for (_, throttle) in self.throttles.iter_mut() {
            if !throttle.lifts() && wanted(throttle) {
                throttle.lift(cause);
            }
        }
    }
}
