//! The pressure on the workers of a cell.

use crate::pressure::CombinedSlowdown;
use crate::pressure::PressedTask;
use crate::pressure::PressureRecord;
use crate::pressure::PressureStep;
use crate::pressure::SlowdownView;
use crate::pressure::ThrottleRow;
use crate::pressure::ThrottleSight;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::PressureAction;
use sapphirestile_placement::PressurePolicy;
use sapphirestile_placement::PressureTask;
use sapphirestile_placement::SlowdownModel;
use sapphirestile_placement::SlowdownSample;
use sapphirestile_placement::choose_pressure_target;
use sapphirestile_placement::release_steps;

/// Fewer requests decide nothing.
const REQUESTS_MIN: u64 = 20;
/// A throttle is lifted when nothing was measured beside its worker for this long.
const SILENCE_MAX_MS: u64 = 300_000;
const WHOLE_PERMILLE: u64 = 1_000;
const CORE_MILLI: u64 = 1_000;

/// The pressure on the workers of a cell, and the throttles asked for. None of it
/// lasts: a new owner finds the throttles in the workers' reports.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::PressureBook;
///
/// let book = PressureBook::default();
/// assert_eq!(book.throttles().len(), 0);
/// ```
#[derive(Debug, Default)]
pub struct PressureBook {
    policy: Option<PressurePolicy>,
    noise: SlowdownModel,
    workers: SortedTable<WorkerName, PressureRecord>,
    throttles: SortedTable<TaskName, ThrottleRow>,
}

impl PressureBook {
    /// Takes the bounds; without any, nothing is throttled and every throttle is
    /// lifted.
    pub fn set_policy(&mut self, policy: Option<PressurePolicy>) {
        if policy.is_none() {
            self.lift_where("operators want no throttling", |_| true);
        }
        self.policy = policy;
    }

    /// Takes a measurement in. One beside an unknown worker is dropped by the
    /// caller.
    pub fn note_slowdown(&mut self, worker: &WorkerName, view: &SlowdownView<'_>) {
        let fresh = || PressureRecord::new(view.received);
        let record = self.workers.get_or_insert_with(worker.clone(), fresh);
        if record.samples.note(view) {
            record.fresh = true;
            record.heard = view.received;
        }
    }

    /// The workers about which a decision is due.
    #[must_use]
    pub fn due_workers(&self, now: MonoTime) -> Vec<WorkerName> {
        if self.policy.is_none() {
            return Vec::new();
        }
        let due = self.workers.iter().filter(|(_, record)| record.is_due(now));
        due.map(|(worker, _)| worker.clone()).collect()
    }

    /// Decides about the tasks on a worker. Nothing is decided while an earlier
    /// change is not certain to be in effect; `leaving` says that a task is being
    /// stopped there.
    pub fn decide(
        &mut self,
        worker: &WorkerName,
        tasks: &[PressedTask],
        leaving: bool,
        now: MonoTime,
    ) -> Option<PressureStep> {
        let policy = self.policy?;
        let unshown = self.rows_on(worker).any(|row| !row.shown);
        let steps = self.rows_on(worker).map(|row| release_steps(row.permille));
        let steps = steps.sum();
        let record = self.workers.get_mut(worker.as_str())?;
        record.fresh = false;
        if unshown || leaving {
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

    /// Notes the throttle that was decided.
    pub fn throttle(
        &mut self,
        task: &PressedTask,
        worker: &WorkerName,
        permille: u64,
        cause: &str,
    ) {
        let row = ThrottleRow {
            worker: worker.clone(),
            attempt: task.attempt,
            permille,
            shown: false,
            cause: cause.to_owned(),
        };
        self.throttles.insert(task.task.clone(), row);
    }

    /// Compares a report with what is asked for; returns the processor time to ask
    /// for again when they differ. A throttle that this owner knows nothing of is
    /// that of an owner before, and is taken over.
    pub fn observe(
        &mut self,
        task: &PressedTask,
        worker: &WorkerName,
        sight: &ThrottleSight,
    ) -> Option<u64> {
        let known = self.throttles.get(&task.task);
        let current = known.is_some_and(|row| row.attempt == task.attempt);
        if !current {
            self.throttles.remove(&task.task);
            self.adopt(task, worker, sight);
        }
        let row = self.throttles.get_mut(&task.task)?;
        let limit = row.limit(task.cpu_milli);
        let in_effect = limit == sight.limit_cpu_milli;
        let newly = in_effect && !row.shown;
        row.shown = in_effect;
        if (newly || !in_effect)
            && let Some(record) = self.workers.get_mut(worker.as_str())
        {
            record.changed = sight.asked;
        }
        if in_effect && limit.is_none() {
            self.throttles.remove(&task.task);
        }
        (!in_effect).then(|| limit.unwrap_or(task.cpu_milli))
    }

    /// Lifts the throttles on workers beside which nothing was measured for long.
    pub fn lift_silent(&mut self, now: MonoTime) {
        let silent = |record: &PressureRecord| now.millis_since(record.heard) >= SILENCE_MAX_MS;
        let workers: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, record)| silent(record))
            .map(|(worker, _)| worker.clone())
            .collect();
        self.lift_where("nothing was measured beside its worker", |row| {
            workers.binary_search(&row.worker).is_ok()
        });
    }

