//! Batches of changes on their way to the journal.

use crate::journal::CellTransition;
use crate::journal::EntryBody;
use crate::journal::JournalEntry;
use crate::owner::CellEffect;
use crate::owner::CellOwner;
use crate::owner::CommitOutcome;
use crate::owner::OpenPhase;
use crate::owner::StartOrder;
use crate::state::CellState;

impl CellOwner<OpenPhase> {
    /// The next entry to commit, when there is one and none is in flight.
    pub fn take_batch(&mut self, nonce: u64) -> Option<&JournalEntry> {
        if self.phase.flight.is_some() || self.phase.pending.is_empty() {
            return None;
        }
        let transitions = std::mem::take(&mut self.phase.pending);
        self.phase.flight = Some(JournalEntry {
            sequence: self.state.sequence().next(),
            writer: self.mark.clone(),
            nonce,
            body: EntryBody::Batch(transitions),
        });
        self.phase.flight.as_ref()
    }

    /// The state as it will be once the entry in flight is in the journal.
    ///
    /// # Panics
    ///
    /// When no entry is in flight, or changes were proposed since it was taken.
    #[must_use]
    pub fn snapshot_in_flight(&self) -> CellState {
        let entry = self.phase.flight.as_ref().expect("no entry is in flight");
        assert!(
            self.phase.pending.is_empty(),
            "changes were proposed since the batch was taken"
        );
        let mut state = self.state.clone();
        state.note_applied(entry);
        state
    }

    /// Takes the outcome of the entry in flight, and returns what is now due.
    ///
    /// # Panics
    ///
    /// When no entry is in flight.
    pub fn settle_batch(&mut self, outcome: CommitOutcome) -> Vec<CellEffect> {
        let entry = self.phase.flight.take().expect("no entry is in flight");
        match outcome {
            CommitOutcome::Done => self.release_effects(&entry),
            CommitOutcome::ConfigMoved => {
                self.withdraw_starts(entry);
                Vec::new()
            }
        }
    }

    fn release_effects(&mut self, entry: &JournalEntry) -> Vec<CellEffect> {
        self.state.note_applied(entry);
        self.release_settled();
        let withheld = std::mem::take(&mut self.phase.withheld);
        let (due, rest) = withheld
            .into_iter()
            .partition(|start| assigns(entry, start));
        self.phase.withheld = rest;
        let due: Vec<StartOrder> = due;
        due.into_iter().map(CellEffect::Start).collect()
    }

    /// Takes the assignments of an entry back that did not reach the journal, and
    /// puts its other changes before those proposed since.
    fn withdraw_starts(&mut self, entry: JournalEntry) {
        let withheld = std::mem::take(&mut self.phase.withheld);
        let (beaten, rest): (Vec<_>, Vec<_>) = withheld
            .into_iter()
            .partition(|start| assigns(&entry, start));
        self.phase.withheld = rest;
        for start in beaten {
            self.state.withdraw(&start.task, start.attempt);
            self.start_answered(start.worker.as_str());
        }
        let EntryBody::Batch(mut transitions) = entry.body else {
            return;
        };
        transitions.retain(|change| !matches!(change, CellTransition::TaskAssigned { .. }));
        transitions.append(&mut self.phase.pending);
        self.phase.pending = transitions;
    }

    /// Lets workers forget the ended attempts whose ends are in the journal.
    pub(super) fn release_settled(&mut self) {
        let reached = self.state.sequence();
        let settling = std::mem::take(&mut self.phase.settling);
        for ended in settling {
            if ended.sequence > reached {
                self.phase.settling.push(ended);
            } else if let Some(view) = self.phase.workers.get_mut(ended.worker.as_str()) {
                view.settled.push((ended.task, ended.attempt));
            }
        }
    }
}

fn assigns(entry: &JournalEntry, start: &StartOrder) -> bool {
    let EntryBody::Batch(transitions) = &entry.body else {
        return false;
    };
    transitions.iter().any(|change| match change {
        CellTransition::TaskAssigned { task, attempt, .. } => {
            *task == start.task && *attempt == start.attempt
        }
        _ => false,
    })
}
