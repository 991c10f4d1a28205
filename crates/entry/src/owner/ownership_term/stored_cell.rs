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

use crate::ports::StoredRow;
use crate::store::IntakeEvent;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The jobs of a cell, and the tasks that other cells have transferred to it.
#[derive(Debug, Default)]
pub struct StoredCell {
    jobs: Vec<StoredJob>,
    delegated: Vec<DelegatedTask>,
    returned: Vec<ReturnedTask>,
    /// Jobs that were cancelled before they were stored.
    cancelled_early: Vec<JobIdentity>,
    /// Jobs that were ended here after their last task had left.
    ended_elsewhere: Vec<JobIdentity>,
}

impl StoredCell {
    /// Joins the specification, the progress and the cancellation of each job. A job of
    /// another cell has its specification in the rows of its tasks.
    pub fn join(intake: Vec<IntakeEvent>, progress_rows: &[StoredRow]) -> Self {
        let mut cell = Self::default();
        let mut specs: Vec<(JobIdentity, JobSpec, JobPlace)> = Vec::new();
        let mut cancelled: SortedTable<JobIdentity, ()> = SortedTable::new();
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
            }
        }
        // The tasks of a job of another cell have equal specifications.
        specs.dedup_by_key(|(identity, _, _)| *identity);
        let (home, guests) = (
            decode_progress(progress_rows, RowKeys::identity_of),
            decode_progress(progress_rows, RowKeys::guest_identity_of),
        );
        let has_rows = |job: &JobIdentity| specs.iter().any(|(identity, _, _)| identity == job);
        let ended_elsewhere = cancelled.keys().filter(|job| !has_rows(job));
        cell.ended_elsewhere = ended_elsewhere.copied().collect();
        let jobs = specs.into_iter().map(|(identity, spec, place)| {
            let progress = if place.is_guest() {
                let stored = guests.get(&identity).cloned();
                Some(stored.unwrap_or_else(|| JobProgress::of_guest(&spec)))
            } else {
                home.get(&identity).cloned()
            };
            StoredJob {
                identity,
                spec,
                progress,
                place,
                is_cancelled: cancelled.contains(&identity),
            }
        });
        cell.jobs = jobs.collect();
        cell
    }

    /// Adds the jobs and tasks to their new owner. Cancelled jobs take no task.
    pub fn restore_into(self, owner: &mut JobOwner, now: MonoTime, unix_ms: u64) {
        for job in self.jobs {
            owner.restore_job(job, now, unix_ms);
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
}

/// Progress of the jobs whose identity `job_of` reads from the key.
fn decode_progress(
    rows: &[StoredRow],
    job_of: impl Fn(&str) -> Option<JobIdentity>,
) -> SortedTable<JobIdentity, JobProgress> {
    let decoded = rows.iter().filter_map(|row| {
        let identity = job_of(&row.key)?;
        let progress = RowCodec::decode(&row.value);
        if progress.is_none() {
            tracing::error!(key = row.key, "cannot decode the progress of a job");
        }
        Some((identity, progress?))
    });
    decoded.collect()
}
