//! The owner's view of a worker.

mod room;
mod runs;

use std::net::SocketAddr;

use crate::spec::ResourceVector;
use crate::spec::TaskIdentity;
use crate::worker::KnownIncarnation;
use crate::worker::LeaseGrant;
use crate::worker::PollResponse;
use crate::worker::RunEntry;
use crate::worker::WorkerBreaker;
use crate::worker::WorkerClock;
use crate::worker::WorkerEntry;
use crate::worker::WorkerIncarnation;
use crate::worker::WorkerSilence;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// Duration of shorter poll intervals after a change of pace, in milliseconds.
const CLOSE_POLLING_MS: u64 = 3_000;

/// A poll that got no response shows that the worker is silent now only if it was sent this
/// recently, in milliseconds. An owner that was suspended has older ones.
const UNANSWERED_AGE_MAX_MS: u64 = 3_500;

/// What the owner knows about a worker and its runs.
#[derive(Clone, Debug)]
pub struct TrackedWorker {
    /// Latest entry in the list of workers; `None` for a worker that was never listed and
    /// is known only from assignments by an earlier owner.
    pub entry: Option<WorkerEntry>,
    /// Whether the worker is in the list now.
    pub is_listed: bool,
    /// What is known about the incarnation that responded last; `None` until the worker has
    /// responded to this owner.
    pub known: Option<KnownIncarnation>,
    /// When every lease that an incarnation which has not responded may hold has ended; the
    /// default if it can hold none from this owner.
    pub unknown_leases_end: MonoTime,
    /// Runs that occupy capacity, by task.
    pub runs: SortedTable<TaskIdentity, RunEntry>,
    /// Number of the latest poll that was sent.
    pub poll: u64,
    /// Whether a poll is in flight, or the next one waits for a batch to be stored.
    pub is_polling: bool,
    /// Since when the next poll waits for a batch to be stored; `None` if it does not.
    pub batch_wait_since: Option<MonoTime>,
    /// When the latest response arrived, or the worker was first known.
    pub last_response: MonoTime,
    /// When the latest poll was sent; the default before the first.
    pub poll_sent: MonoTime,
    /// Address that the latest poll was sent to; `None` before the first.
    pub poll_address: Option<SocketAddr>,
    /// Silence since the latest poll with an outcome; `None` if that got a response. Leases
    /// are not extended during it: a poll that arrives late would keep runs alive that the
    /// owner knows nothing about.
    pub silence: Option<WorkerSilence>,
    /// Whether the stored bounds on leases allow to grant the worker one.
    pub lease_grant: LeaseGrant,
    /// Earliest time of the next poll.
    pub next_poll: MonoTime,
    /// When a run last completed on the worker, or the worker was first known.
    pub last_completion: MonoTime,
    /// Excludes the worker from new tasks after repeated failures.
    pub breaker: WorkerBreaker,
    /// When the pace of one of its runs was last changed; the default if never.
    pub pace_changed: MonoTime,
    /// Whether the worker has runs of which it is not known what they take, and does not
    /// enforce its capacity.
    pub has_unknown_load: bool,
    used: ResourceVector,
    best_effort_cpu_milli: u64,
    long_running_cpu_milli: u64,
}

impl TrackedWorker {
    /// Creates the view of a worker that has no known runs and has not responded yet.
    #[must_use]
    pub fn new(entry: Option<WorkerEntry>, now: MonoTime) -> Self {
        Self {
            is_listed: entry.is_some(),
            entry,
            known: None,
            unknown_leases_end: MonoTime::default(),
            runs: SortedTable::new(),
            poll: 0,
            is_polling: false,
            batch_wait_since: None,
            last_response: now,
            poll_sent: MonoTime::default(),
            poll_address: None,
            silence: None,
            lease_grant: LeaseGrant::default(),
            next_poll: MonoTime::default(),
            last_completion: now,
            breaker: WorkerBreaker::default(),
            pace_changed: MonoTime::default(),
            has_unknown_load: false,
            used: ResourceVector::default(),
            best_effort_cpu_milli: 0,
            long_running_cpu_milli: 0,
        }
    }

    /// Estimate of the worker's clock; `None` until the worker has responded to this owner.
    #[must_use]
    pub fn clock(&self) -> Option<&WorkerClock> {
        self.known.as_ref().map(|known| &known.clock)
    }

    /// Incarnation that responded last; before the first response that of the entry, or the
    /// default without one.
    #[must_use]
    pub fn incarnation(&self) -> WorkerIncarnation {
        let listed = self.entry.as_ref().map(|entry| entry.incarnation);
        let known = self.known.map(|known| known.incarnation());
        known.or(listed).unwrap_or_default()
    }

    /// Whether a response is not known to be the worker's: it does not say its incarnation,
    /// which the worker has said before. The answer to another request looks so, and lists no
    /// runs.
    #[must_use]
    pub fn is_unattributed(&self, response: &PollResponse) -> bool {
        let unknown = WorkerIncarnation::default();
        response.incarnation == unknown && self.incarnation() != unknown
    }

