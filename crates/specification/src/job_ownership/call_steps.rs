//! Steps of calls between owners and workers.

use crate::job_ownership::addressed_order::AddressedOrder;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::order_call::OrderCall;
use crate::job_ownership::poll_call::PollCall;

/// Accessor of the field of a daemon that holds the call: its start or its stop.
pub(super) type CallField = fn(&mut JobDaemon) -> &mut Option<OrderCall>;

impl JobModel {
    /// A worker receives a start or stop order; the outcome is on its way back.
    pub(super) fn deliver_call(self, state: &mut JobState, daemon: u8, call_field: CallField) {
        let owner = &mut state.daemons[usize::from(daemon)];
        let epoch = owner.epoch;
        let Some(call) = *call_field(owner) else {
            return;
        };
        let outcome = self.process_order(
            state,
            AddressedOrder {
                worker: call.worker,
                process: call.process,
                epoch,
                order: call.order,
            },
        );
        *call_field(&mut state.daemons[usize::from(daemon)]) = Some(OrderCall {
            outcome: Some(outcome),
            ..call
        });
    }

    /// The owner gives up waiting for the outcome of a start or stop order. If the worker
    /// has not received the order, it may still arrive.
    pub(super) fn give_up_call(self, state: &mut JobState, daemon: u8, call_field: CallField) {
        state.losses -= 1;
        let owner = &mut state.daemons[usize::from(daemon)];
        let epoch = owner.epoch;
        let Some(call) = call_field(owner).take() else {
            return;
        };
        self.mark_start_uncertain(owner, call);
        if call.outcome.is_none() {
            state.late_orders.insert(AddressedOrder {
                worker: call.worker,
                process: call.process,
                epoch,
                order: call.order,
            });
        }
    }

    /// A worker receives a poll; the response is on its way back.
    pub(super) fn deliver_poll(self, state: &mut JobState, daemon: u8) {
        let owner = &state.daemons[usize::from(daemon)];
        let epoch = owner.epoch;
        let Some(call) = owner.poll_call else {
            return;
        };
        let order = AddressedOrder {
            worker: call.worker,
            process: call.process,
            epoch,
            order: call.order,
        };
        let outcome = self.process_order(state, order);
        let response = Some(Self::respond_to_poll(state, call.worker, outcome));
        state.daemons[usize::from(daemon)].poll_call = Some(PollCall { response, ..call });
    }

    /// The owner gives up waiting for the response to a poll. If the worker has not received
    /// the poll, it may still arrive.
    pub(super) fn give_up_poll(state: &mut JobState, daemon: u8) {
        state.losses -= 1;
        let owner = &mut state.daemons[usize::from(daemon)];
        let epoch = owner.epoch;
        let Some(call) = owner.poll_call.take() else {
            return;
        };
        owner.workers[usize::from(call.worker)].is_unresponsive = true;
        if call.response.is_none() {
            state.late_orders.insert(AddressedOrder {
                worker: call.worker,
                process: call.process,
                epoch,
                order: call.order,
            });
        }
    }
}
