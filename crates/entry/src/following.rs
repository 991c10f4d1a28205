//! Follows what can be listed and watched.
//!
//! An [`EventFollower`] lists its source, then watches it on a thread of its own,
//! and lists it again when changes were missed. It gives [`FollowedEvent`]s, and
//! waits a [`RetryPause`] after a call that failed.

mod event_follower;
mod followed_event;
mod retry_pause;

pub use event_follower::EventFollower;
pub use followed_event::FollowedEvent;
pub use retry_pause::RetryPause;
