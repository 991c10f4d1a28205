//! Last phase of a planned stop.

/// Phase of a [`PlannedStop`](crate::PlannedStop) in which requests are refused, and each
/// refusal ends its connection.
#[derive(Debug)]
pub enum Refusing {}
