//! Takes what callers want.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sapphirestile_core::MonoTime;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::QueueCount;

use crate::context::EntryContext;
use crate::desk::AcceptOutcome;
use crate::desk::CancelOutcome;
use crate::desk::StateOutcome;
use crate::desk::WaitingOutcome;
use crate::ports::CommitAnswer;
use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::ports::StoreCommit;
use crate::ports::StoreFault;
use crate::ports::StoredRow;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The longest that one call to the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The pause before a call is tried again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 60;

/// How long a job that was surely not stored is tried again, in milliseconds. Longer
/// would hold a refusal back that the caller can act on.
const REFUSE_AFTER_MS: u64 = 300;

/// The time that is left for the answer to reach its caller, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 60;

/// Takes what callers want.
pub struct JobDesk {
    context: Arc<EntryContext>,
}

impl JobDesk {
    /// A desk of a daemon.
    #[must_use]
    pub const fn new(context: Arc<EntryContext>) -> Self {
        Self { context }
    }

    /// Has a job stored. An order that is there already stays as it is, so a job
    /// that is handed in again remains one job. `deadline` is when the caller stops
    /// waiting.
    #[must_use]
    pub fn accept(
        &self,
        identity: &JobIdentity,
        order: &JobSpec,
        deadline: MonoTime,
    ) -> AcceptOutcome {
        let commit = StoreCommit {
            guards: vec![
                absent(RowKeys::order(identity)),
                absent(RowKeys::record(identity)),
            ],
            writes: vec![RowWrite {
                key: RowKeys::order(identity),
                value: RowCodec::encode(order),
            }],
            removals: Vec::new(),
        };
        let began = self.now();
        let mut is_known_undone = true;
        loop {
            match self.commit(&commit, deadline) {
                Ok(_) => return AcceptOutcome::Accepted,
                Err(StoreFault::NotDone) => {}
                Err(_) => is_known_undone = false,
            }
            let now = self.now();
            if is_known_undone && now.millis_since(began) >= REFUSE_AFTER_MS {
                return AcceptOutcome::Refused;
            }
            if self.is_too_late(deadline) {
                return if is_known_undone {
                    AcceptOutcome::Refused
                } else {
                    AcceptOutcome::Unknown
                };
            }
            thread::sleep(Duration::from_millis(RETRY_PAUSE_MS));
        }
    }

    /// Has a cancellation stored.
    #[must_use]
    pub fn cancel(&self, identity: &JobIdentity, deadline: MonoTime) -> CancelOutcome {
        match self.state(identity, deadline) {
            StateOutcome::Known(standing) if standing.is_final() => CancelOutcome::Cancelled,
            StateOutcome::Known(_) => self.store_cancellation(identity, deadline),
            StateOutcome::Missing => CancelOutcome::Missing,
            StateOutcome::Unknown => CancelOutcome::Unknown,
        }
    }

    fn store_cancellation(&self, identity: &JobIdentity, deadline: MonoTime) -> CancelOutcome {
        let key = RowKeys::cancellation(identity);
        let commit = StoreCommit {
            guards: vec![absent(key.clone())],
            writes: vec![RowWrite {
                key,
                value: Vec::new(),
            }],
            removals: Vec::new(),
        };
        loop {
            if self.commit(&commit, deadline).is_ok() {
                return CancelOutcome::Cancelled;
            }
            if self.is_too_late(deadline) {
                return CancelOutcome::Unknown;
            }
            thread::sleep(Duration::from_millis(RETRY_PAUSE_MS));
        }
    }

    /// How a job stands.
    #[must_use]
    pub fn state(&self, identity: &JobIdentity, deadline: MonoTime) -> StateOutcome {
        loop {
            match self.read_state(identity, deadline) {
                Ok(Some(standing)) => return StateOutcome::Known(standing),
                Ok(None) => return StateOutcome::Missing,
                Err(_) if self.is_too_late(deadline) => return StateOutcome::Unknown,
                Err(_) => thread::sleep(Duration::from_millis(RETRY_PAUSE_MS)),
            }
        }
    }

    fn read_state(
        &self,
        identity: &JobIdentity,
        deadline: MonoTime,
    ) -> Result<Option<JobStanding>, StoreFault> {
        if let Some(row) = self.read(&RowKeys::record(identity), deadline)? {
            return Ok(RowCodec::standing(&row.value));
        }
        let order = self.read(&RowKeys::order(identity), deadline)?;
        Ok(order.map(|_| JobStanding::Waiting))
    }

    /// How many jobs of a queue have not begun.
    #[must_use]
    pub fn waiting(&self, queue: &str, deadline: MonoTime) -> WaitingOutcome {
        loop {
            match self.read(RowKeys::counts(), deadline) {
                Ok(row) => return WaitingOutcome::Counted(count_of(row.as_ref(), queue)),
                Err(_) if self.is_too_late(deadline) => return WaitingOutcome::Unknown,
                Err(_) => thread::sleep(Duration::from_millis(RETRY_PAUSE_MS)),
            }
        }
    }

    fn read(&self, key: &str, deadline: MonoTime) -> Result<Option<StoredRow>, StoreFault> {
        self.context.read_row(key, self.timeout(deadline))
    }

    fn commit(&self, commit: &StoreCommit, deadline: MonoTime) -> Result<CommitAnswer, StoreFault> {
        self.context.commit_rows(commit, self.timeout(deadline))
    }

    fn now(&self) -> MonoTime {
        self.context.clock.now()
    }

    fn is_too_late(&self, deadline: MonoTime) -> bool {
        self.now().plus_millis(ANSWER_MARGIN_MS + RETRY_PAUSE_MS) >= deadline
    }

    fn timeout(&self, deadline: MonoTime) -> Duration {
        let left_ms = deadline.millis_since(self.now());
        let left_ms = left_ms.saturating_sub(ANSWER_MARGIN_MS);
        CALL_TIMEOUT.min(Duration::from_millis(left_ms.max(1)))
    }
}

fn absent(key: String) -> RowGuard {
    RowGuard { key, revision: 0 }
}

fn count_of(row: Option<&StoredRow>, queue: &str) -> u32 {
    let counts: Option<Vec<QueueCount>> = row.and_then(|row| RowCodec::decode(&row.value));
    let counts = counts.unwrap_or_default();
    counts
        .iter()
        .find(|count| *count.queue == *queue)
        .map_or(0, |count| count.waiting)
}
