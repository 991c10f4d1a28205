//! Lists and watches a source of events.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::context::EntryContext;
use crate::ports::EventSource;
use crate::ports::StoreCallError;
use crate::watching::RetryBackoff;
use crate::watching::WatchUpdate;

/// How long one watch call waits for a change. A dead connection is detected shortly
/// after this time, so it must be shorter than the time within which a new
/// configuration has to take effect.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// How much longer than that a read of changes may take without being logged.
const SLOW_READ: Duration = Duration::from_millis(500);

/// Lists and watches a source of events on its own thread.
pub struct EventWatcher<E> {
    context: Arc<EntryContext>,
    source: Arc<dyn EventSource<E>>,
    /// The minimum time between two calls that found changes.
    interval: Duration,
    /// Whether each result is that of a call to the store.
    reads_store: bool,
}

impl<E: Send + 'static> EventWatcher<E> {
    /// Creates a watcher of `source`.
    #[must_use]
    pub fn new(context: Arc<EntryContext>, source: Arc<dyn EventSource<E>>) -> Self {
        Self {
            context,
            source,
            interval: Duration::ZERO,
            reads_store: true,
        }
    }

    /// Records no results as those of calls to the store: the source does that itself, and
    /// has results without a call.
    #[must_use]
    pub const fn without_records(mut self) -> Self {
        self.reads_store = false;
        self
    }

    /// Sets the minimum time between two calls that found changes. Changes that come more
    /// often are read together, which saves calls.
    #[must_use]
    pub const fn with_interval(mut self, interval: Duration) -> Self {
        self.interval = interval;
        self
    }

    /// Starts a thread that passes updates to `handle` until `handle` returns false.
    /// With `after` the thread begins with the changes after that revision, otherwise
    /// with a listing.
    ///
    /// # Panics
    ///
    /// When the operating system cannot create a thread.
    pub fn spawn(
        self,
        after: Option<u64>,
        handle: impl FnMut(WatchUpdate<E>) -> bool + Send + 'static,
    ) {
        let name = format!("watch {}", self.source.name());
        let spawned = thread::Builder::new()
            .name(name)
            .spawn(move || self.watch(after, handle));
        spawned.expect("failed to spawn the watcher thread");
    }

    fn watch(self, mut after: Option<u64>, mut handle: impl FnMut(WatchUpdate<E>) -> bool) {
        let mut backoff = RetryBackoff::default();
        loop {
            let started = Instant::now();
            let result = self.next(after);
            if self.reads_store {
                self.context.record_store_result(&result);
            }
            let is_continuing = match result {
                Ok((update, revision)) => {
                    self.log_slow_read(after, started);
                    after = Some(revision);
                    backoff.reset();
                    let is_continuing = update.is_none_or(&mut handle);
                    thread::sleep(self.interval.saturating_sub(started.elapsed()));
                    is_continuing
                }
                Err(fault) => {
                    tracing::warn!(
                        source = self.source.name(),
                        after,
                        took_ms = elapsed_ms(started),
                        %fault,
                        "cannot read changes"
                    );
                    if needs_listing(fault) {
                        after = None;
                    }
                    thread::sleep(backoff.next_delay());
                    // Polls the handler with no changes, since its receiver may be gone
                    // by now.
                    handle(WatchUpdate::Changes(Vec::new()))
                }
            };
            if !is_continuing {
                return;
            }
        }
    }

    /// Logs a read that took longer than a watch waits: its answer was slow to arrive.
    fn log_slow_read(&self, after: Option<u64>, started: Instant) {
        if started.elapsed() > WATCH_WAIT + SLOW_READ {
            let (source, took_ms) = (self.source.name(), elapsed_ms(started));
            tracing::info!(source, after, took_ms, "slow read of changes");
        }
    }

    fn next(&self, after: Option<u64>) -> Result<(Option<WatchUpdate<E>>, u64), StoreCallError> {
        let Some(after) = after else {
            let listing = self.source.list()?;
            return Ok((
                Some(WatchUpdate::Snapshot(listing.events)),
                listing.revision,
            ));
        };
        let listing = self.source.watch(after, WATCH_WAIT)?;
        let update = WatchUpdate::Changes(listing.events);
        Ok((Some(update), listing.revision))
    }
}

/// The time since `started`, in whole milliseconds.
fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Whether the changes after a revision cannot be read any more.
const fn needs_listing(fault: StoreCallError) -> bool {
    matches!(
        fault,
        StoreCallError::HistoryGone | StoreCallError::AnswerTooLarge
    )
}
