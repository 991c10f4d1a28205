//! What each step does to the workers.

use crate::job_ownership::assigned_phase::AssignedPhase;
use crate::job_ownership::job_bounds::LEASE_MAX_TICKS;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::late_order::LateOrder;
use crate::job_ownership::look_shown::LookShown;
use crate::job_ownership::order_answer::OrderAnswer;
use crate::job_ownership::worker_order::WorkerOrder;

/// No second run beside the first.
const RUNS_ONCE: &str = "a task runs on one worker at most";
/// No run after one that was done.
const DONE_RESTS: &str = "a done task never starts again";
/// No run that the store knows nothing of.
const START_STORED: &str = "a start follows its stored assignment";
/// No end that only a worker knew.
const END_STORED: &str = "a noted end is stored";

impl JobModel {
    /// A worker takes an order of `epoch`, and says what came of it.
    pub(super) fn take_order(self, state: &mut JobState, order: LateOrder) -> OrderAnswer {
        let LateOrder {
            worker: number,
            epoch,
            order,
        } = order;
        let worker = &mut state.workers[usize::from(number)];
        if epoch < worker.epoch && self.mutation != Some(JobMutation::NoEpochCheck) {
            return OrderAnswer::Fenced;
        }
        worker.epoch = worker.epoch.max(epoch);
        match order {
            WorkerOrder::Start { run, lease_end } => start_run(state, number, run, lease_end),
            WorkerOrder::Stop { run } => {
                worker.refused_upto = worker.refused_upto.max(run);
                if worker.running == Some(run) {
                    worker.running = None;
                    worker.ends.push(run, false);
                }
                OrderAnswer::Accepted
            }
            WorkerOrder::Look {
                lease_end,
                ends_stored,
            } => {
                if let Some(lease_end) = lease_end {
                    extend_lease(state, number, lease_end);
                }
                note_ends(state, number, ends_stored);
                OrderAnswer::Accepted
            }
        }
    }

    /// What a worker shows after it took a look, and said `answer`.
    pub(super) fn show_worker(state: &JobState, number: u8, answer: OrderAnswer) -> LookShown {
        let worker = &state.workers[usize::from(number)];
        LookShown {
            running: worker.running,
            ends: worker.ends,
            clock: state.now,
            is_fenced: answer == OrderAnswer::Fenced,
        }
    }

    /// Time passes at the workers: leases end.
    pub(super) fn end_leases(state: &mut JobState) {
        let now = state.now;
        for worker in &mut state.workers {
            if worker.lease_end >= now {
                continue;
            }
            if let Some(run) = worker.running.take() {
                worker.ends.push(run, false);
                worker.refused_upto = worker.refused_upto.max(run);
            }
            worker.ends.change(|end| end.is_lapsed = true);
        }
    }

    /// The run at a worker is done.
    pub(super) fn finish_run(state: &mut JobState, number: u8) {
        let worker = &mut state.workers[usize::from(number)];
        if let Some(run) = worker.running.take() {
            worker.ends.push(run, true);
            worker.refused_upto = worker.refused_upto.max(run);
        }
    }
}

fn start_run(state: &mut JobState, number: u8, run: u8, lease_end: u8) -> OrderAnswer {
    extend_lease(state, number, lease_end);
    let now = state.now;
    let worker = &mut state.workers[usize::from(number)];
    if worker.running == Some(run) {
        return OrderAnswer::Accepted;
    }
    if lease_end < now || run <= worker.refused_upto {
        return OrderAnswer::Refused;
    }
    if worker.running.is_some() {
        state.break_property(RUNS_ONCE);
        return OrderAnswer::Refused;
    }
    worker.running = Some(run);
    if state.runs_twice() {
        state.break_property(RUNS_ONCE);
    }
    if state.is_finished {
        state.break_property(DONE_RESTS);
    }
    if state.assigned[usize::from(run) - 1] != Some(number) {
        state.break_property(START_STORED);
    }
    for worker in &mut state.workers {
        worker.ends.change(|end| end.is_followed = true);
    }
    OrderAnswer::Accepted
}

fn extend_lease(state: &mut JobState, number: u8, lease_end: u8) {
    let longest = state.now + LEASE_MAX_TICKS;
    let worker = &mut state.workers[usize::from(number)];
    worker.lease_end = worker.lease_end.max(lease_end.min(longest));
}

fn note_ends(state: &mut JobState, number: u8, upto: u8) {
    let noted = state.workers[usize::from(number)].ends.forget(upto);
    for end in noted.into_iter().filter(|end| end.is_done) {
        if state.store.assignment.phase != AssignedPhase::Done {
            state.break_property(END_STORED);
        }
        if end.is_lapsed {
            continue;
        }
        state.is_finished = true;
        if end.is_followed {
            state.break_property(DONE_RESTS);
        }
    }
}
