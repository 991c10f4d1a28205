//! Delivery of commits to the store and of their responses, with losses and delays.

use rand::Rng;

use crate::CellOwnership;
use crate::CommitResponse;
use crate::DaemonInstance;
use crate::FaultKind;
use crate::JournalCommit;
use crate::OwnedCell;
use crate::OwnershipPhase;
use crate::PendingReply;
use crate::SoakEvent;
use crate::SoakSimulation;
use crate::SubmissionOutcome;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_core::CellNumber;

const COMMIT_TIMEOUT_MS: u64 = 1_500;

impl SoakSimulation {
    /// Sends the pending commit with this nonce, and schedules its time-out when no response will
    /// arrive. Does nothing when another commit is pending.
    pub(super) fn send_commit(&mut self, from: DaemonInstance, cell: CellNumber, nonce: u64) {
        let Some(commit) = self.pending_commit(from, cell, nonce).cloned() else {
            return;
        };
        let late = self.draw_fault(FaultKind::CommitLate, 0.1);
        let lost = !late && self.draw_fault(FaultKind::CommitAnswerLost, 0.15);
        let arrives_ms = if late {
            self.now_ms + self.rng.random_range(1_000..30_000)
        } else {
            self.now_ms + self.rng.random_range(2..120)
        };
        let answered = !late && !lost && self.store.is_available(arrives_ms);
        if self.store.is_available(self.now_ms) {
            let commit = Box::new(commit);
            self.queue.push(
                arrives_ms,
                SoakEvent::DeliverCommit {
                    from,
                    commit,
                    answered,
                },
            );
        }
        if !answered || !self.store.is_available(self.now_ms) {
            let event = SoakEvent::CommitEnded {
                to: from,
                cell,
                nonce,
                response: None,
            };
            self.queue.push(self.now_ms + COMMIT_TIMEOUT_MS, event);
        }
    }

    /// Applies a commit at the store, unless the store is unreachable, and checks what was written.
    pub(super) fn deliver_commit(
        &mut self,
        from: DaemonInstance,
        commit: &JournalCommit,
        answered: bool,
    ) {
        let (cell, nonce) = (commit.cell, commit.entry.nonce);
        let mut response = None;
        if self.store.is_available(self.now_ms) {
            let stored = self.store.commit(commit);
            if matches!(stored, CommitResponse::Written(_)) {
                self.check_entry(commit);
            }
            response = Some(stored);
        }
        if answered {
            let delay_ms = if response.is_some() {
                self.rng.random_range(2..60)
            } else {
                COMMIT_TIMEOUT_MS
            };
            let event = SoakEvent::CommitEnded {
                to: from,
                cell,
                nonce,
                response,
            };
            self.queue.push(self.now_ms + delay_ms, event);
        }
    }

    /// Handles the response to a commit. After a conflict the daemon reads the head row: with an
    /// unchanged head the document has changed; a head with this entry means that an earlier send
    /// was written; any other head means that another daemon has claimed the cell. After a
    /// time-out, or when the store is unreachable, a claim may be abandoned; any other commit is
    /// retried.
    pub(super) fn apply_commit_response(
        &mut self,
        to: DaemonInstance,
        cell: CellNumber,
        nonce: u64,
        response: Option<CommitResponse>,
    ) {
        let Some(commit) = self.pending_commit(to, cell, nonce).cloned() else {
            return;
        };
        let rows = self.store.rows(cell);
        let cell_ownership = self.daemons[to.index].cells.get(&cell);
        let head_revision = cell_ownership.map_or(0, |ownership| ownership.head_revision);
        match response {
            Some(CommitResponse::Written(revision)) => self.settle_written(to, cell, revision),
            Some(CommitResponse::Conflict) if self.store.is_available(self.now_ms) => {
                let latest_entry = rows.latest_entry.as_ref();
                if rows.head_revision == head_revision {
                    self.settle_conflict(to, cell, commit.document_revision);
                } else if latest_entry.is_some_and(|latest| latest.same_write(&commit.entry)) {
                    self.settle_written(to, cell, rows.head_revision);
                } else {
                    self.drop_cell(to, cell);
                }
            }
            _ => {
                let claiming = cell_ownership.is_some_and(|ownership| {
                    matches!(ownership.phase, OwnershipPhase::Claiming(_))
                });
                if claiming && self.rng.random_bool(0.3) {
                    self.daemons[to.index].cells.remove(&cell);
                    return;
                }
                let pause_ms = self.rng.random_range(50..2_000);
                let from = to;
                let event = SoakEvent::SendCommit { from, cell, nonce };
                self.queue.push(self.now_ms + pause_ms, event);
            }
        }
    }

