//! The jobs of a cell as read from the store.

use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_jobs::DelegatedTask;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobOwner;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::ReturnedTask;
use sapphirestile_jobs::StoredJob;
use sapphirestile_jobs::UnappliedEnd;

use crate::ports::StoredRow;
use crate::store::IntakeEvent;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The jobs of a cell, and the tasks that other cells have transferred to it.
///
/// A job is left out if its specification, its progress or the end of a run cannot be read:
/// without them it would begin anew beside the runs that it has. Its rows stay for a daemon that
/// can read them.
#[derive(Debug, Default)]
pub struct StoredCell {
    jobs: Vec<StoredJob>,
    delegated: Vec<DelegatedTask>,
    returned: Vec<ReturnedTask>,
    /// Jobs that were cancelled before they were stored.
    cancelled_early: Vec<JobIdentity>,
    /// Jobs that were ended here after their last task had left.
    ended_elsewhere: Vec<JobIdentity>,
    /// Ends of runs that an owner stored which had left out their jobs.
    ends: Vec<UnappliedEnd>,
    /// Jobs that are left out.
    unreadable: SortedTable<JobIdentity, ()>,
    /// Those of them that were not cancelled.
    left_out: Vec<JobIdentity>,
}

impl StoredCell {
    /// Joins the specification, the progress and the cancellation of each job. A job of
    /// another cell has its specification in the rows of its tasks.
    #[must_use]
    pub fn join(intake: Vec<IntakeEvent>, progress_rows: &[StoredRow]) -> Self {
        let mut cell = Self::default();
        let mut specs: Vec<(JobIdentity, JobSpec, JobPlace)> = Vec::new();
        let mut cancelled: SortedTable<JobIdentity, ()> = SortedTable::new();
        let mut unreadable: Vec<JobIdentity> = Vec::new();
        for event in intake {
            match event {
                IntakeEvent::Submitted { identity, spec, .. } => {
                    specs.push((identity, spec, JobPlace::Home));
                }
                IntakeEvent::Cancelled(identity) => {
                    cancelled.insert(identity, ());
                }
                IntakeEvent::CancelledEarly { identity, .. } => {
                    cell.cancelled_early.push(identity);
                }
                IntakeEvent::Delegated(task) => {
                    let place = JobPlace::Guest { home: task.home };
                    specs.push((task.task.job, task.spec.clone(), place));
                    cell.delegated.push(*task);
                }
                IntakeEvent::Returned(task) => cell.returned.push(task),
                IntakeEvent::Unreadable(identity) => unreadable.push(identity),
            }
        }
        // The tasks of a job of another cell have equal specifications.
        specs.dedup_by_key(|(identity, _, _)| *identity);
        let home = cell.decode_progress(progress_rows, RowKeys::identity_of);
        let guests = cell.decode_progress(progress_rows, RowKeys::guest_identity_of);
        cell.decode_ends(progress_rows);
        let has_rows = |job: &JobIdentity| specs.iter().any(|(identity, _, _)| identity == job);
        let ended_elsewhere = cancelled.keys().filter(|job| !has_rows(job));
        cell.ended_elsewhere = ended_elsewhere.copied().collect();
        // A job goes on without a transfer that cannot be read.
        for job in unreadable.into_iter().filter(|job| !has_rows(job)) {
            cell.unreadable.insert(job, ());
        }
        for (identity, spec, place) in specs {
            let progress = if place.is_guest() {
                let stored = guests.get(&identity).cloned();
                Some(stored.unwrap_or_else(|| JobProgress::of_guest(&spec)))
            } else {
                home.get(&identity).cloned()
            };
            cell.add_job(StoredJob {
                identity,
                spec,
                progress,
                place,
                is_cancelled: cancelled.contains(&identity),
            });
        }
        cell.drop_unreadable();
        let unreadable = cell.unreadable.keys();
        let left_out = unreadable.filter(|job| !cancelled.contains(job));
        cell.left_out = left_out.copied().collect();
        cell
    }

    /// The jobs of the cell that are left out.
    #[must_use]
    pub const fn unreadable(&self) -> &SortedTable<JobIdentity, ()> {
        &self.unreadable
    }

    /// Adds the jobs and tasks to their new owner. Cancelled jobs take no task. Runs of the jobs
    /// that are left out go on.
    pub fn restore_into(self, owner: &mut JobOwner, now: MonoTime, unix_ms: u64) {
        for job in self.jobs {
            owner.restore_job(job, now, unix_ms);
        }
        for job in self.left_out {
            owner.leave_out(job);
        }
        for end in &self.ends {
            owner.apply_stored_end(end, now, unix_ms);
        }
        for task in self.delegated {
            owner.receive_task(task, now, unix_ms);
        }
        for task in self.returned {
            owner.take_back_task(task, now, unix_ms);
        }
        for job in self.cancelled_early {
            owner.retain_cancellation(job, now);
        }
        for job in self.ended_elsewhere {
            owner.forget_ended_elsewhere(job);
        }
    }

    fn add_job(&mut self, job: StoredJob) {
        let progress = job.progress.as_ref();
        if progress.is_none_or(|progress| progress.fits(&job.spec)) {
            self.jobs.push(job);
            return;
        }
        tracing::error!(
            job = %job.identity,
            "progress of a job does not fit its specification"
        );
        self.unreadable.insert(job.identity, ());
    }

    /// Leaves out whatever is stored of the jobs that have unreadable rows.
    fn drop_unreadable(&mut self) {
        let unreadable = &self.unreadable;
        self.jobs.retain(|job| !unreadable.contains(&job.identity));
        self.delegated
            .retain(|task| !unreadable.contains(&task.task.job));
        self.returned
            .retain(|task| !unreadable.contains(&task.task.job));
        self.ended_elsewhere.retain(|job| !unreadable.contains(job));
        self.ends
            .retain(|end| !unreadable.contains(&end.ended.task.job));
    }

    /// Reads the ends of runs. Jobs of which one is malformed become unreadable.
    fn decode_ends(&mut self, rows: &[StoredRow]) {
        for row in rows {
            let Some(identity) = RowKeys::ended_identity_of(&row.key) else {
                continue;
            };
            if let Some(end) = RowCodec::decode(&row.value) {
                self.ends.push(end);
            } else {
                tracing::error!(key = row.key, "cannot decode the end of a run");
                self.unreadable.insert(identity, ());
            }
        }
    }

    /// Progress of the jobs whose identity `job_of` reads from the key. Those whose rows are
    /// malformed become unreadable.
    fn decode_progress(
        &mut self,
        rows: &[StoredRow],
        job_of: impl Fn(&str) -> Option<JobIdentity>,
    ) -> SortedTable<JobIdentity, JobProgress> {
        let mut decoded = SortedTable::new();
        for row in rows {
            let Some(identity) = job_of(&row.key) else {
                continue;
            };
            if let Some(progress) = RowCodec::decode(&row.value) {
                decoded.insert(identity, progress);
            } else {
                tracing::error!(key = row.key, "cannot decode the progress of a job");
                self.unreadable.insert(identity, ());
            }
        }
        decoded
    }
}
