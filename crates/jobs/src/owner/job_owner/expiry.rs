//! Expiry of leases, and clean-up of jobs and workers.

use crate::owner::DecisionEvent;
use crate::owner::GuestRemoval;
use crate::owner::JobDeparture;
use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::owner::RunCause;
use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;
use crate::worker::RunState;
use crate::worker::TrackedWorker;
use crate::worker::WorkerSilence;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// How long the owner tries to reach a worker that is listed but does not respond, after the
/// lease of its runs has ended, in milliseconds.
const LISTED_WAIT_MS: u64 = 8_000;

/// Time after a claim within which a worker without an entry may be listed again, in
/// milliseconds: entries that expired while the store was unavailable are back two seconds
/// after it.
const ENTRY_RETURN_MS: u64 = 2_500;

impl JobOwner {
    /// Handles everything that is due at `now`: expired leases, stop requests to be retried,
    /// slow runs, and jobs and workers to be dropped.
    pub fn advance_time(&mut self, now: MonoTime, unix_ms: u64) {
        let names: Vec<WorkerName> = self.workers.keys().cloned().collect();
        for name in names {
            self.send_due_stops(&name, now);
            self.report_silence(&name, now);
            self.expire_leases(&name, now, unix_ms);
        }
        self.handle_stragglers(now);
        self.forget_workers();
        self.forget_jobs(now);
    }

    /// Reports once that a worker with runs does not respond, and how long they wait.
    fn report_silence(&mut self, name: &WorkerName, now: MonoTime) {
        let inherited_lease_end = self.inherited_lease_end(name);
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        if tracked.runs.is_empty() || !tracked.is_silent(now) {
            return;
        }
        let silence = tracked.silence.get_or_insert(WorkerSilence {
            poll_sent: MonoTime::default(),
            is_replaced: false,
            is_reported: false,
        });
        if silence.is_reported {
            return;
        }
        silence.is_reported = true;
        let is_replaced = silence.is_replaced;
        let lease_left_ms = tracked.lease_left_ms(inherited_lease_end, now);
        self.decisions.push(DecisionEvent::WorkerSilent {
            worker: name.clone(),
            runs: tracked.runs.len(),
            is_listed: tracked.is_listed,
            has_responded: tracked.known.is_some(),
            is_replaced,
            lease_left_ms,
        });
    }

    /// Gives up the runs of a worker whose lease has ended and which does not respond. A
    /// worker that responds lists how its runs ended. One that is still listed lives: it may
    /// have completed a run before its lease ended, so only long-running runs, which never
    /// complete, are given up at once.
    fn expire_leases(&mut self, name: &WorkerName, now: MonoTime, unix_ms: u64) {
        let inherited_lease_end = self.inherited_lease_end(name);
        let Some(tracked) = self.workers.get(name) else {
            return;
        };
        let has_lapsed_at = |time: MonoTime| match tracked.clock() {
            Some(clock) => clock.has_lapsed(time),
            None => time >= inherited_lease_end.max(tracked.unknown_leases_end),
        };
        if !has_lapsed_at(now) || !tracked.is_silent(now) {
            return;
        }
        let earlier_ms = now.as_millis().saturating_sub(LISTED_WAIT_MS);
        let may_be_listed_again =
            tracked.entry.is_none() && now < self.claimed.plus_millis(ENTRY_RETURN_MS);
        let is_gone = !tracked.is_listed && !may_be_listed_again;
        let is_given_up = is_gone || has_lapsed_at(MonoTime::from_millis(earlier_ms));
        let ended: Vec<TaskIdentity> = tracked
            .runs
            .iter()
            .filter(|(_, run)| !matches!(run.state, RunState::Planned | RunState::Starting))
            .filter(|(_, run)| is_given_up || run.is_long_running)
            .map(|(task, _)| *task)
            .collect();
        if ended.is_empty() {
            return;
        }
        let poll_sent = tracked.silence.map(|silence| silence.poll_sent);
        self.decisions.push(DecisionEvent::RunsGivenUp {
            worker: name.clone(),
            runs: ended.len(),
            kept: tracked.runs.len() - ended.len(),
            is_listed: tracked.is_listed,
            response_age_ms: now.millis_since(tracked.last_response),
            poll_age_ms: now.millis_since(poll_sent.unwrap_or_default()),
        });
        for task in ended {
            self.finish_run(name, &task, RunCause::Lapsed, now, unix_ms);
        }
    }

    /// When every lease has ended that an earlier owner granted to the worker.
    pub(super) fn inherited_lease_end(&self, worker: &WorkerName) -> MonoTime {
        self.claimed.plus_millis(self.inherited.left_ms(worker))
    }

    fn forget_workers(&mut self) {
        let is_gone = |tracked: &TrackedWorker| !tracked.is_listed && tracked.runs.is_empty();
        let gone: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, tracked)| is_gone(tracked) && !tracked.is_polling)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            let tracked = self.workers.remove(&name);
            let entry = tracked.and_then(|tracked| tracked.entry);
            self.effects.push(OwnerEffect::Forget {
                worker: name,
                address: entry.map(|entry| entry.address),
            });
        }
    }

    fn forget_jobs(&mut self, now: MonoTime) {
        let retention_ms = self.limits.retention_ms;
        let old: Vec<JobIdentity> = self
            .jobs
            .iter()
            .filter(|(_, entry)| {
                let ended = entry.ended.filter(|_| entry.departure.is_none());
                ended.is_some_and(|ended| now.millis_since(ended) > retention_ms)
            })
            .map(|(identity, _)| *identity)
            .collect();
        for identity in old {
            let has_runs = self
                .workers
                .values()
                .any(|tracked| tracked.runs.keys().any(|task| task.job == identity));
            if !has_runs {
                self.forget_job(identity);
            }
        }
    }

    /// Has the rows of a job deleted. The job stays until that is stored: its rows may be
    /// listed meanwhile, and would look like those of a new job. A job of another cell that has
    /// not ended has no rows: its tasks have left with them, and may come again.
    fn forget_job(&mut self, identity: JobIdentity) {
        let Some(entry) = self.jobs.get_mut(&identity) else {
            return;
        };
        if entry.place.is_guest() && !entry.progress.standing.is_final() {
            self.changed.remove(&identity);
            self.jobs.remove(&identity);
            return;
        }
        entry.departure = Some(JobDeparture::Removal);
        if !entry.place.is_guest() {
            self.forgotten.push(identity);
            return;
        }
        let received = entry.received.iter();
        self.forgotten_guests.push(GuestRemoval {
            job: identity,
            received: received.map(|(task, run)| (*task, *run)).collect(),
        });
    }

    /// Drops the jobs whose rows the latest batch has deleted.
    pub(super) fn finish_forgetting(&mut self) {
        for job in std::mem::take(&mut self.forgetting) {
            let entry = self.jobs.get(&job);
            if entry.is_some_and(|entry| entry.departure == Some(JobDeparture::Removal)) {
                self.changed.remove(&job);
                self.jobs.remove(&job);
            }
        }
    }
}
