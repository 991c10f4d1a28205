//! Handles the requests of callers.

mod home_reading;
mod job_cancellations;
mod job_homes;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sapphirestile_core::MonoTime;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::QueueCount;

use crate::context::EntryContext;
use crate::frontend::HomeCache;
use crate::frontend::StateOutcome;
use crate::frontend::SubmitOutcome;
use crate::frontend::WaitingOutcome;
use crate::frontend::WritePace;
use crate::frontend::job_frontend::home_reading::HomeReading;
use crate::ports::CommitAnswer;
use crate::ports::ListTimeouts;
use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::ports::StoreCallError;
use crate::ports::StoreCommit;
use crate::ports::StoredRow;
use crate::store::HomeRow;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The upper bound of the timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The delay before a failed call is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 60;

/// How long a submission is retried while it is certain that nothing was stored, in
/// milliseconds. A longer period would only delay a refusal that the caller can act on.
const REFUSE_AFTER_MS: u64 = 300;

/// The time reserved for sending the answer before the caller's deadline, in
/// milliseconds.
const ANSWER_MARGIN_MS: u64 = 60;

/// Handles the requests of callers by reading and writing the store.
pub struct JobFrontend {
    context: Arc<EntryContext>,
    homes: HomeCache,
    early_cancellations: WritePace,
}

impl JobFrontend {
    /// Creates the front end of a daemon.
    #[must_use]
    pub fn new(context: Arc<EntryContext>) -> Self {
        Self {
            context,
            homes: HomeCache::default(),
            early_cancellations: WritePace::default(),
        }
    }

    /// Stores a job. A job that is already stored is left as it is, so submitting a job
    /// again does not create a second one. `deadline` is when the caller stops waiting.
    #[must_use]
    pub fn submit(
        &self,
        identity: &JobIdentity,
        spec: &JobSpec,
        deadline: MonoTime,
    ) -> SubmitOutcome {
        let cell = self.choose_cell(spec);
        let commit = StoreCommit {
            guards: vec![absent(RowKeys::home(identity))],
            writes: vec![
                RowWrite {
                    key: RowKeys::home(identity),
                    value: HomeRow::stored(cell).encode(),
                },
                RowWrite {
                    key: RowKeys::spec(cell, identity),
                    value: RowCodec::encode(spec),
                },
            ],
            removals: Vec::new(),
        };
        let started = self.now();
        let mut is_surely_not_stored = true;
        loop {
            // The caller may have cancelled the job since at a daemon of an earlier version,
            // which leaves no mark of that.
            if self.now() >= deadline {
                return SubmitOutcome::Unknown;
            }
            match self.commit(&commit, deadline) {
                Ok(CommitAnswer::Stored { .. }) => {
                    self.homes.insert(identity, cell);
                    return SubmitOutcome::Accepted;
                }
                Ok(CommitAnswer::Refused { rows }) => return outcome_of_refusal(&rows),
                Err(StoreCallError::NotDone) => {}
                Err(_) => is_surely_not_stored = false,
            }
            let now = self.now();
            if is_surely_not_stored && now.millis_since(started) >= REFUSE_AFTER_MS {
                return SubmitOutcome::Refused;
            }
            if self.is_too_late(deadline) {
                return if is_surely_not_stored {
                    SubmitOutcome::Refused
                } else {
                    SubmitOutcome::Unknown
                };
            }
            thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
        }
    }

    /// Reads the state of a job. Retries until `deadline`, when the caller stops waiting.
    #[must_use]
    pub fn state(&self, identity: &JobIdentity, deadline: MonoTime) -> StateOutcome {
        loop {
            match self.read_state(identity, deadline) {
                Ok(outcome) => return outcome,
                Err(_) if self.is_too_late(deadline) => return StateOutcome::Unknown,
                Err(_) => thread::sleep(Duration::from_millis(RETRY_DELAY_MS)),
            }
        }
    }

    fn read_state(
        &self,
        identity: &JobIdentity,
        deadline: MonoTime,
    ) -> Result<StateOutcome, StoreCallError> {
        let known = self.homes.get(identity);
        if let Some(cell) = known
            && let Some(row) = self.read(&RowKeys::progress(cell, identity), deadline)?
        {
            return Ok(state_of(&row));
        }
        let home = match self.read_home(identity, deadline)? {
            HomeReading::Missing => return Ok(StateOutcome::Missing),
            HomeReading::Unreadable => return Ok(StateOutcome::Unreadable),
            HomeReading::Found { home, .. } => home,
        };
        if home.is_cancelled_early {
            return Ok(StateOutcome::CancelledEarly);
        }
        let cell = home.cell;
        if known == Some(cell) {
            return Ok(StateOutcome::Known(JobStanding::Waiting));
        }
        let row = self.read(&RowKeys::progress(cell, identity), deadline)?;
        let waiting = StateOutcome::Known(JobStanding::Waiting);
        Ok(row.map_or(waiting, |row| state_of(&row)))
    }

