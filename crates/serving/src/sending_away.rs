//! First phase of a planned stop.

/// Phase of a [`PlannedStop`](crate::PlannedStop) in which requests are served, and each
/// answer ends its connection.
#[derive(Debug)]
pub enum SendingAway {}
