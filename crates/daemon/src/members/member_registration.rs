//! Registration of a daemon in the store.

use std::thread;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use tracing::warn;

use crate::context::MonoClock;
use crate::context::RepeatLimiter;
use crate::context::StoreKeys;
use crate::members::MemberRecord;
use sapphirestile_clients::store::CommitAnswer;
use sapphirestile_clients::store::StoreClient;
use sapphirestile_clients::store::StoreCommit;
use sapphirestile_clients::store::StoreError;
use sapphirestile_clients::store::StoreGuard;
use sapphirestile_clients::store::StoreWrite;
use sapphirestile_clients::store::StoredRow;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::StepError;

const STEP: &str = "register daemon";
const PEER: &str = "store";
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Registers a daemon in the store and removes its registration.
///
/// The revision of the write is the daemon's incarnation. The store never uses a revision
/// twice, so a daemon that restarts at the same address has a later incarnation.
pub struct MemberRegistration<'a> {
    store: &'a dyn StoreClient,
    daemon: &'a str,
}

impl<'a> MemberRegistration<'a> {
    /// Creates a registration of `daemon`; does not call the store.
    #[must_use]
    pub const fn new(store: &'a dyn StoreClient, daemon: &'a str) -> Self {
        Self { store, daemon }
    }

    /// Writes the record and returns the incarnation. Retries every 500 ms, and blocks, until
    /// it succeeds.
    #[must_use]
    pub fn register(&self, record: &MemberRecord) -> IncarnationNumber {
        let (clock, log_limiter) = (MonoClock::start(), RepeatLimiter::default());
        loop {
            match self.try_register(record) {
                Ok(incarnation) => return incarnation,
                Err(error) => {
                    if let Some(repeats) = log_limiter.try_acquire(clock.now()) {
                        warn!(
                            step = STEP,
                            peer = PEER,
                            daemon = self.daemon,
                            repeats,
                            ?error,
                            "registration failed; retrying"
                        );
                    }
                }
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Removes the registration, if it is still the one of `incarnation`. An unknown outcome
    /// is not retried: the rows that the shared watch reads show the result.
    pub fn remove(&self, incarnation: IncarnationNumber) {
        let key = StoreKeys::member(self.daemon);
        let end = format!("{key}\0");
        let guards = [StoreGuard {
            key: &key,
            revision: incarnation.get(),
        }];
        let writes = [StoreWrite::DeleteRange {
            first: &key,
            end: &end,
        }];
        let commit = StoreCommit {
            guards: &guards,
            writes: &writes,
        };
        if let Err(error) = self.store.commit(&commit) {
            warn!(
                step = "remove registration",
                peer = PEER,
                daemon = self.daemon,
                ?error,
                "outcome unknown"
            );
        }
    }

    fn try_register(&self, record: &MemberRecord) -> Result<IncarnationNumber, Report<StepError>> {
        let failed = || StepError::new(STEP, PEER);
        let value = serde_json::to_vec(record).change_context_lazy(failed)?;
        let current = self.read().change_context_lazy(failed)?;
        if let Some(row) = &current
            && row.value == value
        {
            // An earlier attempt was committed and its response was lost.
            return Ok(IncarnationNumber::new(row.revision));
        }
        let revision = current.map_or(0, |row| row.revision);
        let key = StoreKeys::member(self.daemon);
        let guards = [StoreGuard {
            key: &key,
            revision,
        }];
        let writes = [StoreWrite::Put {
            key: &key,
            value: &value,
            lease: None,
        }];
        let commit = StoreCommit {
            guards: &guards,
            writes: &writes,
        };
        match self.store.commit(&commit).change_context_lazy(failed)? {
            CommitAnswer::Done(revision) => Ok(IncarnationNumber::new(revision)),
            CommitAnswer::Beaten => Err(Report::new(failed())),
        }
    }

    fn read(&self) -> Result<Option<StoredRow>, Report<StoreError>> {
        let key = StoreKeys::member(self.daemon);
        let range = self.store.read(&key)?;
        Ok(range.rows.into_iter().find(|row| row.key == key))
    }
}