    /// Reads how many jobs of a queue have not started, as the owners last stored it; 0 for a
    /// queue without a stored count. Retries until `deadline`, when the caller stops waiting.
    #[must_use]
    pub fn waiting(&self, queue: &str, deadline: MonoTime) -> WaitingOutcome {
        loop {
            let timeouts = ListTimeouts {
                pause: self.timeout(deadline),
                total: self.time_left(deadline).min(self.listing_max()),
            };
            match self.context.list_rows(RowKeys::counts_prefix(), timeouts) {
                Ok(listing) => {
                    let counts = listing.rows.iter().map(|row| count_of(row, queue));
                    let sum: Option<u32> = counts.sum();
                    return sum.map_or(WaitingOutcome::Unreadable, WaitingOutcome::Counted);
                }
                Err(_) if self.is_too_late(deadline) => return WaitingOutcome::Unknown,
                Err(_) => thread::sleep(Duration::from_millis(RETRY_DELAY_MS)),
            }
        }
    }

    fn read(&self, key: &str, deadline: MonoTime) -> Result<Option<StoredRow>, StoreCallError> {
        self.context.read_row(key, self.timeout(deadline))
    }

    fn commit(
        &self,
        commit: &StoreCommit,
        deadline: MonoTime,
    ) -> Result<CommitAnswer, StoreCallError> {
        self.context.commit_rows(commit, self.timeout(deadline))
    }

    fn now(&self) -> MonoTime {
        self.context.clock.now()
    }

    fn is_too_late(&self, deadline: MonoTime) -> bool {
        let deadline = self.context.answer_deadline(deadline);
        self.now().plus_millis(ANSWER_MARGIN_MS + RETRY_DELAY_MS) >= deadline
    }

    fn timeout(&self, deadline: MonoTime) -> Duration {
        CALL_TIMEOUT.min(self.time_left(deadline))
    }

    /// The longest time of a listing, which a planned stop may overtake.
    fn listing_max(&self) -> Duration {
        Duration::from_millis(self.context.settings.bounds.grace_ms / 2)
    }

    /// The time until the answer has to be ready.
    fn time_left(&self, deadline: MonoTime) -> Duration {
        let deadline = self.context.answer_deadline(deadline);
        let left_ms = deadline.millis_since(self.now());
        let left_ms = left_ms.saturating_sub(ANSWER_MARGIN_MS);
        Duration::from_millis(left_ms.max(1))
    }
}

/// The precondition that the row does not exist.
fn absent(key: String) -> RowGuard {
    RowGuard { key, revision: 0 }
}

/// What a submission is told if the job has a home row already.
fn outcome_of_refusal(rows: &[StoredRow]) -> SubmitOutcome {
    match rows.iter().find_map(|row| HomeRow::decode(&row.value)) {
        Some(home) if home.is_cancelled_early => SubmitOutcome::CancelledEarly,
        Some(_) => SubmitOutcome::Accepted,
        None => {
            tracing::error!("the store refused a submission without showing its home row");
            SubmitOutcome::Unknown
        }
    }
}

/// What a caller learns from the row of a job's progress.
fn state_of(row: &StoredRow) -> StateOutcome {
    let standing = RowCodec::standing(&row.value);
    if standing.is_none() {
        tracing::error!(key = row.key, "cannot decode how a job stands");
    }
    standing.map_or(StateOutcome::Unreadable, StateOutcome::Known)
}

/// The number of waiting jobs of a queue in the row of a cell; `None` if it cannot be read.
fn count_of(row: &StoredRow, queue: &str) -> Option<u32> {
    let counts: Option<Vec<QueueCount>> = RowCodec::decode(&row.value);
    if counts.is_none() {
        tracing::error!(key = row.key, "cannot decode the counts of a cell");
    }
    let counts = counts?;
    let count = counts.iter().find(|count| *count.queue == *queue);
    Some(count.map_or(0, |count| count.waiting))
}
