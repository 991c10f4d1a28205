//! Sending of messages, some delayed, repeated or lost.

use rand::Rng;

use crate::commit_attempt::CommitAttempt;
use crate::owner_term::OwnerTerm;
use crate::simulated_cluster::SimulatedCluster;
use crate::simulated_event::SimulatedEvent;
use sapphirestile_cells::CellEffect;
use sapphirestile_core::MonoTime;

const LATE_FRACTION: f64 = 0.05;
const LOST_FRACTION: f64 = 0.05;
const REPEATED_FRACTION: f64 = 0.05;
const CALL_TIMEOUT_MS: u64 = 1_500;
const COMMIT_TIMEOUT_MS: u64 = 2_000;

impl SimulatedCluster {
    pub(super) fn call_worker(&mut self, term: OwnerTerm, effect: CellEffect) {
        match effect {
            CellEffect::Session(request) => {
                let (worker, ordinal) = (request.worker.clone(), request.ordinal);
                let timeout = SimulatedEvent::SessionTimeout(term, worker, ordinal);
                self.send(&SimulatedEvent::Session(term, request));
                self.queue
                    .push(self.now.plus_millis(CALL_TIMEOUT_MS), timeout);
            }
            CellEffect::Start(request) => {
                let answer = SimulatedEvent::StartAnswer(term, request.worker.clone());
                let arrival = self.send(&SimulatedEvent::Start(term.daemon, request));
                let limit = self.now.plus_millis(CALL_TIMEOUT_MS);
                self.queue.push(arrival.min(limit), answer);
            }
            CellEffect::Stop(request) => {
                self.send(&SimulatedEvent::Stop(term.daemon, request));
            }
            CellEffect::Throttle(_) => unreachable!("the simulation measures no slowdown"),
        }
    }

    /// Sends a commit for the first time or again.
    pub(super) fn send_commit(&mut self, term: OwnerTerm, attempt: &CommitAttempt) {
        let nonce = attempt.commit.entry.nonce;
        let late = self.injects_faults && self.rng.random_bool(LATE_FRACTION);
        self.counts.late_commits += u32::from(late);
        let delay_ms = self.delay_ms(late);
        let commit = Box::new(attempt.commit.clone());
        let arrival = self.now.plus_millis(delay_ms);
        self.queue
            .push(arrival, SimulatedEvent::Commit(term, commit));
        let timeout = SimulatedEvent::CommitTimeout(term, nonce, attempt.attempts);
        self.queue
            .push(self.now.plus_millis(COMMIT_TIMEOUT_MS), timeout);
    }

    /// Sends a message; returns when its first copy arrives, or a time beyond the run if it is
    /// lost.
    pub(super) fn send(&mut self, event: &SimulatedEvent) -> MonoTime {
        let never = self.now.plus_millis(u64::from(u32::MAX));
        if self.injects_faults && self.rng.random_bool(LOST_FRACTION) {
            self.counts.lost_messages += 1;
            return never;
        }
        let late = self.injects_faults && self.rng.random_bool(LATE_FRACTION);
        self.counts.late_messages += u32::from(late);
        let arrival = self.now.plus_millis(self.delay_ms(late));
        self.queue.push(arrival, event.clone());
        if self.injects_faults && self.rng.random_bool(REPEATED_FRACTION) {
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
