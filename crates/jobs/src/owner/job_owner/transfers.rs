//! Transfers of tasks to cells that have a worker for them.
//!
//! A job that has begun keeps its home, where its callers' requests arrive. A long-running
//! task that has run and finds no worker there is delegated to another cell; if that has none
//! either, the task returns. Only a task without a run is transferred, and one commit changes
//! the rows of both cells, so no task is ever in two cells or in none.

use std::sync::Arc;

use crate::division::VacancyTable;
use crate::owner::DecisionEvent;
use crate::owner::DelegatedTask;
use crate::owner::JobOwner;
use crate::owner::JobPlace;
use crate::owner::JobTransfer;
use crate::owner::ReturnedTask;
use crate::owner::TaskTransfer;
use crate::progress::JobProgress;
use crate::progress::JobStanding;
use crate::progress::TaskStage;
use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;

/// How long a task looks for a worker at home before it is delegated, in milliseconds. One that
/// another cell has given back is delegated as soon as it has found none.
const DELEGATE_AFTER_MS: u64 = 300;

/// How long a delegated task looks for a worker before it returns, in milliseconds. It then
/// returns for room that another cell has reported since it came.
const RETURN_AFTER_MS: u64 = 300;

/// The same while a worker would have room once its shorter tasks have ended.
const RETURN_FROM_OCCUPIED_AFTER_MS: u64 = 1_500;

/// Maximum number of tasks that are transferred for one view of the other cells.
const TRANSFERS_PER_VIEW_MAX: usize = 32;

/// Maximum number of tasks of one job that are transferred at once, as a commit carries only
/// so many rows.
const TRANSFERS_PER_JOB_MAX: usize = 8;

/// Distance between the places at which the owners of two cells begin to look for room.
const OWNER_OFFSET: usize = 13;

/// How long a task waits before it is reported, in milliseconds, and the shortest time between
/// two reports.
const DELAY_INTERVAL_MS: u64 = 1_000;

impl JobOwner {
    /// Decides which tasks without a worker are transferred to other cells. To be called once
    /// for each view of the other cells.
    pub fn plan_transfers(&mut self, own: CellNumber, vacancies: &mut VacancyTable, now: MonoTime) {
        for (_, task) in self.unplaced_by_wait(now) {
            if self.transfers.len() >= TRANSFERS_PER_VIEW_MAX {
                break;
            }
            self.count_view(own, &task, vacancies);
            let Some(transfer) = self.choose_transfer(own, &task, vacancies, now) else {
                continue;
            };
            self.begin_transfer(transfer, now);
        }
        self.report_delayed(own, vacancies, now);
    }

    /// Reports the task that has waited longest, at most one in an interval.
    fn report_delayed(&mut self, own: CellNumber, vacancies: &VacancyTable, now: MonoTime) {
        if now.millis_since(self.delay_reported) < DELAY_INTERVAL_MS {
            return;
        }
        let Some((waited_ms, task)) = self.unplaced_by_wait(now).first().copied() else {
            return;
        };
        let Some(unplaced) = self.unplaced.get(&task) else {
            return;
        };
        let Some(entry) = self.jobs.get(&task.job) else {
            return;
        };
        if waited_ms < DELAY_INTERVAL_MS {
            return;
        }
        let step = &entry.spec.steps[task.step as usize];
        let service = self.service_of(&entry.spec.queue, &entry.spec.terms.service);
        self.decisions.push(DecisionEvent::TaskDelayed {
            task,
            cpu_milli: step.size.cpu_milli,
            waited_ms,
            tasks: self.unplaced.len(),
            is_guest: entry.place.is_guest(),
            is_transferring: entry.transferring.contains(&task),
            declined: unplaced.declined.len(),
            census: vacancies.census(own, step, &service),
        });
        self.delay_reported = now;
    }

    /// Transfer of a task that has waited long enough, if another cell has a worker for it.
    fn choose_transfer(
        &mut self,
        own: CellNumber,
        task: &TaskIdentity,
        vacancies: &mut VacancyTable,
        now: MonoTime,
    ) -> Option<TaskTransfer> {
        let Some(entry) = self
            .jobs
            .get(&task.job)
            .filter(|entry| entry.has_waiting(task))
        else {
            self.unplaced.remove(task);
            return None;
        };
        if entry.transferring.len() >= TRANSFERS_PER_JOB_MAX {
            return None;
        }
        let spec = Arc::clone(&entry.spec);
        let (place, progress) = (entry.place, entry.progress.task(task)?);
        let (run, checkpoint) = (progress.run + 1, progress.checkpoint.clone());
        let received_run = entry.received.get(task).copied().unwrap_or_default();
        let step = &spec.steps[task.step as usize];
        let service = self.service_of(&spec.queue, &spec.terms.service);
        let offset = usize::from(own.get()) * OWNER_OFFSET + task.index as usize;
        let idle_ms = self.waited_in_all_ms(task, now);
        let is_occupied = self.has_worker_beside_short_runs(task, now);
        let unplaced = self.unplaced.get_mut(task)?;
        let waited_ms = now.millis_since(unplaced.since);
        match place {
            JobPlace::Home => {
                let has_returned = !unplaced.declined.is_empty() && unplaced.is_refused;
                if waited_ms < DELEGATE_AFTER_MS && (is_occupied || !has_returned) {
                    return None;
                }
                let mut excluded = unplaced.declined.clone();
                excluded.push(own);
                let Some(target) = vacancies.take(&excluded, step, &service, offset) else {
                    unplaced.declined.clear();
                    return None;
                };
                let delegated = DelegatedTask {
                    task: *task,
                    run,
                    checkpoint,
                    home: own,
                    spec: (*spec).clone(),
                    idle_ms,
                };
                Some(TaskTransfer::Delegate { target, delegated })
            }
            JobPlace::Guest { home } => {
                let return_after_ms = if is_occupied {
                    RETURN_FROM_OCCUPIED_AFTER_MS
                } else {
                    RETURN_AFTER_MS
                };
                if waited_ms < return_after_ms {
                    return None;
                }
                vacancies.take_newer(&[own], step, &service, offset, waited_ms)?;
                let returned = ReturnedTask {
                    task: *task,
                    run,
                    checkpoint,
                    from: own,
                    idle_ms,
                };
                Some(TaskTransfer::Return {
                    home,
                    returned,
                    received_run,
                })
            }
        }
    }

