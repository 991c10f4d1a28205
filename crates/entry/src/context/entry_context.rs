//! State that all parts of a daemon share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use sapphirestile_core::MonoTime;
use sapphirestile_serving::MonoClock;
use sapphirestile_serving::PauseWatch;
use sapphirestile_serving::RcuValue;

use crate::cells::CellTable;
use crate::context::OperatorState;
use crate::context::StoreHealth;
use crate::context::StoreTimeout;
use crate::copies::DocumentCopies;
use crate::metrics::EntryMetrics;
use crate::ports::CommitAnswer;
use crate::ports::ListTimeouts;
use crate::ports::RowListing;
use crate::ports::StoreCallError;
use crate::ports::StoreCommit;
use crate::ports::StorePort;
use crate::ports::StoredRow;
use crate::settings::EntrySettings;

/// State that all parts of a daemon share.
pub struct EntryContext {
    /// The settings that were read at start.
    pub settings: EntrySettings,
    /// The key-value store of the platform.
    pub store: Arc<dyn StorePort>,
    /// The operators' configuration and zone states.
    pub operator_state: RcuValue<OperatorState>,
    /// The cells and their owners, as last read.
    pub cells: RcuValue<CellTable>,
    /// Copies of the operators' document.
    pub copies: DocumentCopies,
    /// Since when calls to the store have failed.
    pub store_health: StoreHealth,
    /// The adaptive timeout of calls to the store.
    pub store_timeout: StoreTimeout,
    /// The metrics that the daemon exports.
    pub metrics: EntryMetrics,
    /// The monotonic clock from which all deadlines are derived.
    pub clock: MonoClock,
    /// Pauses of the process, during which requests may have waited at its ports.
    pub pauses: PauseWatch,
    /// A random number that identifies this process among the daemons.
    pub incarnation: u64,
    is_stopping: AtomicBool,
    /// When every request must have an answer, in milliseconds of `clock`; the maximum
    /// before a shutdown is requested.
    answers_due_ms: AtomicU64,
}

impl EntryContext {
    /// Creates the context of a daemon that starts now.
    #[must_use]
    pub fn new(settings: EntrySettings, store: Arc<dyn StorePort>, incarnation: u64) -> Self {
        Self {
            settings,
            store,
            operator_state: RcuValue::new(OperatorState::default()),
            cells: RcuValue::new(CellTable::default()),
            copies: DocumentCopies::default(),
            store_health: StoreHealth::default(),
            store_timeout: StoreTimeout::default(),
            metrics: EntryMetrics::default(),
            clock: MonoClock::start(),
            pauses: PauseWatch::default(),
            incarnation,
            is_stopping: AtomicBool::new(false),
            answers_due_ms: AtomicU64::new(u64::MAX),
        }
    }

    /// Whether a shutdown was requested.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Requests shutdown of all parts of the daemon. Every request is to be answered by
    /// `answers_due`, since the process ends soon after.
    pub fn request_stop(&self, answers_due: MonoTime) {
        self.answers_due_ms
            .store(answers_due.as_millis(), Ordering::Release);
        self.is_stopping.store(true, Ordering::Release);
    }

    /// When a request must be answered whose caller waits until `deadline`.
    #[must_use]
    pub fn answer_deadline(&self, deadline: MonoTime) -> MonoTime {
        let answers_due_ms = self.answers_due_ms.load(Ordering::Acquire);
        deadline.min(MonoTime::from_millis(answers_due_ms))
    }

    /// Changes the operators' state and logs which version of the configuration is in
    /// effect after it.
    pub fn update_operator_state(&self, change: impl FnOnce(&OperatorState) -> OperatorState) {
        let previous_version = self.config_version();
        self.operator_state.update(change);
        let version = self.config_version();
        if version == previous_version {
            return;
        }
        self.metrics.set_config_version(version);
        tracing::info!(version, previous_version, "configuration in effect");
    }

    /// The version of the configuration in effect; 0 until there is one.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        let state = self.operator_state.load();
        state.config.as_ref().map_or(0, |config| config.version)
    }

    /// Reads a row within the adaptive timeout, but at most `limit`.
    ///
    /// # Errors
    ///
    /// The same errors as those of the [`StorePort`].
    pub fn read_row(
        &self,
        key: &str,
        limit: Duration,
    ) -> Result<Option<StoredRow>, StoreCallError> {
        self.call_store(limit, |timeout| self.store.read(key, timeout))
    }

    /// Lists rows within `timeouts`. Each wait for the next bytes of the answer takes the
    /// adaptive timeout at most.
    ///
    /// # Errors
    ///
    /// The same errors as those of the [`StorePort`].
    pub fn list_rows(
        &self,
        prefix: &str,
        timeouts: ListTimeouts,
    ) -> Result<RowListing, StoreCallError> {
        let ListTimeouts { pause, total } = timeouts;
        self.call_store(pause.min(total), |pause| {
            self.store.list(prefix, ListTimeouts { pause, total })
        })
    }

    /// Commits rows within the adaptive timeout, but at most `limit`.
    ///
    /// # Errors
    ///
    /// The same errors as those of the [`StorePort`].
    pub fn commit_rows(
        &self,
        commit: &StoreCommit,
        limit: Duration,
    ) -> Result<CommitAnswer, StoreCallError> {
        self.call_store(limit, |timeout| self.store.commit(commit, timeout))
    }

    fn call_store<T>(
        &self,
        limit: Duration,
        call: impl FnOnce(Duration) -> Result<T, StoreCallError>,
    ) -> Result<T, StoreCallError> {
        let started = Instant::now();
        let timeout = self.store_timeout.timeout();
        let result = call(timeout.min(limit));
        match &result {
            Ok(_) => self.store_timeout.record_answer(started.elapsed()),
            // A timeout that was shortened by a caller's deadline is no evidence of a
            // slow store.
            Err(StoreCallError::Unknown) if timeout <= limit => self.store_timeout.record_timeout(),
            Err(_) => {}
        }
        self.record_store_result(&result);
        result
    }

    /// Records the result of a store call in the metrics and the store health. Logs
    /// when the store starts or stops failing.
    pub fn record_store_result<T>(&self, result: &Result<T, StoreCallError>) {
        match result {
            Ok(_) | Err(StoreCallError::HistoryGone | StoreCallError::AnswerTooLarge) => {
                self.metrics.count_store_call("answered");
                if self.store_health.record_success() {
                    tracing::info!(dependency = "store", "store answers again");
                }
            }
            Err(fault) => {
                self.metrics.count_store_call(fault.label());
                if self.store_health.record_failure(self.clock.now()) {
                    tracing::warn!(
                        dependency = "store",
                        %fault,
                        "store call failed; no further warnings until the store answers"
                    );
                }
            }
        }
    }
}
