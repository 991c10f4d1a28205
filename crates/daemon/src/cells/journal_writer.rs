//! Commits journal entries on a thread of its own.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use tracing::warn;

use crate::cells::CellEvent;
use crate::cells::CellJournal;
use crate::cells::JournalCommit;
use crate::cells::JournalOutcome;
use crate::context::DaemonContext;
use crate::context::RepeatLimiter;

const RETRY_PAUSE_MIN: Duration = Duration::from_millis(50);
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Commits journal entries one at a time and retries each until its outcome is certain.
///
/// It runs on its own thread, so that the cell's actor can renew its sessions with
/// workers however long the store is unavailable.
pub struct JournalWriter {
    context: Arc<DaemonContext>,
    journal: CellJournal,
    events: Sender<CellEvent>,
    log_limiter: RepeatLimiter,
}

impl JournalWriter {
    /// Creates a writer that reports each outcome to `events` as [`CellEvent::Committed`].
    #[must_use]
    pub fn new(
        context: Arc<DaemonContext>,
        journal: CellJournal,
        events: Sender<CellEvent>,
    ) -> Self {
        Self {
            context,
            journal,
            events,
            log_limiter: RepeatLimiter::default(),
        }
    }

    /// Commits what arrives in `commits`. Returns when the actor has ended, or after an
    /// outcome that shows that another daemon has claimed the cell.
    pub fn run(mut self, commits: &Receiver<JournalCommit>) {
        for commit in commits {
            let outcome = self.commit(&commit);
            let reported = self.events.send(CellEvent::Committed(outcome));
            let is_superseded = matches!(outcome, JournalOutcome::Beaten | JournalOutcome::Deposed);
            if reported.is_err() || is_superseded {
                return;
            }
        }
    }

    /// Commits an entry and retries until its outcome is certain, with pauses that double
    /// from 50 ms up to 2 s. Blocks for as long as the store is unavailable.
    pub fn commit(&mut self, commit: &JournalCommit) -> JournalOutcome {
        let mut pause = RETRY_PAUSE_MIN;
        loop {
            let started_at = self.context.clock.now();
            match self.journal.try_commit(commit) {
                Ok(outcome) => {
                    self.context
                        .store_contact
                        .record_answer(self.context.clock.now());
                    return outcome;
                }
                Err(error) => {
                    if let Some(repeats) = self.log_limiter.try_acquire(started_at) {
                        warn!(
                            step = "commit journal entry",
                            peer = "store",
                            repeats,
                            ?error,
                            "outcome unknown; retrying"
                        );
                    }
                }
            }
            thread::sleep(pause);
            pause = RETRY_PAUSE_MAX.min(pause * 2);
        }
    }
}
