//! Intake of jobs and cancellations.

use std::sync::Arc;

use crate::owner::DecisionEvent;
use crate::owner::JobAge;
use crate::owner::JobEntry;
use crate::owner::JobOwner;
use crate::owner::JobPlace;
use crate::owner::StoredJob;
use crate::owner::WaitKey;
use crate::planner::RunHistory;
use crate::planner::TaskDemand;
use crate::progress::JobProgress;
use crate::progress::JobStanding;
use crate::progress::OccurrenceProgress;
use crate::progress::TaskStage;
use crate::spec::JobIdentity;
use crate::spec::JobSpec;
use crate::spec::TaskIdentity;
use crate::worker::RunState;
use crate::worker::TrackedWorker;
use sapphirestile_core::MonoTime;

/// Maximum number of occurrences of a job that are active at the same time. Each takes
/// memory, and a part of the job's row in the store.
const ACTIVE_OCCURRENCES_MAX: usize = 256;

/// Maximum number of tasks in the active occurrences of a job, unless one occurrence alone has
/// more. All are in one row, which the store limits to a megabyte.
const ACTIVE_TASKS_MAX: u64 = 10_000;

impl JobOwner {
    /// Adds a job that was loaded from the store, with the runs that an earlier owner
    /// assigned. Has no effect if the job is known.
    pub fn restore_job(&mut self, stored: StoredJob, now: MonoTime, unix_ms: u64) {
        let identity = stored.identity;
        if self.jobs.contains(&identity) {
            return;
        }
        let age_ms = unix_ms.saturating_sub(stored.spec.accepted_unix_ms);
        let age = JobAge::new(age_ms, now);
        let progress = stored.progress.unwrap_or_default();
        let ended = progress.standing.is_final().then_some(now);
        let mut entry = JobEntry::new(Arc::new(stored.spec), progress, stored.place, age);
        entry.ended = ended;
        self.inherit_runs(identity, &entry, now);
        self.jobs.insert(identity, Box::new(entry));
        if stored.is_cancelled {
            self.cancel_job(identity, now);
        }
        self.refresh_job(identity, unix_ms);
    }

    /// Adds a job that was handed in, or has come from another cell before it has begun: its
    /// age counts from its acceptance all the same. Has no effect if the job is known.
    pub fn accept_job(
        &mut self,
        identity: JobIdentity,
        spec: JobSpec,
        now: MonoTime,
        unix_ms: u64,
    ) {
        if self.jobs.contains(&identity) {
            return;
        }
        let age_ms = unix_ms.saturating_sub(spec.accepted_unix_ms);
        let age = JobAge::new(age_ms, now);
        let progress = JobProgress::default();
        let entry = JobEntry::new(Arc::new(spec), progress, JobPlace::Home, age);
        self.jobs.insert(identity, Box::new(entry));
        self.refresh_job(identity, unix_ms);
    }

    /// Keeps the cancellation of a job that was never stored, until its retention ends and its
    /// rows are deleted. Has no effect if the job is known.
    pub fn retain_cancellation(&mut self, identity: JobIdentity, now: MonoTime) {
        if self.jobs.contains(&identity) {
            return;
        }
        let progress = JobProgress {
            standing: JobStanding::Cancelled,
            ..JobProgress::default()
        };
        let spec = Arc::new(JobSpec::without_steps());
        let mut entry = JobEntry::new(spec, progress, JobPlace::Home, JobAge::new(0, now));
        entry.ended = Some(now);
        self.jobs.insert(identity, Box::new(entry));
    }

    /// Cancels a job: none of its tasks starts any more, and its runs are stopped. Has no
    /// effect if the job is not known or has ended.
    pub fn cancel_job(&mut self, identity: JobIdentity, now: MonoTime) {
        let Some(entry) = self.jobs.get(&identity) else {
            return;
        };
        if !entry.progress.standing.is_final() {
            self.end_job(identity, JobStanding::Cancelled, now);
        }
    }

    /// Ends a job and stops its runs.
    pub(super) fn end_job(&mut self, identity: JobIdentity, standing: JobStanding, now: MonoTime) {
        let Some(entry) = self.jobs.get_mut(&identity) else {
            return;
        };
        entry.progress.standing = standing;
        entry.ended = Some(now);
        let age_ms = entry.age.millis(now);
        if let Some(key) = entry.wait_key.take() {
            self.waiting.remove(&key);
        }
        self.interference.forget(&identity);
        self.advice.forget(&identity);
        self.changed.insert(identity, ());
        self.decisions.push(DecisionEvent::JobEnded {
            job: identity,
            standing,
            age_ms,
        });
        self.revoke_tasks(identity);
        self.stop_runs_of(identity, now);
    }