    /// Drops a cell that another daemon has claimed. Replies that wait for the entry in flight
    /// stay unknown, since that entry may have been written before the claim. Submissions that
    /// wait for a later entry were not run.
    pub(super) fn drop_cell(&mut self, instance: DaemonInstance, cell: CellNumber) {
        let Some(ownership) = self.daemons[instance.index].cells.remove(&cell) else {
            return;
        };
        let OwnershipPhase::Owned(owned) = ownership.phase else {
            return;
        };
        let mut last_uncertain = owned.owner.sequence();
        if owned.owner.has_entry_in_flight() {
            last_uncertain = last_uncertain.next();
        }
        for reply in &owned.replies {
            if let PendingReply::Job { job, index, .. } = reply
                && reply.sequence() > last_uncertain
                && let Some(submissions) = self.tracker.jobs.get_mut(job)
            {
                submissions.outcomes[*index] = SubmissionOutcome::NotRun;
            }
        }
    }

    /// The daemon's pending commit for the cell, if it has this nonce.
    fn pending_commit(
        &self,
        instance: DaemonInstance,
        cell: CellNumber,
        nonce: u64,
    ) -> Option<&JournalCommit> {
        let ownership = self.daemons[instance.index].cells.get(&cell)?;
        ownership
            .pending_commit
            .as_ref()
            .filter(|commit| commit.entry.nonce == nonce)
    }

    /// Completes a commit that was written at `revision`: a claim opens the cell, a release removes
    /// it, and any other entry leads to starts and replies.
    fn settle_written(&mut self, instance: DaemonInstance, cell: CellNumber, revision: u64) {
        let daemon = &mut self.daemons[instance.index];
        let clock = daemon.clock(self.now_ms);
        let Some(ownership) = daemon.cells.remove(&cell) else {
            return;
        };
        match ownership.phase {
            OwnershipPhase::Claiming(claim) => {
                let owned = OwnedCell {
                    owner: (*claim).claimed(),
                    replies: Vec::new(),
                    last_commit: clock,
                    document_revision: 0,
                    conflicting_revision: None,
                    releasing: false,
                };
                let phase = OwnershipPhase::Owned(Box::new(owned));
                let ownership = CellOwnership {
                    head_revision: revision,
                    pending_commit: None,
                    phase,
                };
                daemon.cells.insert(cell, ownership);
            }
            OwnershipPhase::Owned(mut owned) => {
                let starts = owned.owner.settle_batch(CommitOutcome::Done);
                owned.last_commit = clock;
                let phase = OwnershipPhase::Owned(owned);
                let ownership = CellOwnership {
                    head_revision: revision,
                    pending_commit: None,
                    phase,
                };
                daemon.cells.insert(cell, ownership);
                for start in starts {
                    self.schedule_call(instance, cell, start);
                }
                self.complete_replies(instance, cell);
            }
            OwnershipPhase::Releasing => {}
        }
    }

    /// Puts the changes of a commit back that was rejected because the document has changed.
    fn settle_conflict(
        &mut self,
        instance: DaemonInstance,
        cell: CellNumber,
        document_revision: Option<u64>,
    ) {
        let daemon = &mut self.daemons[instance.index];
        let clock = daemon.clock(self.now_ms);
        let Some(ownership) = daemon.cells.get_mut(&cell) else {
            return;
        };
        ownership.pending_commit = None;
        if let Some(owned) = ownership.owned() {
            owned.conflicting_revision = document_revision;
            owned.last_commit = clock;
            let starts = owned.owner.settle_batch(CommitOutcome::ConfigMoved);
            assert!(
                starts.is_empty(),
                "an entry that was not written leads to no starts"
            );
            let last = owned.owner.last_proposed();
            for reply in &mut owned.replies {
                reply.limit_sequence(last);
            }
            self.complete_replies(instance, cell);
        }
    }
}
