//! Commits entries beside the keeper's thread.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use tracing::warn;

use crate::cells::CellJournal;
use crate::cells::JournalBatch;
use crate::cells::JournalOutcome;
use crate::cells::KeeperEvent;
use crate::context::DaemonContext;
use crate::context::LogLimiter;

const RETRY_PAUSE_MIN: Duration = Duration::from_millis(50);
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Commits one entry after the other, each until its outcome is certain.
///
/// A keeper hands over one entry at a time, and renews its sessions meanwhile,
/// however long the store is away.
pub struct JournalWriter {
    context: Arc<DaemonContext>,
    journal: CellJournal,
    events: Sender<KeeperEvent>,
    log_limiter: LogLimiter,
}

impl JournalWriter {
    /// A writer that reports to `events`.
    #[must_use]
    pub fn new(
        context: Arc<DaemonContext>,
        journal: CellJournal,
        events: Sender<KeeperEvent>,
    ) -> Self {
        Self {
            context,
            journal,
            events,
            log_limiter: LogLimiter::default(),
        }
    }

    /// Commits what comes in, until the keeper is gone or deposed.
    pub fn run(mut self, batches: &Receiver<JournalBatch>) {
        for batch in batches {
            let outcome = self.commit(&batch);
            let reported = self.events.send(KeeperEvent::Committed(outcome));
            let ended = matches!(outcome, JournalOutcome::Beaten | JournalOutcome::Deposed);
            if reported.is_err() || ended {
                return;
            }
        }
    }

    /// Commits an entry, and tries again until its outcome is certain.
    pub fn commit(&mut self, batch: &JournalBatch) -> JournalOutcome {
        let mut pause = RETRY_PAUSE_MIN;
        loop {
            let asked = self.context.clock.now();
            match self.journal.try_commit(batch) {
                Ok(outcome) => {
                    self.context
                        .store_contact
                        .record_answer(self.context.clock.now());
                    return outcome;
                }
                Err(error) => {
                    if let Some(repeats) = self.log_limiter.try_acquire(asked) {
                        warn!(
                            step = "commit journal entry",
                            peer = "store",
                            repeats,
                            ?error,
                            "trying again"
                        );
                    }
                }
            }
            thread::sleep(pause);
            pause = RETRY_PAUSE_MAX.min(pause * 2);
        }
    }
}