    /// Whether the entry was written by another incarnation than the one that responds. That one
    /// may have other resources and labels, and writes its own entry some time after its start.
    #[must_use]
    pub fn has_outdated_entry(&self) -> bool {
        let unknown = WorkerIncarnation::default();
        let listed = self.entry.as_ref().map(|entry| entry.incarnation);
        let listed = listed.filter(|listed| *listed != unknown);
        let known = self.known.map(|known| known.incarnation());
        let known = known.filter(|known| *known != unknown);
        listed
            .zip(known)
            .is_some_and(|(listed, known)| listed != known)
    }

    /// Whether an entry is the first of another incarnation than the known one. An old entry
    /// that arrives late is not, nor is one that does not say when the worker started.
    #[must_use]
    pub fn shows_restart(&self, entry: &WorkerEntry) -> bool {
        let is_new = |before: &WorkerEntry| before.incarnation != entry.incarnation;
        let says_start = entry.incarnation != WorkerIncarnation::default();
        says_start
            && self.entry.as_ref().is_some_and(is_new)
            && self
                .known
                .is_some_and(|known| known.incarnation() != entry.incarnation)
    }

    /// Whether an entry is the first to show another incarnation than the one that a run was
    /// assigned to by an earlier owner, before the worker has responded.
    #[must_use]
    pub fn shows_restart_of_inherited(&self, entry: &WorkerEntry) -> bool {
        let is_new = self.known.is_none()
            && self.entry.as_ref().map(|before| before.incarnation) != Some(entry.incarnation);
        is_new && self.runs.values().any(|run| run.is_earlier_than(entry))
    }

    /// Takes what was known about an incarnation that is over. The next one may have taken
    /// requests that were meant for it, with leases that end at `leases_end` at the latest.
    pub fn forget_incarnation(&mut self, leases_end: MonoTime) -> Option<KnownIncarnation> {
        self.unknown_leases_end = leases_end;
        self.known.take()
    }

    /// Records that a lease until `end_ms` on the worker's clock, in milliseconds, was sent.
    /// Has no effect while the clock is not known.
    pub const fn grant_lease(&mut self, end_ms: u64) {
        if let Some(known) = &mut self.known {
            known.clock.grant(end_ms);
        }
    }

    /// Whether a lease may be granted: the worker responds, and the stored bounds allow it.
    #[must_use]
    pub fn may_get_lease(&self) -> bool {
        self.responds() && self.lease_grant == LeaseGrant::Allowed
    }

    /// Whether the incarnation that responded last has responded to the latest poll with an
    /// outcome.
    #[must_use]
    pub const fn responds(&self) -> bool {
        self.known.is_some() && self.silence.is_none()
    }

    /// Time until every lease that the worker may hold has ended, in milliseconds. If it has
    /// not responded to this owner, earlier ones granted none beyond `inherited_end`.
    #[must_use]
    pub fn lease_left_ms(&self, inherited_end: MonoTime, now: MonoTime) -> u64 {
        match self.clock() {
            Some(clock) => clock.lapses_after_ms(now),
            None => inherited_end.max(self.unknown_leases_end).millis_since(now),
        }
    }

    /// Whether the worker has runs, all of which were assigned to `incarnation`: then earlier
    /// owners knew its clock.
    #[must_use]
    pub fn runs_only(&self, incarnation: WorkerIncarnation) -> bool {
        let mut runs = self.runs.values();
        !self.runs.is_empty() && runs.all(|run| run.incarnation == incarnation)
    }

    /// Whether the worker has the label, such as a machine type or a rack.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        let entry = self.entry.as_ref();
        entry.is_some_and(|entry| entry.labels.iter().any(|own| **own == *label))
    }

    /// Runs that are over if another worker answers the poll with this number: those of the
    /// incarnation that has written the entry, which had the address. None if that is not the
    /// latest poll, or if the entry has another address now.
    #[must_use]
    pub fn runs_over_if_replaced(&self, poll_number: u64) -> Vec<TaskIdentity> {
        let Some(entry) = &self.entry else {
            return Vec::new();
        };
        if poll_number != self.poll || self.poll_address != Some(entry.address) {
            return Vec::new();
        }
        self.runs
            .iter()
            .filter(|(_, run)| run.is_covered_by(poll_number, entry.incarnation))
            .map(|(task, _)| *task)
            .collect()
    }

    /// Whether the latest poll with an outcome got no response.
    #[must_use]
    pub const fn is_unresponsive(&self) -> bool {
        self.silence.is_some()
    }

    /// Whether a recent poll got no response, or the worker cannot be polled. Only then is
    /// the arithmetic of its lease taken for the fate of its runs: a worker that responds
    /// says which of them completed before the lease ended.
    #[must_use]
    pub fn is_silent(&self, now: MonoTime) -> bool {
        match (&self.entry, self.silence) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(_), Some(silence)) => {
                now.millis_since(silence.poll_sent) <= UNANSWERED_AGE_MAX_MS
            }
        }
    }

    /// Whether polls use the shorter interval, because a pace was changed recently.
    #[must_use]
    pub fn is_polled_closely(&self, now: MonoTime) -> bool {
        self.pace_changed != MonoTime::default()
            && now.millis_since(self.pace_changed) <= CLOSE_POLLING_MS
    }
}
