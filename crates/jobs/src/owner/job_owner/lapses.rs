//! What happens because time passes.

use crate::order::JobIdentity;
use crate::order::TaskAddress;
use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::owner::RunCause;
use crate::worker::RunStanding;
use crate::worker::WorkerView;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// How much slower than ours a worker's clock may go, as a divisor.
const DRIFT_DIVISOR: u64 = 40;

impl JobOwner {
    /// Takes note of the time: leases that ended, stops that are due again, jobs to
    /// forget, workers that left.
    pub fn pass_time(&mut self, now: MonoTime, unix_ms: u64) {
        let names: Vec<WorkerName> = self.workers.keys().cloned().collect();
        for name in names {
            self.send_due_stops(&name, now);
            self.lapse_worker(&name, now, unix_ms);
        }
        self.relieve_stragglers(now);
        self.forget_workers();
        self.forget_jobs(now);
    }

    fn lapse_worker(&mut self, name: &WorkerName, now: MonoTime, unix_ms: u64) {
        let inherited_end = self.inherited_end();
        let Some(view) = self.workers.get(name) else {
            return;
        };
        let has_lapsed = view.clock.is_some_and(|clock| clock.has_lapsed(now));
        let is_unseen = view.clock.is_none() && now >= inherited_end;
        if !has_lapsed && !is_unseen {
            return;
        }
        let ended: Vec<TaskAddress> = view
            .runs
            .iter()
            .filter(|(_, run)| match run.standing {
                RunStanding::Planned | RunStanding::Starting => false,
                _ => has_lapsed || is_unseen,
            })
            .map(|(task, _)| *task)
            .collect();
        for task in ended {
            self.settle_run(name, &task, RunCause::Lapsed, now, unix_ms);
        }
    }

    /// When every lease that an earlier owner gave has ended: it gave none that
    /// ends later than this after its last stored batch.
    fn inherited_end(&self) -> MonoTime {
        let wait_ms = self.limits.authority_ms + self.limits.authority_ms / DRIFT_DIVISOR;
        self.claimed.plus_millis(wait_ms)
    }

    fn forget_workers(&mut self) {
        let is_gone = |view: &WorkerView| !view.is_listed && view.runs.is_empty();
        let gone: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, view)| is_gone(view) && !view.is_looked_at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            let view = self.workers.remove(&name);
            let entry = view.and_then(|view| view.entry);
            self.effects.push(OwnerEffect::Forget {
                worker: name,
                address: entry.map(|entry| entry.address),
            });
        }
    }

    fn forget_jobs(&mut self, now: MonoTime) {
        let remember_ms = self.limits.remember_ms;
        let old: Vec<JobIdentity> = self
            .jobs
            .iter()
            .filter(|(_, entry)| {
                let ended = entry.ended;
                ended.is_some_and(|ended| now.millis_since(ended) > remember_ms)
            })
            .map(|(identity, _)| *identity)
            .collect();
        for identity in old {
            let has_runs = self
                .workers
                .values()
                .any(|view| view.runs.keys().any(|task| task.job == identity));
            if !has_runs {
                self.jobs.remove(&identity);
                self.changed.remove(&identity);
                self.forgotten.push(identity);
            }
        }
    }
}
