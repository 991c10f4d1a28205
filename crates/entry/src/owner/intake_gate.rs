//! Filter for what the store says of jobs that leave the cell.

use sapphirestile_core::SortedTable;
use sapphirestile_jobs::JobIdentity;

use crate::owner::RemovedJob;
use crate::store::IntakeEvent;

/// Keeps an owner from taking the rows of a job that has left its cell for those of a new one,
/// and from missing a job that comes back.
///
/// A row may have been read before the job left, and it may be that of its return: both may
/// arrive while the owner does not know yet whether its departure is stored. Such an event
/// waits for that.
///
/// # Examples
///
/// ```
/// use sapphirestile_entry::IntakeEvent;
/// use sapphirestile_entry::IntakeGate;
/// use sapphirestile_jobs::JobIdentity;
///
/// let job = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
/// let mut gate = IntakeGate::default();
/// let event = IntakeEvent::Cancelled(job);
/// assert_eq!(gate.admit(event.clone(), false), Some(event));
/// ```
#[derive(Debug, Default)]
pub struct IntakeGate {
    /// For each job that has left the cell, the revision up to which its rows are out of date.
    removed: SortedTable<JobIdentity, u64>,
    /// Events that wait for the outcome of a departure, in the order in which they arrived.
    delayed: Vec<IntakeEvent>,
    /// Jobs that the owner has not taken since it cannot read their rows.
    unreadable: SortedTable<JobIdentity, ()>,
}

impl IntakeGate {
    /// Creates the gate of an owner that has not taken the `unreadable` jobs of its cell. A
    /// later listing has their rows again, and would look like new jobs.
    #[must_use]
    pub fn without(unreadable: SortedTable<JobIdentity, ()>) -> Self {
        Self {
            unreadable,
            ..Self::default()
        }
    }

    /// Returns the event if the owner is to handle it now. `is_departing` says whether the
    /// departure of its job, or of some of its tasks, is being stored. A cancellation is
    /// handled now, and once more if the job comes back.
    pub fn admit(&mut self, event: IntakeEvent, is_departing: bool) -> Option<IntakeEvent> {
        if self.unreadable.contains(&event.job()) {
            return None;
        }
        if is_departing {
            self.delayed.push(event.clone());
            return event.is_cancellation().then_some(event);
        }
        self.is_current(&event).then_some(event)
    }

    /// Records the jobs that a stored batch has removed, and returns the events that waited
    /// for it, which are to be admitted again.
    pub fn finish_departures(&mut self, removed: &[RemovedJob]) -> Vec<IntakeEvent> {
        for removal in removed {
            self.removed.insert(removal.job, removal.revision);
        }
        std::mem::take(&mut self.delayed)
    }

    fn is_current(&self, event: &IntakeEvent) -> bool {
        let (IntakeEvent::Submitted {
            identity, revision, ..
        }
        | IntakeEvent::CancelledEarly { identity, revision }) = event
        else {
            return true;
        };
        let removed = self.removed.get(identity).copied();
        removed.is_none_or(|removed| *revision > removed)
    }
}
