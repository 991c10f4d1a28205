//! Cancellations of jobs.

use std::thread;
use std::time::Duration;

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_jobs::JobIdentity;

use crate::frontend::CancelOutcome;
use crate::frontend::CancellationRows;
use crate::frontend::JobFrontend;
use crate::frontend::StateOutcome;
use crate::frontend::job_frontend::RETRY_DELAY_MS;
use crate::frontend::job_frontend::absent;
use crate::frontend::job_frontend::home_reading::HomeReading;
use crate::ports::CommitAnswer;
use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::ports::StoreCallError;
use crate::ports::StoreCommit;
use crate::ports::StoredRow;
use crate::store::EarlyCancellation;
use crate::store::RowKeys;

impl JobFrontend {
    /// Stores the cancellation of a job, unless the job has ended. Retries until
    /// `deadline`, when the caller stops waiting.
    ///
    /// That of a job which is not stored is stored as well: a submission that got no answer
    /// may still be carried out.
    #[must_use]
    pub fn cancel(&self, identity: &JobIdentity, deadline: MonoTime) -> CancelOutcome {
        match self.state(identity, deadline) {
            StateOutcome::Known(standing) if standing.is_final() => CancelOutcome::Cancelled,
            StateOutcome::CancelledEarly => CancelOutcome::NeverRuns,
            StateOutcome::Missing => self.cancel_early(identity, deadline),
            StateOutcome::Known(_) | StateOutcome::Unreadable => {
                self.store_cancellation(identity, deadline)
            }
            StateOutcome::Unknown => CancelOutcome::Unknown,
        }
    }

    /// Stores the cancellation of a job that was not stored a moment ago.
    fn cancel_early(&self, identity: &JobIdentity, deadline: MonoTime) -> CancelOutcome {
        match self.try_cancel_early(identity, deadline) {
            Ok(Some(outcome)) => outcome,
            Ok(None) | Err(_) => self.store_cancellation(identity, deadline),
        }
    }

    fn store_cancellation(&self, identity: &JobIdentity, deadline: MonoTime) -> CancelOutcome {
        loop {
            if let Ok(Some(outcome)) = self.try_cancel(identity, deadline) {
                return outcome;
            }
            if self.is_too_late(deadline) {
                return CancelOutcome::Unknown;
            }
            thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
        }
    }

    /// Tries once to store the cancellation in the job's cell and in those that have tasks of
    /// it; `None` if the job was stored or has moved to another cell meanwhile.
    fn try_cancel(
        &self,
        identity: &JobIdentity,
        deadline: MonoTime,
    ) -> Result<Option<CancelOutcome>, StoreCallError> {
        let (home, revision) = match self.read_home(identity, deadline)? {
            HomeReading::Missing => return self.try_cancel_early(identity, deadline),
            HomeReading::Unreadable => return Ok(Some(CancelOutcome::Unreadable)),
            HomeReading::Found { home, revision } => (home, revision),
        };
        if home.is_cancelled_early {
            return Ok(Some(CancelOutcome::NeverRuns));
        }
        let cell = home.cell;
        let record = self.read(&RowKeys::progress(cell, identity), deadline)?;
        let key = RowKeys::cancellation(cell, identity);
        let home = RowGuard {
            key: RowKeys::home(identity),
            revision,
        };
        let commit = StoreCommit {
            guards: vec![home, absent(key.clone())],
            writes: self.cancellation_rows(cell, identity, record.as_ref()),
            removals: Vec::new(),
        };
        match self.commit(&commit, deadline)? {
            CommitAnswer::Stored { .. } => Ok(Some(CancelOutcome::Cancelled)),
            CommitAnswer::Refused { rows } => {
                let is_cancelled = rows.iter().any(|row| row.key == key && row.revision > 0);
                Ok(is_cancelled.then_some(CancelOutcome::Cancelled))
            }
        }
    }

    /// The rows that cancel a job of `home`, whose progress was last stored as `record`. Where
    /// that cannot be read, any cell may have tasks of the job.
    fn cancellation_rows(
        &self,
        home: CellNumber,
        identity: &JobIdentity,
        record: Option<&StoredRow>,
    ) -> Vec<RowWrite> {
        let rows = CancellationRows::of(home, identity, record);
        let cells = self.context.cells.load().numbers();
        rows.unwrap_or_else(|| CancellationRows::in_cells(home, identity, cells))
    }

    /// Tries once to store the cancellation of a job that is not stored; `None` if it was
    /// stored meanwhile, or if the cell has another row at the cancellation's key.
    fn try_cancel_early(
        &self,
        identity: &JobIdentity,
        deadline: MonoTime,
    ) -> Result<Option<CancelOutcome>, StoreCallError> {
        let Some(delay) = self.early_cancellations.take_turn(self.now()) else {
            return Ok(Some(CancelOutcome::Refused));
        };
        thread::sleep(delay);
        let commit = EarlyCancellation::commit(self.draw_cell(), identity);
        let answer = self.commit(&commit, deadline)?;
        let is_stored = matches!(answer, CommitAnswer::Stored { .. });
        Ok(is_stored.then_some(CancelOutcome::NeverRuns))
    }

    /// Draws a cell for a row that needs no worker.
    fn draw_cell(&self) -> CellNumber {
        let cells = self.context.cells.load().layout.cells().max(1);
        CellNumber::new(rand::random_range(0..cells))
    }
}
