//! What owners send.

use rand::Rng;
use sapphirestile_jobs::LookOutcome;
use sapphirestile_jobs::OwnerEffect;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;

use crate::storm_event::StormEvent;
use crate::storm_world::StormWorld;

use super::TIMEOUT_MS;

impl StormWorld {
    pub(super) fn send(&mut self, daemon: usize, life: u64, effect: OwnerEffect) {
        let is_late = self.has(1) && self.random.random_bool(0.05);
        let delay = if is_late {
            self.random.random_range(2_000..12_000)
        } else {
            self.random.random_range(1..8)
        };
        match effect {
            OwnerEffect::Start(order) => {
                let target = self
                    .workers
                    .iter()
                    .find(|worker| worker.name == order.worker);
                let worker_life = target.map_or(0, |worker| worker.life);
                self.put(
                    TIMEOUT_MS,
                    StormEvent::StartReturns {
                        daemon,
                        life,
                        worker: order.worker.clone(),
                        task: order.task,
                        run: order.run,
                        outcome: StartOutcome::Unknown,
                    },
                );
                self.put(
                    delay,
                    StormEvent::StartArrives {
                        daemon,
                        life,
                        worker_life,
                        order,
                    },
                );
            }
            OwnerEffect::Stop(order) => {
                self.put(
                    TIMEOUT_MS,
                    StormEvent::StopReturns {
                        daemon,
                        life,
                        worker: order.worker.clone(),
                        task: order.task,
                        run: order.run,
                        outcome: StopOutcome::Unknown,
                    },
                );
                self.put(
                    delay,
                    StormEvent::StopArrives {
                        daemon,
                        life,
                        order,
                    },
                );
            }
            OwnerEffect::Look(order) => {
                let sent = self.order;
                self.put(
                    TIMEOUT_MS,
                    StormEvent::LookReturns {
                        daemon,
                        life,
                        sent,
                        worker: order.worker.clone(),
                        number: order.number,
                        outcome: LookOutcome::Silent,
                    },
                );
                self.put(
                    delay,
                    StormEvent::LookArrives {
                        daemon,
                        life,
                        sent,
                        order,
                    },
                );
            }
            OwnerEffect::Pace(_) | OwnerEffect::Advise(_) | OwnerEffect::Forget { .. } => {}
        }
    }
}
