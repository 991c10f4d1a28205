//! Follows a source of events.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::context::EntryContext;
use crate::following::FollowedEvent;
use crate::following::RetryPause;
use crate::ports::EventSource;
use crate::ports::StoreFault;

/// How long a watch waits for a change. A connection that fell silent is noticed
/// soon after, within the time in which a configuration has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Follows a source of events.
pub struct EventFollower<E> {
    context: Arc<EntryContext>,
    source: Arc<dyn EventSource<E>>,
}

impl<E: Send + 'static> EventFollower<E> {
    /// A follower of `source`.
    #[must_use]
    pub fn new(context: Arc<EntryContext>, source: Arc<dyn EventSource<E>>) -> Self {
        Self { context, source }
    }

    /// Follows on a thread of its own until `take` returns false. With `after` it
    /// begins with the changes after that revision, else with a listing.
    ///
    /// # Panics
    ///
    /// When the operating system gives no thread.
    pub fn spawn(
        self,
        after: Option<u64>,
        take: impl FnMut(FollowedEvent<E>) -> bool + Send + 'static,
    ) {
        let name = format!("follow {}", self.source.name());
        let spawned = thread::Builder::new()
            .name(name)
            .spawn(move || self.follow(after, take));
        spawned.expect("the operating system gives a thread");
    }

    fn follow(self, mut after: Option<u64>, mut take: impl FnMut(FollowedEvent<E>) -> bool) {
        let mut pause = RetryPause::default();
        loop {
            let result = self.next(after);
            self.context.note_store(&result);
            let goes_on = match result {
                Ok((event, revision)) => {
                    after = Some(revision);
                    pause.reset();
                    event.is_none_or(&mut take)
                }
                Err(fault) => {
                    if fault == StoreFault::HistoryGone {
                        tracing::warn!(
                            source = self.source.name(),
                            after,
                            "changes were missed, all is listed again"
                        );
                        after = None;
                    }
                    thread::sleep(pause.after_fault());
                    // Whoever takes the events may be gone in the meantime.
                    take(FollowedEvent::Changed(Vec::new()))
                }
            };
            if !goes_on {
                return;
            }
        }
    }

    fn next(&self, after: Option<u64>) -> Result<(Option<FollowedEvent<E>>, u64), StoreFault> {
        let Some(after) = after else {
            let listing = self.source.list()?;
            return Ok((Some(FollowedEvent::Whole(listing.events)), listing.revision));
        };
        let listing = self.source.watch(after, WATCH_WAIT)?;
        let event = FollowedEvent::Changed(listing.events);
        Ok((Some(event), listing.revision))
    }
}
