//! Takes jobs and cancellations in.

use std::sync::Arc;

use crate::order::JobIdentity;
use crate::order::JobOrder;
use crate::order::TaskAddress;
use crate::owner::DecisionNote;
use crate::owner::JobEntry;
use crate::owner::JobOwner;
use crate::owner::StoredJob;
use crate::owner::WaitKey;
use crate::planner::TaskDemand;
use crate::state::JobRecord;
use crate::state::JobStanding;
use crate::state::OccurrenceRecord;
use crate::state::TaskPhase;
use crate::worker::RunStanding;
use crate::worker::WorkerView;
use sapphirestile_core::MonoTime;

impl JobOwner {
    /// Takes a job over from the store, with the runs that an earlier owner
    /// assigned.
    pub fn adopt_job(&mut self, stored: StoredJob, now: MonoTime, unix_ms: u64) {
        let identity = stored.identity;
        if self.jobs.contains(&identity) {
            return;
        }
        let record = stored.record.unwrap_or_default();
        let accepted_unix_ms = stored.order.accepted_unix_ms;
        let entry = JobEntry {
            order: Arc::new(stored.order),
            ended: record.standing.is_final().then_some(now),
            record,
            wait_key: None,
            since: before(now, unix_ms.saturating_sub(accepted_unix_ms)),
        };
        self.inherit_runs(identity, &entry, now);
        self.jobs.insert(identity, Box::new(entry));
        if stored.is_cancelled {
            self.cancel_job(identity, now);
        }
        self.refresh_job(identity, unix_ms);
    }

    /// Takes a new job.
    pub fn accept_job(
        &mut self,
        identity: JobIdentity,
        order: JobOrder,
        now: MonoTime,
        unix_ms: u64,
    ) {
        if self.jobs.contains(&identity) {
            return;
        }
        let entry = JobEntry {
            order: Arc::new(order),
            record: JobRecord::default(),
            wait_key: None,
            since: now,
            ended: None,
        };
        self.jobs.insert(identity, Box::new(entry));
        self.refresh_job(identity, unix_ms);
    }

    /// Takes note that a caller wants no more of a job: nothing of it starts from
    /// now on, and what runs is stopped.
    pub fn cancel_job(&mut self, identity: JobIdentity, now: MonoTime) {
        let Some(entry) = self.jobs.get(&identity) else {
            return;
        };
        if !entry.record.standing.is_final() {
            self.end_job(identity, JobStanding::Cancelled, now);
        }
    }

    /// Ends a job and stops what runs of it.
    pub(super) fn end_job(&mut self, identity: JobIdentity, standing: JobStanding, now: MonoTime) {
        let Some(entry) = self.jobs.get_mut(&identity) else {
            return;
        };
        entry.record.standing = standing;
        entry.ended = Some(now);
        let age_ms = now.millis_since(entry.since);
        if let Some(key) = entry.wait_key.take() {
            self.waiting.remove(&key);
        }
        self.disturbance.forget(&identity);
        self.advice.forget(&identity);
        self.changed.insert(identity, ());
        self.notes.push(DecisionNote::JobOver {
            job: identity,
            standing,
            age_ms,
        });
        self.stop_runs_of(identity, now);
    }

    /// Finds out what of a job can start, after something of it changed.
    pub(super) fn refresh_job(&mut self, identity: JobIdentity, unix_ms: u64) {
        let Some(entry) = self.jobs.get_mut(&identity) else {
            return;
        };
        if entry.record.standing.is_final() {
            return;
        }
        begin_occurrences(entry, unix_ms);
        let is_repeating = entry.record.begun < entry.order.occurrences();
        let queue = self.config.queues.get(&entry.order.queue);
        let priority = queue.map_or(entry.order.terms.priority, |queue| queue.terms.priority);
        let key = WaitKey::of(identity, &entry.order, priority);
        let can_start = entry.startable(&key, "").next().is_some();
        if let Some(before) = entry.wait_key.take() {
            self.waiting.remove(&before);
        }
        if can_start {
            entry.wait_key = Some(key);
            self.waiting.insert(key, ());
        }
        if is_repeating && !self.repeating.contains(&identity) {
            self.repeating.push(identity);
        }
    }

    /// Begins the occurrences that have become due.
    pub(super) fn begin_due(&mut self, unix_ms: u64) {
        let mut repeating = std::mem::take(&mut self.repeating);
        repeating.retain(|identity| {
            let Some(entry) = self.jobs.get(identity) else {
                return false;
            };
            !entry.record.standing.is_final() && entry.record.begun < entry.order.occurrences()
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

    fn inherit_runs(&mut self, identity: JobIdentity, entry: &JobEntry, now: MonoTime) {
        for occurrence in &entry.record.occurrences {
            for (step, record) in occurrence.steps.iter().enumerate() {
                for (index, task) in record.tasks.iter().enumerate() {
                    let TaskPhase::Assigned(assignment) = &task.phase else {
                        continue;
                    };
                    let address = TaskAddress {
                        job: identity,
                        occurrence: occurrence.number,
                        step: u32::try_from(step).unwrap_or(u32::MAX),
                        index: u32::try_from(index).unwrap_or(u32::MAX),
                    };
                    let order = &entry.order.steps[step];
                    let demand = TaskDemand {
                        task: address,
                        service: "",
                        step: order,
                        image: self.image_of(order),
                        needs_ticket: false,
                    };
                    let run = Self::run_entry(task.run, &demand, RunStanding::Inherited, now);
                    let worker = self
                        .workers
                        .get_or_insert_with(assignment.worker.clone(), || {
                            Box::new(WorkerView::new(None, now))
                        });
                    worker.add_run(address, run);
                }
            }
        }
    }
}

/// The time so long before another, or the origin of the clock.
fn before(now: MonoTime, milliseconds: u64) -> MonoTime {
    MonoTime::from_millis(now.as_millis().saturating_sub(milliseconds))
}

fn is_next_due(entry: &JobEntry, unix_ms: u64) -> bool {
    let repeat = entry.order.repeat;
    repeat.is_none_or(|rule| rule.due_unix_ms(entry.record.begun) <= unix_ms)
}

fn begin_occurrences(entry: &mut JobEntry, unix_ms: u64) {
    while entry.record.begun < entry.order.occurrences() && is_next_due(entry, unix_ms) {
        let occurrence = OccurrenceRecord::new(entry.record.begun, &entry.order);
        entry.record.occurrences.push(occurrence);
        entry.record.begun += 1;
    }
}
