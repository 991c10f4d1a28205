//! What each step does to the calls between owners and workers.

use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::late_order::LateOrder;
use crate::job_ownership::look_call::LookCall;
use crate::job_ownership::order_call::OrderCall;

/// Where a daemon keeps a call that is under way.
pub(super) type CallPlace = fn(&mut JobDaemon) -> &mut Option<OrderCall>;

impl JobModel {
    /// A worker takes a start or a stop, and its answer is on its way.
    pub(super) fn deliver_call(self, state: &mut JobState, daemon: u8, place: CallPlace) {
        let owner = &mut state.daemons[usize::from(daemon)];
        let epoch = owner.epoch;
        let Some(call) = *place(owner) else {
            return;
        };
        let answer = self.take_order(
            state,
            LateOrder {
                worker: call.worker,
                epoch,
                order: call.order,
            },
        );
        *place(&mut state.daemons[usize::from(daemon)]) = Some(OrderCall {
            answer: Some(answer),
            ..call
        });
    }

    /// An owner gives a start or a stop up; one that no worker took may still arrive.
    pub(super) fn give_up_call(self, state: &mut JobState, daemon: u8, place: CallPlace) {
        state.losses -= 1;
        let owner = &mut state.daemons[usize::from(daemon)];
        let epoch = owner.epoch;
        let Some(call) = place(owner).take() else {
            return;
        };
        self.doubt_start(owner, call);
        if call.answer.is_none() {
            state.late.insert(LateOrder {
                worker: call.worker,
                epoch,
                order: call.order,
            });
        }
    }

    /// A worker answers a look.
    pub(super) fn deliver_look(self, state: &mut JobState, daemon: u8) {
        let owner = &state.daemons[usize::from(daemon)];
        let epoch = owner.epoch;
        let Some(call) = owner.look else {
            return;
        };
        let order = LateOrder {
            worker: call.worker,
            epoch,
            order: call.order,
        };
        let answer = self.take_order(state, order);
        let shown = Some(Self::show_worker(state, call.worker, answer));
        state.daemons[usize::from(daemon)].look = Some(LookCall { shown, ..call });
    }

    /// An owner gives a look up; one that the worker did not take may still arrive.
    pub(super) fn give_up_look(state: &mut JobState, daemon: u8) {
        state.losses -= 1;
        let owner = &mut state.daemons[usize::from(daemon)];
        let epoch = owner.epoch;
        let Some(call) = owner.look.take() else {
            return;
        };
        owner.workers[usize::from(call.worker)].is_silent = true;
        if call.shown.is_none() {
            state.late.insert(LateOrder {
                worker: call.worker,
                epoch,
                order: call.order,
            });
        }
    }
}
