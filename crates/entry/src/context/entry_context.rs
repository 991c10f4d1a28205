//! What all parts of the daemon share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use sapphirestile_serving::MonoClock;
use sapphirestile_serving::SwapHolder;

use crate::context::CallPatience;
use crate::context::DeployedView;
use crate::context::StorePulse;
use crate::metrics::EntryMetrics;
use crate::ports::CommitAnswer;
use crate::ports::StoreCommit;
use crate::ports::StoreFault;
use crate::ports::StorePort;
use crate::ports::StoredRow;
use crate::settings::EntrySettings;

/// What all parts of the daemon share.
pub struct EntryContext {
    /// The settings.
    pub settings: EntrySettings,
    /// The store.
    pub store: Arc<dyn StorePort>,
    /// What operators want.
    pub deployed: SwapHolder<DeployedView>,
    /// Whether the store answers.
    pub pulse: StorePulse,
    /// How long to wait for the store.
    pub patience: CallPatience,
    /// What is counted.
    pub metrics: EntryMetrics,
    /// The clock.
    pub clock: MonoClock,
    /// A number that no other process has, as likely as not to be true.
    pub incarnation: u64,
    is_stopping: AtomicBool,
}

impl EntryContext {
    /// The context of a daemon that begins now.
    #[must_use]
    pub fn new(settings: EntrySettings, store: Arc<dyn StorePort>, incarnation: u64) -> Self {
        Self {
            settings,
            store,
            deployed: SwapHolder::new(DeployedView::default()),
            pulse: StorePulse::default(),
            patience: CallPatience::default(),
            metrics: EntryMetrics::default(),
            clock: MonoClock::start(),
            incarnation,
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Whether the daemon is to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Has the daemon stop.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Reads a row, within the store's usual time and `longest`.
    ///
    /// # Errors
    ///
    /// As the store's.
    pub fn read_row(&self, key: &str, longest: Duration) -> Result<Option<StoredRow>, StoreFault> {
        self.call_store(longest, |timeout| self.store.read(key, timeout))
    }

    /// Commits rows, within the store's usual time and `longest`.
    ///
    /// # Errors
    ///
    /// As the store's.
    pub fn commit_rows(
        &self,
        commit: &StoreCommit,
        longest: Duration,
    ) -> Result<CommitAnswer, StoreFault> {
        self.call_store(longest, |timeout| self.store.commit(commit, timeout))
    }

    fn call_store<T>(
        &self,
        longest: Duration,
        call: impl FnOnce(Duration) -> Result<T, StoreFault>,
    ) -> Result<T, StoreFault> {
        let began = Instant::now();
        let usual = self.patience.timeout();
        let result = call(usual.min(longest));
        match &result {
            Ok(_) => self.patience.note_answer(began.elapsed()),
            // A call that a caller's deadline cut short says nothing of the store.
            Err(StoreFault::Unknown) if usual <= longest => self.patience.note_silence(),
            Err(_) => {}
        }
        self.note_store(&result);
        result
    }

    /// Takes note of what came of a call to the store.
    pub fn note_store<T>(&self, result: &Result<T, StoreFault>) {
        match result {
            Ok(_) | Err(StoreFault::HistoryGone) => {
                self.metrics.count_store_call("answered");
                if self.pulse.note_answer() {
                    tracing::info!(dependency = "store", "the store answers again");
                }
            }
            Err(fault) => {
                self.metrics.count_store_call(fault.word());
                if self.pulse.note_failure(self.clock.now()) {
                    tracing::warn!(dependency = "store", %fault, "the store does not answer");
                }
            }
        }
    }
}
