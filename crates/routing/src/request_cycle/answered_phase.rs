//! The phase of a request with a complete answer.

/// A request whose complete answer has arrived.
#[derive(Debug)]
pub struct AnsweredPhase;
