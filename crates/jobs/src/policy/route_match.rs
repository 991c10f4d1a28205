//! The queue that a request reaches.

use crate::policy::QueuePolicy;

/// The queue that a path reaches, and what is left of the path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteMatch<'a> {
    /// The queue.
    pub queue: &'a QueuePolicy,
    /// The path after the queue's prefix.
    pub rest: &'a str,
}
