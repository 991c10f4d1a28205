//! Tracks sources that can be listed and watched.
//!
//! An [`EventWatcher`] lists its source, then watches it on its own thread, and lists
//! it again when changes were missed. It passes on [`WatchUpdate`]s and waits a
//! [`RetryBackoff`] after each failed call.

mod event_watcher;
mod retry_backoff;
mod watch_update;

pub use event_watcher::EventWatcher;
pub use retry_backoff::RetryBackoff;
pub use watch_update::WatchUpdate;