    fn begin_transfer(&mut self, transfer: TaskTransfer, now: MonoTime) {
        let task = transfer.task();
        self.note_departing(&task, now);
        let unplaced = self.unplaced.get(&task);
        let waited_ms = unplaced.map_or(0, |unplaced| now.millis_since(unplaced.since));
        self.report_wait_end(task, transfer.run(), Some(transfer.target()), now);
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        entry.transferring.push(task);
        self.decisions.push(DecisionEvent::TaskTransferred {
            task,
            run: transfer.run(),
            target: transfer.target(),
            is_return: matches!(transfer, TaskTransfer::Return { .. }),
            waited_ms,
        });
        self.transfers.push(transfer);
    }

    /// Takes the transfers that the next batch stores.
    pub(super) fn take_transfers(&mut self) -> Vec<JobTransfer> {
        self.storing_transfers = std::mem::take(&mut self.transfers);
        let mut jobs: Vec<JobIdentity> = self
            .storing_transfers
            .iter()
            .map(|transfer| transfer.task().job)
            .collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs.into_iter()
            .filter_map(|job| self.job_transfer(job))
            .collect()
    }

    fn job_transfer(&self, job: JobIdentity) -> Option<JobTransfer> {
        let entry = self.jobs.get(&job)?;
        let of_job = |transfer: &&TaskTransfer| transfer.task().job == job;
        let transfers = self.storing_transfers.iter().filter(of_job);
        let transfers: Vec<TaskTransfer> = transfers.cloned().collect();
        let mut progress = entry.progress.clone();
        for transfer in &transfers {
            apply_transfer(&mut progress, transfer);
        }
        let is_kept = !entry.place.is_guest() || progress.has_tasks_here();
        Some(JobTransfer {
            job,
            place: entry.place,
            progress: is_kept.then_some(progress),
            transfers,
        })
    }

    /// Records which transfers of the latest batch are stored: all but those of the jobs in
    /// `refused`, which were cancelled meanwhile.
    pub fn finish_transfers(&mut self, refused: &[JobIdentity], now: MonoTime, unix_ms: u64) {
        for transfer in std::mem::take(&mut self.storing_transfers) {
            let task = transfer.task();
            let Some(entry) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            entry.transferring.retain(|other| *other != task);
            if !refused.contains(&task.job) {
                apply_transfer(&mut entry.progress, &transfer);
                self.leave_task(&transfer, now);
            }
            self.refresh_job(task.job, unix_ms);
        }
    }

    /// Updates the job of a task that has left this cell.
    fn leave_task(&mut self, transfer: &TaskTransfer, now: MonoTime) {
        let task = transfer.task();
        self.unplaced.remove(&task);
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        entry.received.remove(&task);
        entry.idle_tasks.remove(&task);
        match transfer {
            TaskTransfer::Delegate { target, .. } => {
                // The job may have failed while the transfer was being stored.
                if entry.progress.standing.is_final() {
                    self.revoked.push((task.job, *target));
                }
            }
            TaskTransfer::Return { .. } => {
                if !entry.progress.has_tasks_here() {
                    entry.ended = Some(now);
                }
            }
        }
    }

    /// Gives up the transfers of an ended job that are not being stored, and has the other
    /// cells end what they have of it.
    pub(super) fn revoke_tasks(&mut self, job: JobIdentity) {
        self.transfers.retain(|transfer| transfer.task().job != job);
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let storing = &self.storing_transfers;
        let is_storing = |task: &TaskIdentity| storing.iter().any(|other| other.task() == *task);
        entry.transferring.retain(is_storing);
        if entry.place == JobPlace::Home {
            let cells = entry.progress.other_cells().into_iter();
            self.revoked.extend(cells.map(|cell| (job, cell)));
        }
    }
}

/// Records in the progress of a job that a task has left. The job counts as begun: this cell
/// does not learn when the task starts in the other one.
fn apply_transfer(progress: &mut JobProgress, transfer: &TaskTransfer) {
    if progress.standing == JobStanding::Waiting {
        progress.standing = JobStanding::Running;
    }
    if let Some(task) = progress.task_mut(&transfer.task()) {
        task.stage = TaskStage::Elsewhere(transfer.target());
        task.run = transfer.run();
    }
}
