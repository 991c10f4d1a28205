//! Sees to it that the jobs have an owner.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::context::EntryContext;
use crate::owner::ClaimDelay;
use crate::owner::HeadFollower;
use crate::owner::HeadStep;
use crate::owner::OwnedHead;
use crate::owner::OwnerRun;
use crate::owner::RunSources;
use crate::ports::CommitAnswer;
use crate::ports::RowGuard;
use crate::ports::StoreCommit;
use crate::ports::StoreFault;
use crate::ports::StoredRow;
use crate::store::HeadRow;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// How often the head row is read.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// The longest that one call may take.
const CALL_TIMEOUT_MAX: Duration = Duration::from_millis(700);

/// Sees to it that the jobs have an owner: reads the head row, claims it when its
/// owner is gone, and then owns the jobs.
pub struct OwnershipKeeper {
    context: Arc<EntryContext>,
    sources: RunSources,
}

impl OwnershipKeeper {
    /// Begins on a thread of its own, which ends after the daemon is told to stop.
    ///
    /// # Panics
    ///
    /// When the operating system gives no thread.
    #[must_use]
    pub fn spawn(context: Arc<EntryContext>, sources: RunSources) -> JoinHandle<()> {
        let keeper = Self { context, sources };
        thread::Builder::new()
            .name("keep ownership".to_owned())
            .spawn(move || keeper.run())
            .expect("the operating system gives a thread")
    }

    fn run(self) {
        let mut follower = HeadFollower::default();
        while !self.context.is_stopping() {
            let result = self.context.read_row(RowKeys::head(), CALL_TIMEOUT_MAX);
            let has_config = self.context.deployed.load().config.is_some();
            if let Ok(row) = result
                && has_config
            {
                self.act(&mut follower, row.as_ref());
            }
            thread::sleep(READ_INTERVAL);
        }
    }

    fn act(&self, follower: &mut HeadFollower, row: Option<&StoredRow>) {
        let head: Option<HeadRow> = row.and_then(|row| RowCodec::decode(&row.value));
        let revision = row.map_or(0, |row| row.revision);
        let found = head.as_ref().map(|head| (head, revision));
        let now = self.context.clock.now();
        let HeadStep::Claim { revision, epoch } = follower.observe(found, now) else {
            return;
        };
        let delay = ClaimDelay::of(self.context.settings.node.cpu_share);
        thread::sleep(delay.wait());
        let now = self.context.clock.now();
        tracing::info!(epoch, revision, "the owner is gone, claims the jobs");
        if let Some(claimed) = self.claim(revision, epoch) {
            OwnerRun::drive(&self.context, &self.sources, claimed, now);
        }
        *follower = HeadFollower::default();
    }

    /// Claims the head row; none when another daemon was faster.
    fn claim(&self, revision: u64, epoch: u64) -> Option<OwnedHead> {
        let row = HeadRow {
            epoch: epoch + 1,
            daemon: self.context.settings.node.name.as_str().into(),
            incarnation: self.context.incarnation,
            write: 1,
            is_released: false,
        };
        let commit = StoreCommit {
            guards: vec![RowGuard {
                key: RowKeys::head().to_owned(),
                revision,
            }],
            writes: vec![OwnedHead::write_of(&row)],
            removals: Vec::new(),
        };
        while !self.context.is_stopping() {
            let result = self.context.commit_rows(&commit, CALL_TIMEOUT_MAX);
            match result {
                Ok(CommitAnswer::Stored { revision }) => return Some(OwnedHead { row, revision }),
                Ok(CommitAnswer::Refused { rows }) => return own_row(row, &rows),
                Err(StoreFault::NotDone) => thread::sleep(READ_INTERVAL / 4),
                Err(_) => {}
            }
        }
        None
    }
}

/// The claim, if a call before that had no answer was done.
fn own_row(row: HeadRow, rows: &[StoredRow]) -> Option<OwnedHead> {
    let found = rows.iter().find(|found| found.key == RowKeys::head())?;
    let stored: HeadRow = RowCodec::decode(&found.value)?;
    let revision = found.revision;
    (stored == row).then_some(OwnedHead { row, revision })
}
