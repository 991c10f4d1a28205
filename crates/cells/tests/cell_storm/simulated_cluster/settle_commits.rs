//! Outcomes of commits, by the rules of the daemon's journal writer.

use crate::commit_attempt::CommitAttempt;
use crate::daemon_role::DaemonRole;
use crate::owned_cell::OwnedCell;
use crate::owner_term::OwnerTerm;
use crate::simulated_cluster::SimulatedCluster;
use crate::store_answer::StoreAnswer;
use sapphirestile_cells::CommitOutcome;

const CLAIM_ATTEMPTS_MAX: u32 = 3;

impl SimulatedCluster {
    pub(super) fn term_of(&self, daemon: usize) -> OwnerTerm {
        OwnerTerm {
            daemon,
            term: self.daemons[daemon].term,
        }
    }

    pub(super) fn handle_commit_answer(&mut self, daemon: usize, nonce: u64, answer: StoreAnswer) {
        let Some(attempt) = self
            .attempt_of(daemon)
            .filter(|attempt| attempt.commit.entry.nonce == nonce)
        else {
            return;
        };
        let (known, entry) = (attempt.commit.head, attempt.commit.entry.clone());
        match answer {
            StoreAnswer::Done(head) => self.settle(daemon, CommitOutcome::Done, head),
            // The reason is read from the store; while it is down, a later attempt asks again.
            StoreAnswer::Conflict if self.store.down => {}
            StoreAnswer::Conflict => {
                let (head, latest) = self.store.head();
                if head == known {
                    self.settle(daemon, CommitOutcome::ConfigMoved, head);
                } else if latest.is_some_and(|latest| latest.same_write(&entry)) {
                    self.settle(daemon, CommitOutcome::Done, head);
                } else {
                    self.daemons[daemon].take_role(DaemonRole::Idle);
                }
            }
        }
    }

    pub(super) fn retry_commit(&mut self, daemon: usize, nonce: u64, attempts: u32) {
        let term = self.term_of(daemon);
        let mut role = std::mem::replace(&mut self.daemons[daemon].role, DaemonRole::Idle);
        let claiming = matches!(role, DaemonRole::Claiming(_));
        let attempt = match &mut role {
            DaemonRole::Idle => None,
            DaemonRole::Claiming(claim) => Some(&mut claim.in_flight),
            DaemonRole::Owning(cell) => cell.in_flight.as_mut(),
        };
        let mut abandoned = false;
        let waits = |attempt: &&mut CommitAttempt| {
            attempt.commit.entry.nonce == nonce && attempt.attempts == attempts
        };
        if let Some(attempt) = attempt.filter(waits) {
            abandoned = claiming && attempt.attempts >= CLAIM_ATTEMPTS_MAX;
            if !abandoned {
                attempt.attempts += 1;
                self.send_commit(term, attempt);
            }
        }
        if abandoned {
            self.daemons[daemon].take_role(DaemonRole::Idle);
        } else {
            self.daemons[daemon].role = role;
        }
    }

    fn attempt_of(&self, daemon: usize) -> Option<&CommitAttempt> {
        match &self.daemons[daemon].role {
            DaemonRole::Idle => None,
            DaemonRole::Claiming(claim) => Some(&claim.in_flight),
            DaemonRole::Owning(cell) => cell.in_flight.as_ref(),
        }
    }

    fn settle(&mut self, daemon: usize, outcome: CommitOutcome, head: u64) {
        let role = std::mem::replace(&mut self.daemons[daemon].role, DaemonRole::Idle);
        match role {
            DaemonRole::Idle => {}
            DaemonRole::Claiming(claim) => {
                self.counts.claims += 1;
                let cell = OwnedCell {
                    owner: claim.owner.claimed(),
                    head,
                    in_flight: None,
                    jobs: Vec::new(),
                    keys: Vec::new(),
                    committed: self.now,
                    config: 0,
                    rejected_config: None,
                };
                self.daemons[daemon].take_role(DaemonRole::Owning(Box::new(cell)));
            }
            DaemonRole::Owning(mut cell) => {
                self.settle_batch(daemon, &mut cell, outcome, head);
                self.daemons[daemon].role = DaemonRole::Owning(cell);
            }
        }
    }

    fn settle_batch(
        &mut self,
        daemon: usize,
        cell: &mut OwnedCell,
        outcome: CommitOutcome,
        head: u64,
    ) {
        let attempt = cell.in_flight.take();
        cell.head = head;
        cell.committed = self.now;
        if outcome == CommitOutcome::ConfigMoved {
            cell.rejected_config = attempt.and_then(|attempt| attempt.commit.config);
        }
        let effects = cell.owner.settle_batch(outcome);
        let term = self.term_of(daemon);
        for effect in effects {
            self.call_worker(term, effect);
        }
        self.acknowledge(cell);
    }

    /// Acknowledges submissions that are in the journal, and sends requests whose records
    /// are.
    fn acknowledge(&mut self, cell: &mut OwnedCell) {
        let reached = cell.owner.sequence();
        for (_, job) in cell
            .jobs
            .extract_if(.., |(sequence, _)| *sequence <= reached)
        {
            self.open_jobs.retain(|spec| spec.job != job);
            self.invariants.record_accepted(job);
        }
        for (_, key) in cell
            .keys
            .extract_if(.., |(sequence, _)| *sequence <= reached)
        {
            self.invariants.check_sent(&key);
        }
    }
}
