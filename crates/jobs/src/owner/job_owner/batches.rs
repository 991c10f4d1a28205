//! Has records stored before the effects that rest on them.

use crate::order::JobIdentity;
use crate::owner::CommitBatch;
use crate::owner::HeldEffect;
use crate::owner::JobOwner;
use crate::owner::QueueCount;
use crate::state::JobRecord;
use crate::state::JobStanding;
use sapphirestile_core::MonoTime;

impl JobOwner {
    /// What is to be stored now; none while a batch is being stored, or when
    /// nothing changed and `is_due` does not ask for a sign of life.
    pub fn take_batch(&mut self, is_due: bool, now: MonoTime) -> Option<CommitBatch> {
        if self.storing.is_some() || (!self.has_changes() && !is_due) {
            return None;
        }
        let changed = std::mem::take(&mut self.changed);
        let records = changed
            .keys()
            .filter_map(|identity| self.stored_record(identity));
        let batch = CommitBatch {
            records: records.collect(),
            forgotten: std::mem::take(&mut self.forgotten),
            counts: self.count_queues(),
            learnt: self.learnt_if_due(now),
            is_last: false,
        };
        self.storing = Some(std::mem::take(&mut self.held));
        self.sent = now;
        Some(batch)
    }

    /// Takes note that the latest batch was stored, and lets out what waited for it.
    pub fn batch_stored(&mut self, now: MonoTime, unix_ms: u64) {
        self.authority = self.sent;
        for effect in self.storing.take().unwrap_or_default() {
            match effect {
                HeldEffect::Start { worker, task, run } => {
                    self.release_start(&worker, &task, run, now, unix_ms);
                }
                HeldEffect::Look { worker, ends } => {
                    if let Some(view) = self.workers.get_mut(&worker) {
                        view.ends_stored = view.ends_stored.max(ends);
                        if view.awaits_batch.take().is_some() {
                            view.is_looked_at = false;
                            view.looked = now;
                        }
                    }
                }
            }
        }
    }

    /// Whether there is something to store.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty() || !self.held.is_empty() || !self.forgotten.is_empty()
    }

    /// Whether a batch is being stored.
    #[must_use]
    pub const fn is_storing(&self) -> bool {
        self.storing.is_some()
    }

    fn stored_record(&self, identity: &JobIdentity) -> Option<(JobIdentity, JobRecord)> {
        let entry = self.jobs.get(identity)?;
        Some((*identity, entry.record.clone()))
    }

    /// How many jobs of each queue have not begun.
    fn count_queues(&self) -> Vec<QueueCount> {
        let mut counts: Vec<QueueCount> = Vec::new();
        for entry in self.jobs.values() {
            if entry.record.standing != JobStanding::Waiting {
                continue;
            }
            let queue = &entry.order.queue;
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
