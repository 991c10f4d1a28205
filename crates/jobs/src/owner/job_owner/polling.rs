//! Polling of workers.

use crate::owner::JobOwner;
use crate::owner::OwnerEffect;
use crate::owner::PollRequest;
use crate::owner::RunCause;
use crate::worker::LeaseGrant;
use crate::worker::PollOutcome;
use crate::worker::TrackedWorker;
use crate::worker::WorkerSilence;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// Time for which a worker holds its response until a run ends, in milliseconds.
const POLL_WAIT_MS: u64 = 1_000;

/// The same, for a while after a change of pace, when latencies are watched more closely, in
/// milliseconds.
const CLOSE_POLL_WAIT_MS: u64 = 350;

/// Least number of polls within a lease. As the authority of the owner ends, leases become
/// short, and a poll that waits longer would let one end just as a batch is stored.
const POLLS_PER_LEASE: u64 = 4;

/// Maximum time for which the next poll waits for ends to be stored, in milliseconds. It is
/// bounded so that leases do not expire while the store is unavailable.
const COMMIT_WAIT_MS: u64 = 1_200;

/// Delay before the next poll of a worker that did not respond, in milliseconds.
const POLL_RETRY_MS: u64 = 250;

impl JobOwner {
    /// Polls every worker that is due.
    pub fn poll_due_workers(&mut self, now: MonoTime) {
        let due: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, tracked)| is_due(tracked, now))
            .filter(|(_, tracked)| tracked.is_listed || !tracked.runs.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.poll_worker(&name, now);
        }
    }

    fn poll_worker(&mut self, name: &WorkerName, now: MonoTime) {
        let lease_end_ms = self.lease_end(name, now);
        let lease_ms = self.lease_ms(now).unwrap_or(0);
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        let Some(address) = tracked.entry.as_ref().map(|entry| entry.address) else {
            return;
        };
        // A worker that did not respond may have restarted since.
        let known = tracked.known.filter(|_| !tracked.is_unresponsive());
        tracked.poll += 1;
        tracked.poll_sent = now;
        tracked.poll_address = Some(address);
        tracked.is_polling = true;
        tracked.batch_wait_since = None;
        let wait_ms = match (&mut tracked.known, lease_end_ms) {
            (Some(known), Some(end_ms)) => {
                known.clock.grant(end_ms);
                let wait_ms = if tracked.is_polled_closely(now) {
                    CLOSE_POLL_WAIT_MS
                } else {
                    POLL_WAIT_MS
                };
                wait_ms.min(lease_ms / POLLS_PER_LEASE)
            }
            _ => 0,
        };
        self.effects.push(OwnerEffect::Poll(PollRequest {
            worker: name.clone(),
            address,
            epoch: self.epoch,
            number: tracked.poll,
            lease_end_ms,
            stored_end: known.map(|known| known.stored_end()),
            wait_ms,
        }));
    }

    /// Handles the outcome of the poll with the given number.
    pub fn handle_poll_outcome(
        &mut self,
        name: &WorkerName,
        number: u64,
        outcome: PollOutcome,
        now: MonoTime,
        unix_ms: u64,
    ) {
        let Some(tracked) = self.workers.get_mut(name) else {
            return;
        };
        let is_replaced = outcome == PollOutcome::OtherIncarnation;
        let outcome = match outcome {
            PollOutcome::Responded(response) if tracked.is_unattributed(&response) => {
                PollOutcome::NoResponse
            }
            outcome => outcome,
        };
        match outcome {
            PollOutcome::Responded(response) => {
                self.apply_response(name, number, &response, now, unix_ms);
            }
            PollOutcome::NoResponse | PollOutcome::OtherIncarnation => {
                // The time at which an earlier poll was sent is not kept.
                let is_latest = number == tracked.poll;
                let sent = if is_latest {
                    tracked.poll_sent
                } else {
                    MonoTime::default()
                };
                tracked.silence = Some(WorkerSilence {
                    poll_sent: sent,
                    is_replaced,
                    is_reported: tracked.silence.is_some_and(|silence| silence.is_reported),
                });
                let is_withheld = tracked.lease_grant == LeaseGrant::Withheld;
                self.has_grant_change |= !is_withheld && !tracked.runs.is_empty();
                tracked.is_polling = false;
                tracked.next_poll = now.plus_millis(POLL_RETRY_MS);
                if is_replaced {
                    self.finish_replaced(name, number, now, unix_ms);
                }
            }
            PollOutcome::Fenced => self.note_fenced(name),
        }
    }

    /// Finishes the runs of an incarnation whose address another worker has now: a process
    /// has its address for as long as it lives.
    fn finish_replaced(&mut self, name: &WorkerName, number: u64, now: MonoTime, unix_ms: u64) {
        let Some(tracked) = self.workers.get(name) else {
            return;
        };
        for task in tracked.runs_over_if_replaced(number) {
            self.finish_run(name, &task, RunCause::Replaced, now, unix_ms);
        }
    }
}

fn is_due(tracked: &TrackedWorker, now: MonoTime) -> bool {
    match tracked.batch_wait_since {
        Some(since) => now.millis_since(since) >= COMMIT_WAIT_MS,
        None => !tracked.is_polling && tracked.next_poll <= now,
    }
}
