//! Commits of batches of changes to the journal.

use crate::journal::CellTransition;
use crate::journal::EntryBody;
use crate::journal::JournalEntry;
use crate::owner::CellEffect;
use crate::owner::CellOwner;
use crate::owner::CommitOutcome;
use crate::owner::OwningPhase;
use crate::state::CellState;

impl CellOwner<OwningPhase> {
    /// Takes the next entry to commit; `None` when there are no changes or an entry is
    /// already in flight.
    pub fn take_batch(&mut self, nonce: u64) -> Option<&JournalEntry> {
        if self.phase.in_flight.is_some() || self.phase.pending.is_empty() {
            return None;
        }
        let transitions = std::mem::take(&mut self.phase.pending);
        self.phase.starts_in_flight = std::mem::take(&mut self.phase.withheld);
        self.phase.in_flight = Some(JournalEntry {
            sequence: self.state.sequence().next(),
            writer: self.identity.clone(),
            nonce,
            body: EntryBody::Batch(transitions),
        });
        self.phase.in_flight.as_ref()
    }

    /// The state as it will be once the entry in flight is in the journal.
    ///
    /// # Panics
    ///
    /// When no entry is in flight, or changes were proposed since it was taken.
    #[must_use]
    pub fn snapshot_in_flight(&self) -> CellState {
        let entry = self
            .phase
            .in_flight
            .as_ref()
            .expect("no entry is in flight");
        assert!(
            self.phase.pending.is_empty(),
            "changes were proposed since the batch was taken"
        );
        let mut state = self.state.clone();
        state.advance_past(entry);
        state
    }

    /// Records the outcome of the entry in flight, and returns the starts that are now due.
    ///
    /// # Panics
    ///
    /// When no entry is in flight.
    pub fn settle_batch(&mut self, outcome: CommitOutcome) -> Vec<CellEffect> {
        let entry = self.phase.in_flight.take().expect("no entry is in flight");
        match outcome {
            CommitOutcome::Done => self.release_effects(&entry),
            CommitOutcome::ConfigMoved => {
                self.withdraw_starts(entry);
                Vec::new()
            }
        }
    }

    fn release_effects(&mut self, entry: &JournalEntry) -> Vec<CellEffect> {
        self.state.advance_past(entry);
        self.release_settled();
        self.update_committed_shares(entry);
        let due = std::mem::take(&mut self.phase.starts_in_flight);
        due.into_iter().map(CellEffect::Start).collect()
    }

    /// Undoes the assignments of an entry that did not reach the journal, and queues its
    /// other changes before those proposed since.
    fn withdraw_starts(&mut self, entry: JournalEntry) {
        for start in std::mem::take(&mut self.phase.starts_in_flight) {
            self.state.undo_assignment(&start.task, start.attempt);
            self.phase.assigned.remove(&start.worker, &start.task);
            self.phase.memory.forget(&start.task);
            self.start_answered(start.worker.as_str());
        }
        let EntryBody::Batch(mut transitions) = entry.body else {
            return;
        };
        transitions.retain(|change| !matches!(change, CellTransition::TaskAssigned { .. }));
        transitions.append(&mut self.phase.pending);
        self.phase.pending = transitions;
        self.rebase_settling();
    }

    /// Changes of the entry that was not written go into the next one together with those
    /// proposed since, so what waited for the entry after it waits for the next one now.
    fn rebase_settling(&mut self) {
        let last = self.last_proposed();
        for (_, sequence) in self.phase.settling.iter_mut() {
            *sequence = last.min(*sequence);
        }
        self.release_settled();
    }

    /// Allows workers to forget ended attempts whose ends are in the journal.
    pub(super) fn release_settled(&mut self) {
        let reached = self.state.sequence();
        let OwningPhase {
            settling, workers, ..
        } = &mut self.phase;
        settling.retain(|ended, sequence| {
            let waits = *sequence > reached;
            if !waits && let Some(tracked) = workers.get_mut(ended.worker.as_str()) {
                tracked.settled.push((ended.task.clone(), ended.attempt));
            }
            waits
        });
    }
}
