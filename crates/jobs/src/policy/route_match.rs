//! Result of routing a request to a queue.

use crate::policy::QueuePolicy;

/// The queue for a request, and the rest of the path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    /// Queue with the longest matching prefix.
    pub queue: &'a QueuePolicy,
    /// Part of the path after the prefix of the queue.
    pub rest: &'a str,
}
