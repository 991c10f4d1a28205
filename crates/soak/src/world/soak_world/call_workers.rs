//! Calls on their way to workers and back.

use rand::Rng;

use crate::CallNews;
use crate::FaultKind;
use crate::ProcessMark;
use crate::SoakEvent;
use crate::SoakWorker;
use crate::SoakWorld;
use crate::WorkerCall;
use crate::world::soak_world::check_merges::check_merge;
use sapphirestile_cells::AnswerView;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;

const CALL_TIMEOUT_MS: u64 = 1_500;

impl SoakWorld {
    /// Lets a decided call wait for a thread of the daemon's pool.
    pub(super) fn decide_call(&mut self, from: ProcessMark, cell: CellNumber, effect: CellEffect) {
        let leaves = self.now + self.rng.random_range(0..40);
        let event = SoakEvent::CallLeaves { from, cell, effect };
        self.queue.push(leaves, event);
    }

    pub(super) fn send_call(&mut self, call: WorkerCall) {
        let key = (call.from.place, call.worker().clone());
        let parted = self.partitions.get(&key);
        let parted = parted.is_some_and(|until| *until > self.now);
        let arrives = self.now + self.rng.random_range(1..60);
        let answer_ms = self.rng.random_range(1..60);
        if parted || self.draws(FaultKind::CallLost, 0.08) {
            self.give_up(&call);
        } else if self.draws(FaultKind::CallLate, 0.08) {
            let late = self.now + self.rng.random_range(1_000..10_000);
            self.arrive(late, call.clone(), None);
            self.give_up(&call);
        } else if self.draws(FaultKind::CallAnswerLost, 0.08) {
            self.arrive(arrives, call.clone(), None);
            self.give_up(&call);
        } else if self.draws(FaultKind::CallAnswerLate, 0.08) {
            let late_ms = self.rng.random_range(CALL_TIMEOUT_MS..10_000);
            self.arrive(arrives, call.clone(), Some(late_ms));
            self.give_up(&call);
        } else {
            if self.draws(FaultKind::CallTwice, 0.08) {
                let again = self.now + self.rng.random_range(1..6_000);
                self.arrive(again, call.clone(), None);
            }
            self.arrive(arrives, call, Some(answer_ms));
        }
    }

    pub(super) fn serve_call(&mut self, call: &WorkerCall, answer_ms: Option<u64>) {
        let now = self.now;
        let fails = self.draws(FaultKind::TaskFails, 0.1);
        let Some(worker) = self.workers.get_mut(call.worker()) else {
            return;
        };
        if !worker.lives(now) {
            if answer_ms.is_some() {
                self.give_up(call);
            }
            return;
        }
        let news = match &call.effect {
            CellEffect::Session(order) => Some(renew(worker, now, call, order)),
            CellEffect::Start(order) => {
                if worker.start(now, call.cell, order, fails) {
                    self.check_start(call.cell, order);
                }
                Some(CallNews::StartAnswered(order.worker.clone()))
            }
            CellEffect::Stop(order) => {
                worker.stop(now, call.cell, order);
                None
            }
            CellEffect::Throttle(order) => {
                worker.throttle(now, call.cell, order);
                None
            }
        };
        // As the worker answers: an answer may arrive long after, at a daemon that
        // was frozen.
        if let Some(CallNews::Reported { held, .. }) = &news {
            self.check_throttles(held);
        }
        if let (Some(answer_ms), Some(news)) = (answer_ms, news) {
            self.tell(self.now + answer_ms, call, news);
        }
    }

    pub(super) fn take_news(
        &mut self,
        to: ProcessMark,
        cell: CellNumber,
        epoch: CellEpoch,
        news: CallNews,
    ) {
        let Some(seat) = self.daemons[to.place].open(cell, epoch) else {
            return;
        };
        match news {
            CallNews::Reported {
                worker,
                ordinal,
                asked,
                changes,
                held,
            } => {
                let merged = seat.owner.observe_answer(&AnswerView {
                    worker: worker.as_str(),
                    ordinal,
                    asked,
                    changes: &changes,
                });
                let whole = seat.owner.full_report(worker.as_str());
                let checked = check_merge(merged, whole, &changes, &held);
                self.check(checked);
            }
            CallNews::SessionLost { worker, ordinal } => {
                seat.owner.session_lost(worker.as_str(), ordinal);
            }
            CallNews::StartAnswered(worker) => seat.owner.start_answered(worker.as_str()),
        }
    }

    fn arrive(&mut self, at: u64, call: WorkerCall, answer_ms: Option<u64>) {
        self.queue
            .push(at, SoakEvent::CallArrives { call, answer_ms });
    }

    /// Lets the caller give the call up after its time.
    fn give_up(&mut self, call: &WorkerCall) {
        let news = match &call.effect {
            CellEffect::Session(order) => CallNews::SessionLost {
                worker: order.worker.clone(),
                ordinal: order.ordinal,
            },
            CellEffect::Start(order) => CallNews::StartAnswered(order.worker.clone()),
            CellEffect::Stop(_) | CellEffect::Throttle(_) => return,
        };
        self.tell(self.now + CALL_TIMEOUT_MS, call, news);
    }

    fn tell(&mut self, at: u64, call: &WorkerCall, news: CallNews) {
        let event = SoakEvent::News {
            to: call.from,
            cell: call.cell,
            epoch: call.epoch(),
            news,
        };
        self.queue.push(at, event);
    }
}

fn renew(worker: &mut SoakWorker, now: u64, call: &WorkerCall, order: &SessionRenewal) -> CallNews {
    let Some(changes) = worker.renew(now, call, order) else {
        return CallNews::SessionLost {
            worker: order.worker.clone(),
            ordinal: order.ordinal,
        };
    };
    CallNews::Reported {
        worker: order.worker.clone(),
        ordinal: order.ordinal,
        asked: call.asked,
        changes,
        held: worker.held(now),
    }
}