    /// Begins due occurrences of a job and updates its place in the waiting list. To be called
    /// after each change to the job.
    pub(super) fn refresh_job(&mut self, identity: JobIdentity, unix_ms: u64) {
        let Some(entry) = self.jobs.get_mut(&identity) else {
            return;
        };
        if entry.progress.standing.is_final() || entry.departure.is_some() {
            return;
        }
        begin_occurrences(entry, unix_ms);
        let is_repeating = entry.progress.begun < entry.spec.occurrences();
        let queue = self.config.queues.get(&entry.spec.queue);
        let priority = queue.map_or(entry.spec.terms.priority, |queue| queue.terms.priority);
        let key = WaitKey::of(identity, &entry.spec, priority);
        let can_start = entry.startable(&key, "").next().is_some();
        if let Some(old_key) = entry.wait_key.take() {
            self.waiting.remove(&old_key);
        }
        if can_start {
            entry.wait_key = Some(key);
            self.waiting.insert(key, ());
        }
        if is_repeating && !self.repeating.contains(&identity) {
            self.repeating.push(identity);
        }
    }

    /// Begins the occurrences that have become due, in all repeated jobs.
    pub(super) fn begin_due_occurrences(&mut self, unix_ms: u64) {
        let mut repeating = std::mem::take(&mut self.repeating);
        repeating.retain(|identity| {
            let Some(entry) = self.jobs.get(identity) else {
                return false;
            };
            !entry.progress.standing.is_final() && entry.progress.begun < entry.spec.occurrences()
        });
        let due: Vec<JobIdentity> = repeating
            .iter()
            .filter(|identity| {
                let entry = self.jobs.get(*identity);
                entry.is_some_and(|entry| is_next_due(entry, unix_ms))
            })
            .copied()
            .collect();
        self.repeating = repeating;
        for identity in due {
            self.refresh_job(identity, unix_ms);
        }
    }

    /// Adds the runs of a job that an earlier owner assigned. Orders that were meant for an
    /// earlier incarnation may have given the longest lease to the one that is listed now.
    fn inherit_runs(&mut self, identity: JobIdentity, entry: &JobEntry, now: MonoTime) {
        let restart_leases_end = now.plus_millis(self.limits.lease_bound_ms());
        for occurrence in &entry.progress.occurrences {
            for (step, progress) in occurrence.steps.iter().enumerate() {
                for (index, task) in progress.tasks.iter().enumerate() {
                    let TaskStage::Assigned(assignment) = &task.stage else {
                        continue;
                    };
                    let task_identity = TaskIdentity {
                        job: identity,
                        occurrence: occurrence.number,
                        step: u32::try_from(step).unwrap_or(u32::MAX),
                        index: u32::try_from(index).unwrap_or(u32::MAX),
                    };
                    let step_spec = &entry.spec.steps[step];
                    let demand = TaskDemand {
                        task: task_identity,
                        service: "",
                        step: step_spec,
                        image: self.image_of(step_spec),
                        needs_ticket: false,
                        history: RunHistory::Started,
                        is_overdue: false,
                    };
                    let incarnation = assignment.incarnation;
                    let run =
                        Self::run_entry(task.run, incarnation, &demand, RunState::Inherited, now);
                    let tracked = self
                        .workers
                        .get_or_insert_with(assignment.worker.clone(), || {
                            Box::new(TrackedWorker::new(None, now))
                        });
                    let entry = tracked.entry.as_ref();
                    if entry.is_some_and(|entry| run.is_earlier_than(entry)) {
                        tracked.unknown_leases_end = restart_leases_end;
                    }
                    tracked.add_run(task_identity, run);
                }
            }
        }
    }
}

/// Whether the job's row has room for another active occurrence.
fn has_room_for_occurrence(entry: &JobEntry) -> bool {
    let active = entry.progress.occurrences.len() as u64;
    let tasks_each: u64 = entry
        .spec
        .steps
        .iter()
        .map(|step| u64::from(step.tasks))
        .sum();
    let tasks = (active + 1).saturating_mul(tasks_each);
    active == 0 || (active < ACTIVE_OCCURRENCES_MAX as u64 && tasks <= ACTIVE_TASKS_MAX)
}

fn is_next_due(entry: &JobEntry, unix_ms: u64) -> bool {
    let repeat = entry.spec.repeat;
    repeat.is_none_or(|rule| rule.due_unix_ms(entry.progress.begun) <= unix_ms)
}

/// Begins the occurrences that are due. Those for which the job's row has no room wait for
/// earlier ones to end.
fn begin_occurrences(entry: &mut JobEntry, unix_ms: u64) {
    while entry.progress.begun < entry.spec.occurrences()
        && has_room_for_occurrence(entry)
        && is_next_due(entry, unix_ms)
    {
        let occurrence = OccurrenceProgress::new(entry.progress.begun, &entry.spec);
        entry.progress.occurrences.push(occurrence);
        entry.progress.begun += 1;
    }
}
