//! Delivery of polls to whoever has the address that they are sent to.

use std::net::SocketAddr;

use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::PollRequest;

use crate::simulation::Simulation;
use crate::simulation_event::SimulationEvent;

impl Simulation {
    /// Handles a poll at its worker, or at the worker that has the address now.
    pub(super) fn poll(
        &mut self,
        daemon: usize,
        incarnation: u64,
        sent: u64,
        request: &PollRequest,
    ) {
        let Some(index) = self.find_addressed(daemon, request.address) else {
            return;
        };
        let outcome = if self.workers[index].name == request.worker {
            let (outcome, acknowledged) = self.workers[index].poll(request, self.now);
            for ended in acknowledged {
                self.check_acknowledged(&ended);
            }
            self.plan_loss_after_poll(index, request.epoch.get(), &outcome);
            outcome
        } else {
            PollOutcome::OtherIncarnation
        };
        self.send_response(SimulationEvent::PollReturns {
            daemon,
            incarnation,
            sent,
            worker: request.worker.clone(),
            number: request.number,
            outcome,
        });
    }

    /// Index of the worker at an address that the daemon can reach now; `None` if there is none.
    fn find_addressed(&self, daemon: usize, address: SocketAddr) -> Option<usize> {
        let mut indices = 0..self.workers.len();
        indices.find(|index| {
            self.workers[*index].address == address && self.is_reachable(daemon, *index)
        })
    }
}
