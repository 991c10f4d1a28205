//! How an owner looks at workers, and what it believes of them.

use crate::job_ownership::job_bounds::AUTHORITY_TICKS;
use crate::job_ownership::job_bounds::LEASE_TICKS;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::known_standing::KnownStanding;
use crate::job_ownership::known_worker::KnownWorker;
use crate::job_ownership::look_call::LookCall;
use crate::job_ownership::look_shown::LookShown;
use crate::job_ownership::order_call::OrderCall;
use crate::job_ownership::worker_order::WorkerOrder;

impl JobModel {
    /// An owner begins a look.
    pub(super) fn send_look(self, state: &mut JobState, daemon: u8, worker: u8) {
        let lease_end = lease_end(state, daemon, worker);
        let owner = &mut state.daemons[usize::from(daemon)];
        let covers_run = owner
            .run
            .is_some_and(|run| run.worker == worker && (self.is_settled_by_look(run.standing)));
        let known = &mut owner.workers[usize::from(worker)];
        let lease_end = lease_end.filter(|_| !known.is_silent);
        known.lease_end = known.lease_end.max(lease_end.unwrap_or_default());
        let ends_stored = self.noted_ends(*known);
        known.ends_told = ends_stored;
        owner.look = Some(LookCall {
            worker,
            order: WorkerOrder::Look {
                lease_end,
                ends_stored,
            },
            covers_run,
            shown: None,
        });
    }

    /// The latest end that a worker may be told to forget.
    pub(super) fn noted_ends(self, known: KnownWorker) -> u8 {
        match self.mutation {
            Some(JobMutation::NotedBeforeStored) => known.ends_taken,
            _ => known.ends_stored,
        }
    }

    fn is_settled_by_look(self, standing: KnownStanding) -> bool {
        match standing {
            KnownStanding::Running | KnownStanding::Inherited | KnownStanding::Stopping => true,
            KnownStanding::Starting => self.mutation == Some(JobMutation::EarlierLookAsProof),
            KnownStanding::Planned | KnownStanding::Unstopped => false,
        }
    }

    /// An owner hears the answer to its look.
    pub(super) fn hear_look(self, state: &mut JobState, daemon: u8) {
        let now = state.now;
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(call) = owner.look.take() else {
            return;
        };
        let worker = call.worker;
        let Some(shown) = call.shown.filter(|shown| !shown.is_fenced) else {
            *owner = owner.deposed();
            return;
        };
        let known = &mut owner.workers[usize::from(worker)];
        known.hear_clock(shown.clock, now);
        let taken = known.ends_taken;
        known.ends_taken = taken.max(shown.ends.latest);
        owner.has_changed |= known.ends_taken > taken;
        for end in shown.ends.above(taken) {
            self.take_end(owner, worker, end.run, end.is_done);
        }
        take_running(owner, worker, &shown);
        if let Some(run) = owner.run
            && call.covers_run
            && run.worker == worker
            && self.is_settled_by_look(run.standing)
            && shown.running != Some(run.run)
        {
            owner.settle_run();
        }
    }

    fn take_end(self, owner: &mut JobDaemon, worker: u8, run: u8, is_done: bool) {
        let is_known = owner
            .run
            .is_some_and(|known| (known.worker, known.run) == (worker, run));
        if is_known {
            owner.settle_run();
        }
        let is_earlier = !is_known && run <= owner.assignment.run;
        let counts_earlier = self.mutation != Some(JobMutation::EarlierEndIgnored);
        if is_done && (is_known || (is_earlier && counts_earlier)) {
            owner.finish_task();
        }
    }

    /// Whether an owner may take the lease of its run's worker for ended.
    pub(super) fn may_take_for_lapsed(self, state: &JobState, daemon: u8) -> bool {
        let owner = &state.daemons[usize::from(daemon)];
        let Some(run) = owner.run else {
            return false;
        };
        if matches!(
            run.standing,
            KnownStanding::Planned | KnownStanding::Starting
        ) {
            return false;
        }
        let known = &owner.workers[usize::from(run.worker)];
        if known.is_heard {
            let is_over = state.worker_clock(daemon, run.worker) > known.lease_end;
            is_over || (self.mutation == Some(JobMutation::NoLapseWait) && known.is_silent)
        } else {
            let is_over = state.clock_of(daemon) > owner.claimed + AUTHORITY_TICKS;
            is_over || self.mutation == Some(JobMutation::NoInheritedWait)
        }
    }

    /// An owner takes the lease of its run's worker for ended.
    pub(super) fn take_for_lapsed(state: &mut JobState, daemon: u8) {
        state.daemons[usize::from(daemon)].settle_run();
    }
}

fn take_running(owner: &mut JobDaemon, worker: u8, shown: &LookShown) {
    let Some(number) = shown.running else {
        return;
    };
    let known = owner.run.as_mut();
    let known = known.filter(|run| (run.worker, run.run) == (worker, number));
    match known {
        Some(run) => {
            if matches!(
                run.standing,
                KnownStanding::Inherited | KnownStanding::Starting
            ) {
                run.standing = KnownStanding::Running;
            }
        }
        None if owner.stop.is_none() => {
            owner.stop = Some(OrderCall {
                worker,
                order: WorkerOrder::Stop { run: number },
                answer: None,
            });
        }
        None => {}
    }
}

/// When a lease ends that is given now; none when the owner cannot be sure for how
/// long it still is the owner, or never heard the worker's clock.
pub(super) fn lease_end(state: &JobState, daemon: u8, worker: u8) -> Option<u8> {
    let owner = &state.daemons[usize::from(daemon)];
    if !owner.workers[usize::from(worker)].is_heard {
        return None;
    }
    let authority_end = owner.authority + AUTHORITY_TICKS;
    let left = authority_end.saturating_sub(state.clock_of(daemon));
    (left > 0).then(|| state.worker_clock(daemon, worker) + left.min(LEASE_TICKS))
}
