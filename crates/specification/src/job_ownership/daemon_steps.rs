//! What an owner decides.

use crate::job_ownership::assigned_phase::AssignedPhase;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::known_run::KnownRun;
use crate::job_ownership::known_standing::KnownStanding;
use crate::job_ownership::look_steps::lease_end;
use crate::job_ownership::order_answer::OrderAnswer;
use crate::job_ownership::order_call::OrderCall;
use crate::job_ownership::record_write::RecordWrite;
use crate::job_ownership::worker_order::WorkerOrder;

impl JobModel {
    /// An owner assigns the task to a worker.
    pub(super) fn plan_run(self, state: &mut JobState, daemon: u8, worker: u8) {
        let owner = &mut state.daemons[usize::from(daemon)];
        owner.assignment.run += 1;
        owner.assignment.phase = AssignedPhase::Assigned(worker);
        owner.has_changed = true;
        owner.run = Some(KnownRun {
            worker,
            run: owner.assignment.run,
            standing: KnownStanding::Planned,
        });
        if self.mutation == Some(JobMutation::StartBeforeStored) {
            send_start(state, daemon);
        }
    }

    /// An owner sends what it has decided to the store.
    pub(super) fn send_batch(state: &mut JobState, daemon: u8) {
        let sent = state.clock_of(daemon);
        let owner = &mut state.daemons[usize::from(daemon)];
        let is_planned = |run: KnownRun| run.standing == KnownStanding::Planned;
        owner.write = Some(RecordWrite {
            assignment: owner.assignment,
            holds_start: owner.run.is_some_and(is_planned),
            ends: owner.workers.map(|known| known.ends_taken),
            sent,
            is_stored: None,
        });
        owner.has_changed = false;
    }

    /// An owner hears what became of its batch.
    pub(super) fn hear_batch(self, state: &mut JobState, daemon: u8) {
        let now = state.clock_of(daemon);
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(write) = owner.write.take() else {
            return;
        };
        if write.is_stored == Some(false) {
            *owner = owner.deposed();
            return;
        }
        let is_late = self.mutation == Some(JobMutation::AuthorityFromAnswer);
        owner.authority = if is_late { now } else { write.sent };
        for (known, ends) in owner.workers.iter_mut().zip(write.ends) {
            known.ends_stored = ends;
        }
        let is_planned = |run: KnownRun| run.standing == KnownStanding::Planned;
        if write.holds_start && owner.run.is_some_and(is_planned) {
            send_start(state, daemon);
        }
    }

    /// An owner hears the answer to its start.
    pub(super) fn hear_start(state: &mut JobState, daemon: u8) {
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(call) = owner.start.take() else {
            return;
        };
        let Some(run) = owner.run.as_mut().filter(|run| is_of(**run, call)) else {
            return;
        };
        match call.answer {
            Some(OrderAnswer::Accepted) if run.standing == KnownStanding::Starting => {
                run.standing = KnownStanding::Running;
            }
            Some(OrderAnswer::Refused) => owner.settle_run(),
            Some(OrderAnswer::Fenced) => *owner = owner.deposed(),
            _ => {}
        }
    }

    /// An owner has had no answer to its start: the run is stopped before anything
    /// else is believed of it.
    pub(super) fn doubt_start(self, owner: &mut JobDaemon, call: OrderCall) {
        let Some(run) = owner.run.as_mut().filter(|run| is_of(**run, call)) else {
            return;
        };
        if run.standing != KnownStanding::Starting {
            return;
        }
        match self.mutation {
            Some(JobMutation::SilenceAsProof) => owner.settle_run(),
            Some(JobMutation::NoStopBeforeLook) => run.standing = KnownStanding::Running,
            _ => run.standing = KnownStanding::Unstopped,
        }
    }

    /// An owner tells a worker to end the run that it reckons with.
    pub(super) fn send_stop(state: &mut JobState, daemon: u8) {
        let owner = &mut state.daemons[usize::from(daemon)];
        owner.stop = owner.run.map(|run| OrderCall {
            worker: run.worker,
            order: WorkerOrder::Stop { run: run.run },
            answer: None,
        });
    }

    /// An owner hears the answer to its stop.
    pub(super) fn hear_stop(state: &mut JobState, daemon: u8) {
        let owner = &mut state.daemons[usize::from(daemon)];
        let Some(call) = owner.stop.take() else {
            return;
        };
        if call.answer == Some(OrderAnswer::Fenced) {
            *owner = owner.deposed();
            return;
        }
        if let Some(run) = owner.run.as_mut().filter(|run| is_of(**run, call))
            && run.standing == KnownStanding::Unstopped
        {
            run.standing = KnownStanding::Stopping;
        }
    }
}

fn is_of(run: KnownRun, call: OrderCall) -> bool {
    let number = match call.order {
        WorkerOrder::Start { run, .. } | WorkerOrder::Stop { run } => run,
        WorkerOrder::Look { .. } => return false,
    };
    (run.worker, run.run) == (call.worker, number)
}

/// Sends the start of the planned run, or withdraws it where no lease can be given.
fn send_start(state: &mut JobState, daemon: u8) {
    let Some(run) = state.daemons[usize::from(daemon)].run else {
        return;
    };
    let lease_end = lease_end(state, daemon, run.worker);
    let owner = &mut state.daemons[usize::from(daemon)];
    let Some(lease_end) = lease_end.filter(|_| owner.start.is_none()) else {
        owner.settle_run();
        return;
    };
    let known = &mut owner.workers[usize::from(run.worker)];
    known.lease_end = known.lease_end.max(lease_end);
    owner.run = Some(KnownRun {
        standing: KnownStanding::Starting,
        ..run
    });
    owner.start = Some(OrderCall {
        worker: run.worker,
        order: WorkerOrder::Start {
            run: run.run,
            lease_end,
        },
        answer: None,
    });
}
