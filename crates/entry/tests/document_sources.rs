//! How a daemon reads the operators' document and its copies.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use sapphirestile_entry::CommitAnswer;
use sapphirestile_entry::CopySource;
use sapphirestile_entry::DirectSource;
use sapphirestile_entry::DocumentCopy;
use sapphirestile_entry::EntryContext;
use sapphirestile_entry::EntrySettings;
use sapphirestile_entry::EventListing;
use sapphirestile_entry::EventSource;
use sapphirestile_entry::ListTimeouts;
use sapphirestile_entry::RowChange;
use sapphirestile_entry::RowKeys;
use sapphirestile_entry::RowListing;
use sapphirestile_entry::StoreCallError;
use sapphirestile_entry::StoreCommit;
use sapphirestile_entry::StorePort;
use sapphirestile_entry::StoredRow;

const SETTINGS: &str = "\
[node]
name = entry-1
zone = near-a
[ports]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
metrics = 127.0.0.1:3
[targets]
store = 127.0.0.1:4
[bounds]
lease_max_ms = 6000
remember_s = 120
grace_s = 6
";

const REVISION: u64 = 7;
const DOCUMENT_KEY: &str = "document";

/// A store that has a copy, and takes longer to send it than `longest`, or cannot send it.
struct SlowStore {
    longest: Duration,
    fault: Option<StoreCallError>,
}

impl SlowStore {
    fn copy(&self, total: Duration) -> Result<StoredRow, StoreCallError> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        if total < self.longest {
            return Err(StoreCallError::Unknown);
        }
        Ok(StoredRow {
            key: RowKeys::document_copy(REVISION),
            value: DocumentCopy::encode(b"document"),
            revision: 9,
        })
    }
}

impl StorePort for SlowStore {
    fn read(&self, _: &str, timeout: Duration) -> Result<Option<StoredRow>, StoreCallError> {
        self.copy(timeout).map(Some)
    }

    fn list(&self, _: &str, timeouts: ListTimeouts) -> Result<RowListing, StoreCallError> {
        let other = StoredRow {
            key: RowKeys::document_copy(REVISION * 10),
            value: DocumentCopy::encode(b"other"),
            revision: 8,
        };
        let rows = vec![self.copy(timeouts.total)?, other];
        Ok(RowListing { rows, revision: 9 })
    }

    fn commit(&self, _: &StoreCommit, _: Duration) -> Result<CommitAnswer, StoreCallError> {
        Err(StoreCallError::NotDone)
    }
}

/// A source without rows, which records the waits of its watches.
#[derive(Default)]
struct RecordedWaits(Mutex<Vec<Duration>>);

impl EventSource<RowChange> for RecordedWaits {
    fn name(&self) -> &'static str {
        "rows"
    }

    fn list(&self) -> Result<EventListing<RowChange>, StoreCallError> {
        self.watch(0, Duration::ZERO)
    }

    fn watch(&self, after: u64, wait: Duration) -> Result<EventListing<RowChange>, StoreCallError> {
        self.0.lock().unwrap().push(wait);
        Ok(EventListing {
            events: Vec::new(),
            revision: after,
        })
    }
}

/// A daemon that relies on a copy in the store.
fn context(store: SlowStore) -> Arc<EntryContext> {
    let settings = EntrySettings::try_from(SETTINGS).unwrap();
    let context = EntryContext::new(settings, Arc::new(store), 1);
    context.copies.decide(Some(REVISION), context.clock.now());
    Arc::new(context)
}

#[test]
fn a_copy_that_takes_long_on_a_slow_link_is_not_begun_anew_for_ever() {
    let context = context(SlowStore {
        longest: Duration::from_mins(10),
        fault: None,
    });
    let source = CopySource::new(context, DOCUMENT_KEY);
    let listing = source.watch(0, Duration::ZERO).unwrap();
    let document = StoredRow {
        key: DOCUMENT_KEY.to_owned(),
        value: b"document".to_vec(),
        revision: REVISION,
    };
    assert_eq!(listing.events, [RowChange::Written(document)]);
}

#[test]
fn a_copy_that_is_too_large_does_not_make_a_listing_of_copies_replace_the_zones() {
    let context = context(SlowStore {
        longest: Duration::ZERO,
        fault: Some(StoreCallError::AnswerTooLarge),
    });
    let source = CopySource::new(context, DOCUMENT_KEY);
    let listing = source.watch(3, Duration::ZERO);
    let nothing = EventListing {
        events: Vec::new(),
        revision: 3,
    };
    assert_eq!(listing, Ok(nothing));
}

#[test]
fn a_long_watch_of_other_rows_does_not_delay_leaving_the_copies() {
    let context = context(SlowStore {
        longest: Duration::ZERO,
        fault: None,
    });
    let rows = Arc::new(RecordedWaits::default());
    let others = Arc::new(RecordedWaits::default());
    let source = DirectSource::new(context, rows, others.clone(), DOCUMENT_KEY);
    let result = source.watch(3, Duration::from_millis(1_500));
    assert!(result.is_ok());
    let waits = others.0.lock().unwrap();
    assert_eq!(*waits, [Duration::from_millis(500)]);
}
