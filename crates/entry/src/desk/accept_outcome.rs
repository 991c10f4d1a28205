//! What came of handing a job in.

/// What came of handing a job in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// It is stored, now or before.
    Accepted,
    /// It was not stored, and will not be: come back later.
    Refused,
    /// It may be stored or not: hand it in again.
    Unknown,
}
