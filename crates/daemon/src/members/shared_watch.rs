//! Watches the rows of the store that all daemons share.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::TryRecvError;
use error_stack::Report;
use tracing::error;
use tracing::warn;

use crate::context::DaemonContext;
use crate::context::RepeatLimiter;
use crate::context::StoreKeys;
use crate::document;
use crate::members::MemberRecord;
use crate::members::MemberTable;
use crate::tokens;
use crate::tokens::LedgerRow;
use sapphirestile_clients::store::StoreError;
use sapphirestile_clients::store::StoreWatch;
use sapphirestile_clients::store::StoredRange;
use sapphirestile_clients::store::StoredRow;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_slots::TokenLedger;
use sapphirestile_wire::api::StoredDocument;

/// How long one watch call waits for a change, in milliseconds.
pub const WATCH_WAIT_MS: u64 = 5_000;
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Follows the document, the token ledger and the registrations in the store.
///
/// One watch covers all of them, so that each daemon has only one waiting call at the
/// store.
pub struct SharedWatch {
    context: Arc<DaemonContext>,
    log_limiter: RepeatLimiter,
}

impl SharedWatch {
    /// Creates a watch that updates the document, the ledger and the members of `context`.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>) -> Self {
        let log_limiter = RepeatLimiter::default();
        Self {
            context,
            log_limiter,
        }
    }

    /// Reads all shared rows once, applies them, and returns the store's revision.
    ///
    /// # Errors
    ///
    /// When the read of the store fails.
    pub fn read(&self) -> Result<u64, Report<StoreError>> {
        let range = self.context.store.read(StoreKeys::SHARED)?;
        self.context
            .store_contact
            .record_answer(self.context.clock.now());
        self.apply(&range);
        Ok(range.revision)
    }

    /// Follows changes until `stop` is closed. After an error it reads all rows anew. Blocks
    /// the calling thread.
    pub fn run(&self, stop: &Receiver<()>) {
        let mut after = None;
        while stop.try_recv() != Err(TryRecvError::Disconnected) {
            match self.step(after) {
                Ok(revision) => after = Some(revision),
                Err(error) => {
                    after = None;
                    if let Some(repeats) = self.log_limiter.try_acquire(self.context.clock.now()) {
                        warn!(
                            step = "watch shared rows",
                            peer = "store",
                            repeats,
                            ?error,
                            "cannot read or watch the shared rows; retrying"
                        );
                    }
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    fn step(&self, after: Option<u64>) -> Result<u64, Report<StoreError>> {
        let Some(after) = after else {
            return self.read();
        };
        let watch = StoreWatch {
            prefix: StoreKeys::SHARED,
            after,
        };
        let changed = self
            .context
            .store
            .watch(&watch, Duration::from_millis(WATCH_WAIT_MS))?;
        let Some(range) = changed else {
            self.context
                .store_contact
                .record_answer(self.context.clock.now());
            return Ok(after);
        };
        self.context
            .store_contact
            .record_answer(self.context.clock.now());
        self.apply(&range);
        Ok(range.revision)
    }

    fn apply(&self, range: &StoredRange) {
        for row in &range.rows {
            match row.key.as_str() {
                StoreKeys::DOCUMENT => self.apply_document(row),
                StoreKeys::LEDGER => self.apply_ledger(row, range),
                _ => {}
            }
        }
        self.apply_members(range);
    }

    fn apply_document(&self, row: &StoredRow) {
        match StoredDocument::try_from(row.value.as_slice()) {
            Ok(stored) => {
                document::publish(&self.context, stored, ConfigRevision::new(row.revision));
            }
            Err(error) => error!(
                step = "read configuration",
                peer = "store",
                ?error,
                "cannot decode the stored document"
            ),
        }
    }

    fn apply_ledger(&self, row: &StoredRow, range: &StoredRange) {
        match postcard::from_bytes::<TokenLedger>(&row.value) {
            Ok(ledger) => {
                let unregistered = unregistered_members(&ledger, range);
                let revision = row.revision;
                let row = LedgerRow {
                    ledger,
                    revision,
                    unregistered,
                };
                tokens::publish_ledger(&self.context, row);
            }
            Err(error) => {
                error!(step = "read ledger", peer = "store", %error, "cannot decode the stored ledger");
            }
        }
    }

    fn apply_members(&self, range: &StoredRange) {
        let rows: Vec<&StoredRow> = range
            .rows
            .iter()
            .filter(|row| row.key.starts_with(StoreKeys::MEMBERS))
            .collect();
        self.context.members.update(|table| {
            let mut table = table.clone();
            for row in &rows {
                register_row(&mut table, row);
            }
            remove_unregistered(&mut table, &rows, range.revision);
            table
        });
    }
}

/// The members of a ledger whose own registration is not among the rows of the same read.
fn unregistered_members(ledger: &TokenLedger, range: &StoredRange) -> Vec<DaemonIdentity> {
    let registered = |member: &DaemonIdentity| {
        let key = StoreKeys::member(member.daemon.as_str());
        let revision = member.incarnation.get();
        range
            .rows
            .iter()
            .any(|row| row.key == key && row.revision == revision)
    };
    let members = ledger.members.iter();
    members
        .filter(|member| !registered(member))
        .cloned()
        .collect()
}

fn register_row(table: &mut MemberTable, row: &StoredRow) {
    let name = row.key.trim_start_matches(StoreKeys::MEMBERS);
    let record = serde_json::from_slice::<MemberRecord>(&row.value);
    if let (Ok(daemon), Ok(record)) = (DaemonName::try_from(name), record) {
        table.register(
            &daemon,
            IncarnationNumber::new(row.revision),
            record.address,
        );
    }
}

/// Removes daemons without a registration from the table. A daemon that registered after
/// the rows were read has an incarnation above `revision`, the revision of the read, and is
/// kept.
fn remove_unregistered(table: &mut MemberTable, rows: &[&StoredRow], revision: u64) {
    let registered = |daemon: &str| rows.iter().any(|row| row.key == StoreKeys::member(daemon));
    let removed: Vec<DaemonName> = table
        .rows()
        .filter(|(daemon, _)| !registered(daemon.as_str()))
        .map(|(daemon, _)| daemon.clone())
        .collect();
    for daemon in &removed {
        table.remove(daemon.as_str(), IncarnationNumber::new(revision));
    }
}
