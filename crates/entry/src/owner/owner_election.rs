//! Elects the owner of the jobs.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::context::EntryContext;
use crate::owner::ClaimDecision;
use crate::owner::ClaimDelay;
use crate::owner::OwnerAdapters;
use crate::owner::OwnerMonitor;
use crate::owner::OwnershipClaim;
use crate::owner::OwnershipTerm;
use crate::ports::CommitAnswer;
use crate::ports::RowGuard;
use crate::ports::StoreCallError;
use crate::ports::StoreCommit;
use crate::ports::StoredRow;
use crate::store::OwnershipRow;
use crate::store::RowCodec;
use crate::store::RowKeys;
use crate::watching::RetryBackoff;

/// The interval between reads of the ownership row.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// The upper bound of the timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Makes sure that some daemon owns the jobs: reads the ownership row, claims it when its
/// owner has failed, and then drives the jobs until another daemon takes over.
pub struct OwnerElection {
    context: Arc<EntryContext>,
    adapters: OwnerAdapters,
}

impl OwnerElection {
    /// Starts a thread, which ends after shutdown is requested.
    ///
    /// # Panics
    ///
    /// When the operating system cannot create a thread.
    #[must_use]
    pub fn spawn(context: Arc<EntryContext>, adapters: OwnerAdapters) -> JoinHandle<()> {
        let election = Self { context, adapters };
        thread::Builder::new()
            .name("elect owner".to_owned())
            .spawn(move || election.run())
            .expect("failed to spawn the election thread")
    }

    fn run(self) {
        let mut monitor = OwnerMonitor::default();
        while !self.context.is_stopping() {
            let result = self.context.read_row(RowKeys::ownership(), CALL_TIMEOUT);
            let has_config = self.context.operator_state.load().config.is_some();
            if let Ok(row) = result
                && has_config
            {
                self.handle_row(&mut monitor, row.as_ref());
            }
            thread::sleep(READ_INTERVAL);
        }
    }

    fn handle_row(&self, monitor: &mut OwnerMonitor, row: Option<&StoredRow>) {
        let ownership: Option<OwnershipRow> = row.and_then(|row| RowCodec::decode(&row.value));
        let revision = row.map_or(0, |row| row.revision);
        let found = ownership.as_ref().map(|found| (found, revision));
        let now = self.context.clock.now();
        let ClaimDecision::Claim { revision, epoch } = monitor.observe(found, now) else {
            return;
        };
        let delay = ClaimDelay::of(self.context.settings.node.cpu_share);
        thread::sleep(delay.duration());
        let claimed = self.context.clock.now();
        tracing::info!(
            epoch,
            revision,
            "owner failed or released the jobs; claiming them"
        );
        if let Some(claim) = self.claim(revision, epoch) {
            OwnershipTerm::drive(&self.context, &self.adapters, claim, claimed);
        }
        *monitor = OwnerMonitor::default();
    }

    /// Claims the ownership row; `None` when another daemon was faster or this one
    /// stops.
    fn claim(&self, revision: u64, epoch: u64) -> Option<OwnershipClaim> {
        let row = OwnershipRow {
            epoch: epoch + 1,
            daemon: self.context.settings.node.name.as_str().into(),
            incarnation: self.context.incarnation,
            write: 1,
            is_released: false,
        };
        let commit = StoreCommit {
            guards: vec![RowGuard {
                key: RowKeys::ownership().to_owned(),
                revision,
            }],
            writes: vec![OwnershipClaim::write_of(&row)],
            removals: Vec::new(),
        };
        let mut backoff = RetryBackoff::default();
        while !self.context.is_stopping() {
            let started = Instant::now();
            let result = self.context.commit_rows(&commit, CALL_TIMEOUT);
            match result {
                Ok(CommitAnswer::Stored { revision }) => {
                    return Some(OwnershipClaim { row, revision });
                }
                Ok(CommitAnswer::Refused { rows }) => return own_claim(row, &rows),
                Err(StoreCallError::NotDone) => thread::sleep(READ_INTERVAL / 4),
                Err(_) => thread::sleep(backoff.remaining_delay(started.elapsed())),
            }
        }
        None
    }
}

/// The claim, if an earlier call whose answer was lost has stored it.
fn own_claim(row: OwnershipRow, rows: &[StoredRow]) -> Option<OwnershipClaim> {
    let found = rows
        .iter()
        .find(|found| found.key == RowKeys::ownership())?;
    let stored: OwnershipRow = RowCodec::decode(&found.value)?;
    let revision = found.revision;
    (stored == row).then_some(OwnershipClaim { row, revision })
}