    /// Forgets a task that no longer runs.
    pub fn forget_task(&mut self, task: &TaskName) {
        self.throttles.remove(task);
    }

    /// Forgets what was learnt of a job.
    pub fn forget_job(&mut self, job: &JobName) {
        self.noise.forget_job(job);
    }

    /// Forgets a worker that is gone.
    pub fn forget_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// The throttle asked for a task, if any.
    #[must_use]
    pub fn throttle_of(&self, task: &TaskName) -> Option<&ThrottleRow> {
        self.throttles.get(task)
    }

    /// The throttles asked for, by task.
    #[must_use]
    pub fn throttles(&self) -> impl ExactSizeIterator<Item = (&TaskName, &ThrottleRow)> {
        self.throttles.iter()
    }

    /// The latest measurements beside each worker, whether or not they decide.
    pub fn slowdowns(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&WorkerName, CombinedSlowdown)> {
        let begin = MonoTime::default();
        self.workers.iter().filter_map(move |(worker, record)| {
            let combined = record.samples.combine(begin, now)?;
            Some((worker, combined))
        })
    }

    fn rows_on<'b>(&'b self, worker: &'b WorkerName) -> impl Iterator<Item = &'b ThrottleRow> {
        let rows = self.throttles.values();
        rows.filter(move |row| row.worker == *worker)
    }

    fn adopt(&mut self, task: &PressedTask, worker: &WorkerName, sight: &ThrottleSight) {
        let Some(limit) = sight.limit_cpu_milli.filter(|_| task.cpu_milli > 0) else {
            return;
        };
        let permille = (limit * WHOLE_PERMILLE).div_ceil(task.cpu_milli);
        let mut row = ThrottleRow {
            worker: worker.clone(),
            attempt: task.attempt,
            permille: permille.min(WHOLE_PERMILLE - 1),
            shown: true,
            cause: "throttled by an owner before".to_owned(),
        };
        if self.policy.is_none() {
            row.lift("operators want no throttling");
        }
        self.throttles.insert(task.task.clone(), row);
        let fresh = || PressureRecord::new(sight.asked);
        self.workers.get_or_insert_with(worker.clone(), fresh);
    }

    fn lift_where(&mut self, cause: &str, wanted: impl Fn(&ThrottleRow) -> bool) {
        for (_, row) in self.throttles.iter_mut() {
            if !row.lifts() && wanted(row) {
                row.lift(cause);
            }
        }
    }

    fn learn(&mut self, tasks: &[PressedTask], combined: &CombinedSlowdown) {
        let jobs: Vec<&JobName> = tasks.iter().map(|task| &task.task.job).collect();
        self.noise.learn(&SlowdownSample {
            measured: combined.measured,
            slowdown_permille: combined.slowdown_permille,
            jobs: &jobs,
        });
    }

    fn choose(
        &self,
        tasks: &[PressedTask],
        action: PressureAction,
        combined: &CombinedSlowdown,
    ) -> Option<PressureStep> {
        let stops = action == PressureAction::StopOne;
        let allowed = |(_, task): &(usize, &PressedTask)| !(stops && task.urgent);
        let (places, views): (Vec<usize>, Vec<PressureTask>) = tasks
            .iter()
            .enumerate()
            .filter(allowed)
            .map(|(place, task)| (place, self.view_of(task)))
            .unzip();
        let (chosen, permille) = choose_pressure_target(&views, action)?;
        let place = places[chosen];
        let cause = combined.to_string();
        Some(match permille {
            0 => PressureStep::Stop { place, cause },
            _ => PressureStep::Limit {
                place,
                permille,
                cause,
            },
        })
    }

    /// A throttle takes processor time, so a task's noise counts for each core that
    /// it was given.
    fn view_of(&self, task: &PressedTask) -> PressureTask {
        let row = self.throttles.get(&task.task);
        let noise_permille = self.noise.interference_of(&task.task.job);
        PressureTask {
            interference_permille: noise_permille.saturating_mul(task.cpu_milli) / CORE_MILLI,
            throttle_permille: row.map_or(WHOLE_PERMILLE, |row| row.permille),
        }
    }
}
