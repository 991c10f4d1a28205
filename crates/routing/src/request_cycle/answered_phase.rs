//! The phase of a request whose whole answer arrived.

/// A request with its whole answer.
#[derive(Debug)]
pub struct AnsweredPhase;
