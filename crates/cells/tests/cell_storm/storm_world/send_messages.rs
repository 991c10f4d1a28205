//! Messages on their way, some late, some twice, some never.

use rand::Rng;

use crate::flight_try::FlightTry;
use crate::owner_term::OwnerTerm;
use crate::storm_event::StormEvent;
use crate::storm_world::StormWorld;
use sapphirestile_cells::CellEffect;
use sapphirestile_core::MonoTime;

const LATE_SHARE: f64 = 0.05;
const LOST_SHARE: f64 = 0.05;
const REPEATED_SHARE: f64 = 0.05;
const CALL_TIMEOUT_MS: u64 = 1_500;
const COMMIT_TIMEOUT_MS: u64 = 2_000;

impl StormWorld {
    pub(super) fn call_worker(&mut self, term: OwnerTerm, effect: CellEffect) {
        match effect {
            CellEffect::Session(order) => {
                let (worker, ordinal) = (order.worker.clone(), order.ordinal);
                let timeout = StormEvent::SessionTimeout(term, worker, ordinal);
                self.send(&StormEvent::Session(term, order));
                self.queue
                    .push(self.now.plus_millis(CALL_TIMEOUT_MS), timeout);
            }
            CellEffect::Start(order) => {
                let answer = StormEvent::StartAnswer(term, order.worker.clone());
                let arrival = self.send(&StormEvent::Start(term.daemon, order));
                let limit = self.now.plus_millis(CALL_TIMEOUT_MS);
                self.queue.push(arrival.min(limit), answer);
            }
            CellEffect::Stop(order) => {
                self.send(&StormEvent::Stop(term.daemon, order));
            }
            CellEffect::Throttle(_) => unreachable!("no slowdown is measured in a storm"),
        }
    }

    /// Sends a commit for the first time or again.
    pub(super) fn send_commit(&mut self, term: OwnerTerm, flight: &FlightTry) {
        let nonce = flight.commit.entry.nonce;
        let late = self.stormy && self.rng.random_bool(LATE_SHARE);
        self.counts.late_commits += u32::from(late);
        let delay_ms = self.delay_ms(late);
        let commit = Box::new(flight.commit.clone());
        let arrival = self.now.plus_millis(delay_ms);
        self.queue.push(arrival, StormEvent::Commit(term, commit));
        let timeout = StormEvent::CommitTimeout(term, nonce, flight.tries);
        self.queue
            .push(self.now.plus_millis(COMMIT_TIMEOUT_MS), timeout);
    }

    /// Sends a message; returns when its first copy arrives, if it does.
    pub(super) fn send(&mut self, event: &StormEvent) -> MonoTime {
        let never = self.now.plus_millis(u64::from(u32::MAX));
        if self.stormy && self.rng.random_bool(LOST_SHARE) {
            self.counts.lost_messages += 1;
            return never;
        }
        let late = self.stormy && self.rng.random_bool(LATE_SHARE);
        self.counts.late_messages += u32::from(late);
        let arrival = self.now.plus_millis(self.delay_ms(late));
        self.queue.push(arrival, event.clone());
        if self.stormy && self.rng.random_bool(REPEATED_SHARE) {
            self.counts.repeated_messages += 1;
            let again = self.now.plus_millis(self.delay_ms(true));
            self.queue.push(again, event.clone());
        }
        arrival
    }

    fn delay_ms(&mut self, late: bool) -> u64 {
        if late {
            return self.rng.random_range(100..6_000);
        }
        self.rng.random_range(1..30)
    }
}
