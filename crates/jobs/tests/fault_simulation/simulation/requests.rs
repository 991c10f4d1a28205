//! Sending of the requests of owners.

use rand::Rng;
use sapphirestile_jobs::OwnerEffect;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;

use crate::simulation::Simulation;
use crate::simulation_event::SimulationEvent;

use super::TIMEOUT_MS;

impl Simulation {
    /// Sends a request, which may be delayed, and schedules its timeout.
    pub(super) fn send_request(&mut self, daemon: usize, incarnation: u64, effect: OwnerEffect) {
        let is_late = self.injects(1) && self.random.random_bool(0.05);
        let delay = if is_late {
            let delay = self.random.random_range(2_000..12_000);
            self.watch.disturb(self.now + delay);
            delay
        } else {
            self.random.random_range(1..8)
        };
        match effect {
            OwnerEffect::Start(request) => {
                let delay = self.late_start_ms().unwrap_or(delay);
                self.schedule(
                    TIMEOUT_MS,
                    SimulationEvent::StartReturns {
                        daemon,
                        incarnation,
                        worker: request.worker.clone(),
                        task: request.task,
                        run: request.run,
                        outcome: StartOutcome::Unknown,
                    },
                );
                self.schedule(
                    delay,
                    SimulationEvent::StartArrives {
                        daemon,
                        incarnation,
                        request,
                    },
                );
            }
            OwnerEffect::Stop(request) => {
                self.schedule(
                    TIMEOUT_MS,
                    SimulationEvent::StopReturns {
                        daemon,
                        incarnation,
                        worker: request.worker.clone(),
                        task: request.task,
                        run: request.run,
                        outcome: StopOutcome::Unknown,
                    },
                );
                self.schedule(
                    delay,
                    SimulationEvent::StopArrives {
                        daemon,
                        incarnation,
                        request,
                    },
                );
            }
            OwnerEffect::Poll(request) => {
                let sent = self.sequence;
                self.schedule(
                    TIMEOUT_MS,
                    SimulationEvent::PollReturns {
                        daemon,
                        incarnation,
                        sent,
                        worker: request.worker.clone(),
                        number: request.number,
                        outcome: PollOutcome::NoResponse,
                    },
                );
                self.schedule(
                    delay,
                    SimulationEvent::PollArrives {
                        daemon,
                        incarnation,
                        sent,
                        request,
                    },
                );
            }
            OwnerEffect::Pace(_) | OwnerEffect::Advise(_) | OwnerEffect::Forget { .. } => {}
        }
    }
}
