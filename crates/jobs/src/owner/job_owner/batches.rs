//! Batches of changes, which are stored before the effects that depend on them.

use crate::owner::CommitBatch;
use crate::owner::DeferredEffect;
use crate::owner::JobDeparture;
use crate::owner::JobOwner;
use crate::owner::QueueCount;
use crate::progress::JobStanding;
use crate::spec::JobIdentity;
use sapphirestile_core::MonoTime;

impl JobOwner {
    /// Takes the changes to be stored now. `None` while a batch is being stored, or if
    /// nothing changed and no heartbeat is due, as `is_due` says.
    pub fn take_batch(&mut self, is_due: bool, now: MonoTime) -> Option<CommitBatch> {
        if self.storing.is_some() || (!self.has_changes() && !is_due) {
            return None;
        }
        let mut changed = std::mem::take(&mut self.changed);
        for identity in std::mem::take(&mut self.begun).keys() {
            changed.insert(*identity, ());
        }
        let (mut progress, mut guests) = (Vec::new(), Vec::new());
        for identity in changed.keys() {
            let Some(entry) = self.jobs.get(identity) else {
                continue;
            };
            if entry.departure == Some(JobDeparture::Removal) {
                continue;
            }
            if !entry.place.is_guest() {
                progress.push((*identity, entry.progress.clone()));
            } else if entry.progress.has_tasks_here() {
                guests.push((*identity, entry.progress.clone()));
            }
        }
        let load = self.load_if_due(now);
        let batch = CommitBatch {
            progress,
            guests,
            forgotten_guests: std::mem::take(&mut self.forgotten_guests),
            revoked: std::mem::take(&mut self.revoked),
            absorbed: std::mem::take(&mut self.absorbed),
            unapplied_ends: std::mem::take(&mut self.unapplied_ends)
                .values()
                .cloned()
                .collect(),
            applied_ends: std::mem::take(&mut self.applied_ends),
            transfers: self.take_transfers(),
            vacancies: load.as_ref().map_or_else(Vec::new, |_| self.vacancies(now)),
            restarts: load
                .as_ref()
                .map_or_else(Vec::new, |_| self.restart_needs(now)),
            late_restarts: load
                .as_ref()
                .map_or_else(Vec::new, |_| self.late_restart_needs(now)),
            idle_tasks: load
                .as_ref()
                .map_or_else(Vec::new, |_| self.idle_tasks(now)),
            load,
            forgotten: std::mem::take(&mut self.forgotten),
            counts: self.count_queues(),
            learnt: self.learnt_if_due(now),
            moves: self.take_moves(),
            lease_bounds: self.take_lease_bounds(now),
            is_last: false,
        };
        self.forgetting.clone_from(&batch.forgotten);
        let guests = batch.forgotten_guests.iter();
        self.forgetting.extend(guests.map(|removal| removal.job));
        self.storing = Some(std::mem::take(&mut self.deferred));
        self.sent = now;
        Some(batch)
    }

    /// Records that the latest batch is stored, and releases the effects that waited for it.
    pub fn confirm_batch(&mut self, now: MonoTime, unix_ms: u64) {
        self.finish_forgetting();
        self.authority = Some(self.sent);
        self.resume_leases(now);
        for effect in self.storing.take().unwrap_or_default() {
            match effect {
                DeferredEffect::Start { worker, task, run } => {
                    self.send_start(&worker, &task, run, now, unix_ms);
                }
                DeferredEffect::Poll { worker, end } => {
                    if let Some(tracked) = self.workers.get_mut(&worker) {
                        if let Some(known) = &mut tracked.known {
                            known.record_stored(end);
                        }
                        if tracked.batch_wait_since.take().is_some() {
                            tracked.is_polling = false;
                            tracked.next_poll = now;
                        }
                    }
                }
            }
        }
    }

    /// Whether there are changes to store.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.has_grant_change
            || !self.changed.is_empty()
            || !self.deferred.is_empty()
            || !self.forgotten.is_empty()
            || !self.leaving.is_empty()
            || !self.transfers.is_empty()
            || !self.revoked.is_empty()
            || !self.absorbed.is_empty()
            || !self.applied_ends.is_empty()
            || !self.forgotten_guests.is_empty()
    }

    /// Whether the batch that is being stored takes the job, or some of its tasks, out of the
    /// cell. What the store says of the job meanwhile may be older than that or newer.
    #[must_use]
    pub fn is_departing(&self, job: &JobIdentity) -> bool {
        let mut transfers = self.storing_transfers.iter();
        self.moving.contains(job)
            || self.forgetting.contains(job)
            || transfers.any(|transfer| transfer.task().job == *job)
    }

    /// Whether a batch is being stored.
    #[must_use]
    pub const fn is_storing(&self) -> bool {
        self.storing.is_some()
    }

    /// Number of jobs in each queue that have not started.
    fn count_queues(&self) -> Vec<QueueCount> {
        let mut counts: Vec<QueueCount> = Vec::new();
        for entry in self.jobs.values() {
            if entry.progress.standing != JobStanding::Waiting {
                continue;
            }
            let queue = &entry.spec.queue;
            match counts.iter_mut().find(|count| count.queue == *queue) {
                Some(count) => count.waiting += 1,
                None => counts.push(QueueCount {
                    queue: queue.clone(),
                    waiting: 1,
                }),
            }
        }
        counts
    }
}
